"""
cyclamenshift.platform
======================

The base of the clients of the platform's table, objects and list of VMs.
"""

import abc
from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, NamedTuple, TypeAlias

from .component import Component

#: The fields of a row: plain values only.
Fields: TypeAlias = Mapping[str, Any]

#: The version of a row that is not there.
ABSENT = 0


class Row(NamedTuple):
    """A row of the table; version ABSENT and no fields if not there."""

    key: str
    version: int
    fields: Fields


class Check(NamedTuple):
    """A condition: the row still has this version."""

    key: str
    version: int


class Write(NamedTuple):
    """A change: the row's new fields, or None to delete the row."""

    key: str
    fields: Fields | None


class Transaction(NamedTuple):
    """Writes that take effect together, if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The transaction took effect; the new versions by key."""

    versions: Mapping[str, int]


class Conflict(NamedTuple):
    """A check failed, so nothing was written; the rows that moved."""

    keys: tuple[str, ...]


class Unavailable(NamedTuple):
    """The platform certainly did not do it; the reason for the log."""

    reason: str


class Uncertain(NamedTuple):
    """The platform may have done it; the reason for the log."""

    reason: str


CommitResult: TypeAlias = Committed | Conflict | Unavailable | Uncertain


class ListedVm(NamedTuple):
    """An entry of the platform's lagging list of its VMs."""

    vm_id: str
    leaving: bool


class Platform(Component):
    """
    A client of the platform.

    Reads answer Unavailable when the platform can't be reached in time.
    """

    kind = 'platform'
    stage: ClassVar[int] = 0

    @abc.abstractmethod
    async def read(self, keys: Sequence[str]) -> list[Row] | Unavailable:
        """Return one row for each key, at one moment, in that order."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[Row] | Unavailable:
        """Return the rows whose keys start with *prefix*, by key."""

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""

    @abc.abstractmethod
    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether it is certainly there."""

    @abc.abstractmethod
    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be had."""

    @abc.abstractmethod
    async def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return the lagging list of live and leaving VMs."""
