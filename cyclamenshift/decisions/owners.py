"""
cyclamenshift.decisions.owners
==============================

Assigns domains without an owner to the live entry VMs.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple, TypeAlias

import xxhash

from ..ownerrows import OwnerRow
from ..model import EntryVm
from ..rows import decode_row
from ..store import ABSENT, Row

#: How long to wait for a connected holder that does not report its domain as
#: owned, ms: several heartbeats.
SILENT_HOLDER_MS: Final = 1_500
#: How long to wait, from when its epoch became known, for a holder that is not
#: connected, ms: longer than it takes to connect to a new process.
UNSEEN_HOLDER_MS: Final = 1_200

#: How long a holder that answers through the store keeps a domain although no
#: peer hears it, ms; most disturbances of connections are over by then.
ANSWERING_HOLDER_MS: Final = 1_500
#: For how long that holds in any case after a change of the holder, ms.
NEW_HOLDER_MS: Final = 10_000

#: The additional delay of an entry VM that is probably the one cut off, ms.
#: By then a holder that is gone has given its last lease, and usual
#: disturbances of the network have passed.
ISOLATED_DELAY_MS: Final = 6_000
#: The share of its peers below which an entry VM takes itself for cut off.
#: More than half of the peers can lose power at the same moment, and the
#: others must not wait then.
MIN_RESPONDING: Final = 1 / 3
#: How many peers are asked whether they hear a holder.
WITNESS_COUNT: Final = 5

#: The domains that each entry VM owns, by its id.
HeldDomains: TypeAlias = Mapping[str, Collection[str]]


def rank_members(
    vacant: Iterable[str],
    members: Collection[EntryVm],
    held: HeldDomains,
) -> dict[str, list[str]]:
    """
    Return for each vacant domain the members in the order to take it.

    The member that owns the fewest domains for its size comes first.
    Rendezvous hashing breaks ties, so that all entry VMs with the same view
    of the members agree.
    """
    counts = {
        entry.entry_id: len(held.get(entry.entry_id, ())) for entry in members
    }
    ranked: dict[str, list[str]] = {}
    for domain in sorted(vacant):
        keyed = [(_rank_key(each, domain, counts), each) for each in members]
        order = [entry.entry_id for _key, entry in sorted(keyed)]
        counts[order[0]] += 1
        ranked[domain] = order
    return ranked


def _rank_key(
    entry: EntryVm,
    domain: str,
    counts: Mapping[str, int],
) -> tuple[float, int]:
    load = (counts[entry.entry_id] + 1) / entry.size
    return (load, _rendezvous_weight(entry.entry_id, domain))


def _rendezvous_weight(entry_id: str, domain: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry_id}|{domain}'.encode())


class HolderStatus(NamedTuple):
    """
    What is known of the holder in the row of a domain.

    ``registered`` is the current registration of its entry VM,
    ``connected`` whether that entry VM is connected, and ``known_for`` how
    long this epoch of the row has been known here, ms.
    """

    row: OwnerRow
    registered: EntryVm | None
    connected: bool
    known_for: int


def may_take_over(status: HolderStatus) -> bool:
    """
    Return whether the domain may be taken over from its holder now.

    A holder that was replaced by a newer process is gone.  Any other holder
    has a delay, counted from when its epoch became known here, to be
    connected and to report the domain.  So a holder of long standing counts
    as gone as soon as it is not connected, while a new one gets time.
    """
    if was_replaced(status):
        return True
    entry = status.registered
    is_present = entry and entry.incarnation == status.row['incarnation']
    if status.connected and is_present:
        return status.known_for >= SILENT_HOLDER_MS
    return status.known_for >= UNSEEN_HOLDER_MS


def was_replaced(status: HolderStatus) -> bool:
    """Return whether a newer process of the holder's entry VM runs."""
    entry = status.registered
    return entry is not None and entry.incarnation > status.row['incarnation']


def is_isolated(
    registered: Collection[str], responding: Collection[str]
) -> bool:
    """
    Return whether this entry VM rather than its peers seems to be cut off.

    That is so if less than ``MIN_RESPONDING`` of the registered peers respond.
    """
    heard = sum(entry_id in responding for entry_id in registered)
    return heard < MIN_RESPONDING * len(registered)


def choose_witnesses(
    candidates: Iterable[EntryVm],
    holder: str,
    attempt: str,
    informed: Collection[str] = (),
) -> list[str]:
    """
    Return the peers to ask whether they hear *holder*.

    The *informed* ones come first.  The others vary with *attempt*, which
    identifies the asker and its attempt.
    """
    witnesses = sorted(
        (
            entry.entry_id
            for entry in candidates
            if entry.answers_probes and entry.entry_id != holder
        ),
        key=lambda entry_id: (
            entry_id not in informed,
            _rendezvous_weight(entry_id, attempt),
        ),
    )
    return witnesses[:WITNESS_COUNT]


def is_loss_confirmed(
    asked: int,
    answers: Collection[bool],
    vacant_for: int,
) -> bool:
    """
    Return whether the witnesses confirm that a holder is lost.

    *answers* tell whether they hear it.  When most of the witnesses don't
    answer, it is the asker that is losing its peers, or all of them are slow.
    So without any answer that the holder is heard, that delays the take-over
    of a domain that was vacant for *vacant_for* ms but does not prevent it.
    """
    if any(answers):
        return False
    return 2 * len(answers) >= asked or vacant_for >= ISOLATED_DELAY_MS


def may_replace_answering(
    status: HolderStatus,
    vacant_for: int,
) -> bool:
    """
    Return whether to replace a holder that no peer hears, but that answers.

    It answered through the store, so it has not failed, but callers don't reach
    it.  In a network of two halves each would replace the holder of the other
    again and again, so a new holder is left alone for a while.
    """
    is_new = status.row['epoch'] > 1 and status.known_for < NEW_HOLDER_MS
    return vacant_for >= ANSWERING_HOLDER_MS and not is_new


def next_owner_row(current: Row, own: EntryVm) -> OwnerRow:
    """Return the row with which *own* takes over a domain from *current*."""
    epoch = 0
    if current.version != ABSENT:
        epoch = decode_row(current, OwnerRow)['epoch']
    return OwnerRow(
        holder=own.entry_id,
        incarnation=own.incarnation,
        epoch=epoch + 1,
    )


def held_by_predecessor(row: Row, own: EntryVm) -> bool:
    """Return whether an earlier process of entry VM *own* holds *row*."""
    if row.version == ABSENT:
        return False
    holder = decode_row(row, OwnerRow)
    is_earlier = holder['incarnation'] < own.incarnation
    return holder['holder'] == own.entry_id and is_earlier
