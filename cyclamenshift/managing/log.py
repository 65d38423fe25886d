"""
cyclamenshift.managing.log
==========================

Which VMs have begun their maintenance, kept in the store.
"""

from typing import Final

from ..clock import Clock
from ..duty import OwnershipTerm
from ..jobrows import MAINTENANCE_TABLE, MaintenanceRow, maintenance_key
from ..rows import decode_row
from ..store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    StoreClient,
    Transaction,
    Unavailable,
    Write,
)

#: The wait before a call of the store that failed is tried again, ms.
RETRY_MS: Final = 100


class MaintenanceLog:
    """One row for each maintenance, written by the manager of the fleet."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        term: OwnershipTerm,
    ) -> None:
        """Start with nothing read."""
        self.clock = clock
        self.store = store
        self.term = term
        self.begun: dict[int, set[str]] = {}
        self.versions: dict[int, int] = {}

    def of(self, number: int) -> set[str]:
        """Return the VMs that have begun a maintenance."""
        return self.begun.setdefault(number, set())

    async def load(self) -> None:
        """Read the rows; try until the store gives them."""
        rows = await self.store.scan(MAINTENANCE_TABLE, self.term.domain)
        while isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_MS)
            rows = await self.store.scan(MAINTENANCE_TABLE, self.term.domain)
        for row in rows.rows:
            number = int(row.key.name)
            self.begun[number] = set(decode_row(row, MaintenanceRow)['done'])
            self.versions[number] = row.version

    async def record(self, number: int, vm_id: str) -> None:
        """Record that a VM has begun a maintenance."""
        self.of(number).add(vm_id)
        key = maintenance_key(self.term.domain, number)
        while not self.term.lost:
            version = self.versions.get(number, ABSENT)
            row = MaintenanceRow(done=sorted(self.of(number)))
            result = await self.store.commit(
                Transaction(
                    (self.term.check(), Check(key, version)),
                    (Write(key, row),),
                ),
            )
            if isinstance(result, Committed):
                self.versions[number] = result.version
                return
            if isinstance(result, Conflict) and self.term.still_valid(result):
                self.versions[number] = result.versions()[key]
            else:
                await self.clock.sleep(RETRY_MS)
