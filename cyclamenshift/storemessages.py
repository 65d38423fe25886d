"""
cyclamenshift.storemessages
===========================

The peer messages by which one entry VM relays store calls of another.

The results of the store are sent as replies unchanged.
"""

from typing import Final, NamedTuple

from .peer import Payload, register_payload
from .store import (
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Rejected,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Uncertain,
)


@register_payload
class StoreReach(NamedTuple):
    """Whether the sender can reach the store directly."""

    reached: bool


@register_payload
class ReadCall(NamedTuple):
    """Reads rows by key."""

    keys: tuple[Key, ...]


@register_payload
class ScanCall(NamedTuple):
    """Reads the rows of one partition of a table."""

    table: str
    partition: str


@register_payload
class FollowCall(NamedTuple):
    """Reads the rows of a table that changed after a version."""

    table: str
    version: int
    wait: int


@register_payload
class CommitCall(NamedTuple):
    """Commits a transaction."""

    transaction: Transaction


@register_payload
class RowsAnswer(NamedTuple):
    """The requested rows, in the order of the keys."""

    rows: tuple[Row, ...]


#: The results of the store that are themselves payloads.
STORE_PAYLOADS: Final[tuple[type[Payload], ...]] = (
    register_payload(Snapshot),
    register_payload(HistoryLost),
    register_payload(Committed),
    register_payload(Conflict),
    register_payload(Rejected),
    register_payload(Unavailable),
    register_payload(Uncertain),
)
