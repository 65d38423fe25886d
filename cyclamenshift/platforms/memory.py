"""
cyclamenshift.platforms.memory
==============================

A platform inside the process, for a first run and for tests.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..platform import (
    CommitResult,
    ListedVm,
    Platform,
    Row,
    Transaction,
    Unavailable,
)
from ..plugin import register
from ..table import Table

if TYPE_CHECKING:
    from ..kernel import Kernel


@register
class MemoryPlatform(Platform):
    """Keeps everything in this process and loses it at the stop."""

    name = 'memory'
    aliases = ('embedded',)

    def __init__(self, kernel: 'Kernel') -> None:
        """Start with an empty table."""
        super().__init__(kernel)
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.listed: list[ListedVm] = []

    async def read(self, keys: Sequence[str]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        return self.table.read(keys)

    async def scan(self, prefix: str) -> list[Row] | Unavailable:
        """Return the rows whose keys start with *prefix*."""
        return self.table.scan(prefix)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""
        return self.table.commit(transaction)

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*."""
        self.objects[name] = body
        return True

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it is not there."""
        if name not in self.objects:
            return Unavailable('There is no such object.')
        return self.objects[name]

    async def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return the VMs that were listed by hand."""
        return list(self.listed)
