"""
cyclamenshift.decisions.owners
==============================

Which live entry VM should take a domain that nobody owns.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple, TypeAlias

import xxhash

from ..jobrows import OwnerRow
from ..model import EntryVm
from ..rows import decode_row
from ..store import ABSENT, Row

#: How long a connected holder that does not tell of its domain is waited
#: for, ms: several heartbeats.
SILENT_HOLDER_MS: Final = 1_500
#: How long a holder that was never seen to hold is waited for, ms: longer
#: than it takes to connect to a new process.
UNSEEN_HOLDER_MS: Final = 1_200

#: The domains that each entry VM owns.
HeldDomains: TypeAlias = Mapping[str, Collection[str]]


def rank_members(
    vacant: Iterable[str],
    members: Collection[EntryVm],
    held: HeldDomains,
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


class HolderStatus(NamedTuple):
    """
    What is known of the holder that a domain's row names.

    ``registered`` is its entry VM as registered now, ``connected`` whether
    that one is connected, ``known_for`` how long this epoch of the row has
    been known here, ms.
    """

    row: OwnerRow
    registered: EntryVm | None
    connected: bool
    known_for: int


def may_take_over(claim: HolderStatus) -> bool:
    """
    Return whether the row may be taken from its holder now.

    A holder that was replaced by a newer process is gone.  One that was
    known for long and is not connected any more counts as gone.  One that
    has just become the holder gets time to be seen.
    """
    entry = claim.registered
    if entry and entry.incarnation > claim.row['incarnation']:
        return True
    is_present = entry and entry.incarnation == claim.row['incarnation']
    if claim.connected and is_present:
        return claim.known_for >= SILENT_HOLDER_MS
    return claim.known_for >= UNSEEN_HOLDER_MS


def next_owner_row(present: Row, own: EntryVm) -> OwnerRow:
    """Return the row with which *own* takes a domain over from *present*."""
    epoch = 0
    if present.version != ABSENT:
        epoch = decode_row(present, OwnerRow)['epoch']
    return OwnerRow(
        holder=own.entry_id,
        incarnation=own.incarnation,
        epoch=epoch + 1,
    )


def held_by_predecessor(row: Row, own: EntryVm) -> bool:
    """Return whether an earlier process of the entry VM *own* holds *row*."""
    if row.version == ABSENT:
        return False
    holder = decode_row(row, OwnerRow)
    is_earlier = holder['incarnation'] < own.incarnation
    return holder['holder'] == own.entry_id and is_earlier
