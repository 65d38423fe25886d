"""
cyclamenshift.storemessages
===========================

The bodies with which one entry VM lets another call the store for it.

The results of the store are answers as they are.
"""

from typing import Final, NamedTuple

from .peer import Body, body
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


@body
class StoreReach(NamedTuple):
    """Whether the sender reaches the store by itself."""

    reached: bool


@body
class ReadCall(NamedTuple):
    """Read these rows."""

    keys: tuple[Key, ...]


@body
class ScanCall(NamedTuple):
    """Read one part of a table."""

    table: str
    part: str


@body
class FollowCall(NamedTuple):
    """Read what has changed in a table."""

    table: str
    version: int
    wait: int


@body
class CommitCall(NamedTuple):
    """Commit this transaction."""

    transaction: Transaction


@body
class RowsAnswer(NamedTuple):
    """The rows that were asked for, in that order."""

    rows: tuple[Row, ...]


#: The results of the store, each a body as it is.
STORE_BODIES: Final[tuple[type[Body], ...]] = (
    body(Snapshot),
    body(HistoryLost),
    body(Committed),
    body(Conflict),
    body(Unavailable),
    body(Uncertain),
)
