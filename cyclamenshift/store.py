"""
cyclamenshift.store
===================

The base of the clients of the store: a table of rows, and objects.

Everything that must outlast a process is there.
"""

import abc
from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, NamedTuple, TypeAlias

from .component import Component, Host

#: The fields of a row: plain values only.
Fields: TypeAlias = Mapping[str, Any]

#: The version of a row that is not there.
ABSENT = 0


class Key(NamedTuple):
    """
    Where a row is.

    Rows of one ``part`` change together in a transaction, whatever their
    table; a part of its own keeps unrelated writers apart.
    """

    table: str
    name: str
    partition: str = ''

    def __str__(self) -> str:
        """Return the key as operators read it."""
        return '/'.join(filter(None, (self.table, self.partition, self.name)))


class Row(NamedTuple):
    """A row of the table; version ABSENT and no fields if not there."""

    key: Key
    version: int
    fields: Fields


class Check(NamedTuple):
    """A condition: the row still has this version."""

    key: Key
    version: int


class Write(NamedTuple):
    """A change: the row's new fields, or None to delete the row."""

    key: Key
    fields: Fields | None


class Transaction(NamedTuple):
    """Writes that take effect together, if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The transaction took effect; each row written has this version."""

    version: int


class Conflict(NamedTuple):
    """A check failed, so nothing was written; the checked rows as they are."""

    rows: tuple[Row, ...]

    def versions(self) -> dict[Key, int]:
        """Return the version that each checked row has."""
        return {row.key: row.version for row in self.rows}


class Unavailable(NamedTuple):
    """The store certainly did not do it; the reason for the log."""

    reason: str


class Uncertain(NamedTuple):
    """The store may have done it, or may do it later; the reason."""

    reason: str


CommitResult: TypeAlias = Committed | Conflict | Unavailable | Uncertain


class Snapshot(NamedTuple):
    """Rows as of one moment; ``version`` is the newest of the whole store."""

    rows: tuple[Row, ...]
    version: int


class HistoryLost(NamedTuple):
    """The changes asked for are no longer kept; scan instead."""


class StoreClient(Component):
    """
    A way to the store.

    Reads answer Unavailable when the store can't be reached in time.
    """

    @property
    def usable(self) -> bool:
        """Whether calls are worth a try, as far as is known."""
        return True

    @abc.abstractmethod
    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key, in that order."""

    @abc.abstractmethod
    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one part of a table, by name."""

    @abc.abstractmethod
    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """
        Return the rows of a table, of any part, that changed after *version*.

        Waits up to *wait* ms for the first change.  A row that was deleted
        has the version ABSENT.
        """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""


class Store(StoreClient):
    """A client of the store."""

    kind = 'store'
    stage: ClassVar[int] = 0

    @abc.abstractmethod
    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether it is certainly there."""

    @abc.abstractmethod
    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be had."""


def get_store_client(host: Host) -> StoreClient:
    """Return the best way to the store that *host* has."""
    return host.get_all(StoreClient)[-1]
