"""
cyclamenshift.stores.memory
===========================

An in-memory store, for a first run and for tests.
"""

from collections.abc import Sequence

import trio

from ..component import Host
from ..plugin import register
from ..store import (
    CommitResult,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
)
from ..table import Table


@register
class MemoryStore(Store):
    """Keeps rows and objects in memory until the process stops."""

    name = 'memory'
    aliases = ('embedded',)

    def __init__(self, kernel: Host) -> None:
        """Start without rows and objects."""
        super().__init__(kernel)
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.changed = trio.Event()

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        return self.table.read(keys)

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table."""
        return self.table.scan(table, partition)

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        with self.clock.move_on_after(wait):
            while not _has_changes(self.table.changes(table, version)):
                await self.changed.wait()
        return self.table.changes(table, version)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* atomically."""
        result = self.table.commit(transaction)
        self.changed.set()
        self.changed = trio.Event()
        return result

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*."""
        self.objects[name] = body
        return True

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it does not exist."""
        if name not in self.objects:
            return Unavailable('There is no such object.')
        return self.objects[name]


def _has_changes(changes: Snapshot | HistoryLost) -> bool:
    return isinstance(changes, HistoryLost) or bool(changes.rows)
