"""
cyclamenshift.decisions.watching
================================

Decides which peers an entry VM watches, so that each loss is noticed.

The holder of a domain is watched by the first in line to take it over.
Besides, each entry VM watches its next live successors on a ring of all; so
every dead one is noticed by its nearest live predecessor, whichever die
together, at a cost that does not grow with their number.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

import xxhash

from ..model import EntryVm
from .heartbeats import Watch
from .owners import rank_members

#: How many live successors on the ring an entry VM watches.  They also relay
#: store calls, so one alone is not enough.
RING_WATCHES: Final = 3
#: How many candidates watch the holder of a domain.
WATCHING_CANDIDATES: Final = 3
#: How many earlier candidates for a vacant domain an entry VM checks.
MAX_CHECKED_CANDIDATES: Final = 8


class PeerView(NamedTuple):
    """
    What an entry VM knows of its peers and of the domains.

    ``members`` are all registered entry VMs, with itself; ``down`` those known
    to be down.  ``holders`` has the holder of each domain, ``vacant`` the
    domains without a live one.
    """

    own: EntryVm
    members: Mapping[str, EntryVm]
    down: Collection[str]
    holders: Mapping[str, str]
    vacant: Collection[str]


def watched_peers(view: PeerView) -> dict[str, Watch]:
    """
    Return the peers to watch, and how closely.

    While a domain is vacant, all of them are watched closely, to find out
    soon who else is gone.
    """
    watched: dict[str, Watch] = {}
    ring = Watch.close if view.vacant else Watch.distant
    for successor in ring_successors(view):
        watched[successor] = ring
    for domain, holder in view.holders.items():
        for entry_id, watch in _watched_for(view, domain, holder):
            watched[entry_id] = max(
                watch, watched.get(entry_id, Watch.unwatched)
            )
    watched.pop(view.own.entry_id, None)
    return watched


def ring_successors(view: PeerView) -> list[str]:
    """Return the next members on the ring, up to the last that is watched."""
    order = ring_order(view.members)
    start = order.index(view.own.entry_id)
    watched = []
    live = 0
    for entry_id in order[start + 1 :] + order[:start]:
        if live == RING_WATCHES:
            break
        watched.append(entry_id)
        live += entry_id not in view.down
    return watched


def ring_order(entry_ids: Iterable[str]) -> list[str]:
    """Return *entry_ids* in an order that is the same everywhere."""
    return sorted(
        entry_ids,
        key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name),
    )


def candidates_for(view: PeerView, domain: str, holder: str) -> list[str]:
    """Return the members in line for *domain* if *holder* is lost."""
    held: dict[str, list[str]] = {}
    for other, entry_id in view.holders.items():
        if other != domain:
            held.setdefault(entry_id, []).append(other)
    members = [
        entry
        for entry_id, entry in view.members.items()
        if entry_id not in view.down and entry_id != holder
    ]
    if not members:
        return []
    return rank_members((domain,), members, held)[domain]


def informed_witnesses(view: PeerView, domain: str, holder: str) -> list[str]:
    """
    Return the peers that probably know whether *holder* is alive.

    They are connected to it: the other candidates that watch it, and the one
    that watches it on the ring.
    """
    candidates = candidates_for(view, domain, holder)[:WATCHING_CANDIDATES]
    order = [
        entry_id
        for entry_id in ring_order(view.members)
        if entry_id not in view.down or entry_id == holder
    ]
    informed = dict.fromkeys(candidates)
    if holder in order:
        informed[order[order.index(holder) - 1]] = None
    return [
        entry_id
        for entry_id in informed
        if entry_id not in {view.own.entry_id, holder}
    ]


def _watched_for(
    view: PeerView, domain: str, holder: str
) -> Iterable[tuple[str, Watch]]:
    order = candidates_for(view, domain, holder)
    own_id = view.own.entry_id
    if holder == own_id or own_id not in order:
        return
    rank = order.index(own_id)
    if domain in view.vacant:
        yield holder, Watch.close
        for entry_id in order[: min(rank, MAX_CHECKED_CANDIDATES)]:
            yield entry_id, Watch.close
    elif rank < WATCHING_CANDIDATES:
        yield holder, Watch.close
        for earlier in order[:rank]:
            yield earlier, Watch.distant
