"""
cyclamenshift.decisions.owners
==============================

Which live entry VM should take a domain that nobody owns.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import TypeAlias

import xxhash

from ..model import EntryVm

#: The domains that each entry VM owns.
Held: TypeAlias = Mapping[str, Collection[str]]


def assign(
    vacant: Iterable[str],
    members: Collection[EntryVm],
    held: Held,
) -> dict[str, list[str]]:
    """
    Return, for each vacant domain, the members in the order to take it.

    Whoever owns least for its size comes first; ties fall by rendezvous
    hashing, so that all entry VMs with the same view agree.
    """
    counts = {
        entry.entry_id: len(held.get(entry.entry_id, ())) for entry in members
    }
    ranked: dict[str, list[str]] = {}
    for domain in sorted(vacant):
        standings = [
            (_standing(each, domain, counts), each) for each in members
        ]
        order = [entry.entry_id for _standing_of, entry in sorted(standings)]
        counts[order[0]] += 1
        ranked[domain] = order
    return ranked


def _standing(
    entry: EntryVm,
    domain: str,
    counts: Mapping[str, int],
) -> tuple[float, int]:
    share = (counts[entry.entry_id] + 1) / entry.size
    return (share, _weight(entry.entry_id, domain))


def _weight(entry_id: str, domain: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry_id}|{domain}'.encode())
