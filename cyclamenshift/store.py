"""
cyclamenshift.store
===================

The base classes of the store clients: versioned rows and objects.

All state that must survive a restart of a process is kept in the store.
"""

import abc
from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, Final, NamedTuple, TypeAlias

import msgspec

from .component import Component, Host

#: The fields of a row, which hold plain values only.
Fields: TypeAlias = Mapping[str, Any]

#: The part of the size of a transaction that the rows may take; keys and
#: versions take the rest.
ROWS_SHARE: Final = 0.8
#: The version of a row that does not exist.
ABSENT = 0


class Key(NamedTuple):
    """
    The key of a row.

    A transaction changes rows of one partition, in any number of tables;
    writers to different partitions don't delay each other.
    """

    table: str
    name: str
    partition: str = ''

    def __str__(self) -> str:
        """Return the key in the form shown to operators."""
        return '/'.join(filter(None, (self.table, self.partition, self.name)))


class Row(NamedTuple):
    """A row; one that does not exist has version ABSENT and no fields."""

    key: Key
    version: int
    fields: Fields


class Check(NamedTuple):
    """A precondition of a transaction: the row has this version."""

    key: Key
    version: int


class Write(NamedTuple):
    """A change of a row: its new fields, or None to delete the row."""

    key: Key
    fields: Fields | None


class Transaction(NamedTuple):
    """Writes that are applied atomically if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The transaction was applied; each row written has this version."""

    version: int


class Conflict(NamedTuple):
    """A check failed and nothing was written; ``rows`` are those checked."""

    rows: tuple[Row, ...]

    def versions(self) -> dict[Key, int]:
        """Return the current version of each checked row."""
        return {row.key: row.version for row in self.rows}


class Rejected(NamedTuple):
    """
    The store will never accept this transaction; it had no effect.

    A row is too large, for example.  ``reason`` is for the log.
    """

    reason: str


class Unavailable(NamedTuple):
    """The call had no effect; ``reason`` is for the log."""

    reason: str


class Uncertain(NamedTuple):
    """The call may have taken effect, or may yet; ``reason`` is for the log."""

    reason: str


CommitResult: TypeAlias = (
    Committed | Conflict | Rejected | Unavailable | Uncertain
)


class Snapshot(NamedTuple):
    """
    Rows of a table; ``version`` is that from which to follow its changes.

    The rows of a long scan may contain some of these changes already.
    """

    rows: tuple[Row, ...]
    version: int


class HistoryLost(NamedTuple):
    """The requested changes are no longer kept; the client must scan."""


class StoreClient(Component):
    """
    Reads and commits rows of the store, directly or through a peer.

    Reads return Unavailable if the store can't be reached in time.
    """

    @property
    def usable(self) -> bool:
        """Whether calls are expected to succeed."""
        return True

    def size_of(self, fields: Fields) -> int:
        """Return the size of a row as the store counts it, bytes."""
        return len(msgspec.msgpack.encode(fields))

    @abc.abstractmethod
    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key, in the order of *keys*."""

    @abc.abstractmethod
    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table, ordered by name."""

    @abc.abstractmethod
    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """
        Return the rows of a table that changed after *version*.

        These are the rows of all partitions.

        Waits up to *wait* ms for the first change.  A deleted row has the
        version ABSENT.
        """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* atomically."""


class Store(StoreClient):
    """A direct connection to the store, which also gives access to objects."""

    kind = 'store'
    stage: ClassVar[int] = 0

    @abc.abstractmethod
    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether the store confirmed it."""

    @abc.abstractmethod
    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be read."""


def get_store_client(host: Host) -> StoreClient:
    """
    Return the preferred store client of *host*.

    Where there are several, this is the one of the highest stage, which
    relays calls through peers while the direct connection fails.
    """
    return host.get_all(StoreClient)[-1]
