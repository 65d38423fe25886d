"""
cyclamenshift.storemessages
===========================

The bodies with which one entry VM lets another call the store for it.

The results of the store are answers as they are.
"""

from typing import Final, NamedTuple

from .peer import Payload, register_payload
from .store import (
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Uncertain,
)


@register_payload
class StoreReach(NamedTuple):
    """Whether the sender reaches the store by itself."""

    reached: bool


@register_payload
class ReadCall(NamedTuple):
    """Read these rows."""

    keys: tuple[Key, ...]


@register_payload
class ScanCall(NamedTuple):
    """Read one part of a table."""

    table: str
    partition: str


@register_payload
class FollowCall(NamedTuple):
    """Read what has changed in a table."""

    table: str
    version: int
    wait: int


@register_payload
class CommitCall(NamedTuple):
    """Commit this transaction."""

    transaction: Transaction


@register_payload
class RowsAnswer(NamedTuple):
    """The rows that were asked for, in that order."""

    rows: tuple[Row, ...]


#: The results of the store, each a body as it is.
STORE_PAYLOADS: Final[tuple[type[Payload], ...]] = (
    register_payload(Snapshot),
    register_payload(HistoryLost),
    register_payload(Committed),
    register_payload(Conflict),
    register_payload(Unavailable),
    register_payload(Uncertain),
)
