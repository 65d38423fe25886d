"""
cyclamenshift.managing.maintenance_log
======================================

Records in the store which VMs have started their maintenance.
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

#: The delay before a failed store call is retried, ms.
RETRY_DELAY_MS: Final = 100


class MaintenanceLog:
    """Keeps one row for each maintenance, written by the fleet manager."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        term: OwnershipTerm,
    ) -> None:
        """Create a log that has not been loaded yet."""
        self.clock = clock
        self.store = store
        self.term = term
        self.started: dict[int, set[str]] = {}
        self.versions: dict[int, int] = {}

    def started_vms(self, number: int) -> set[str]:
        """Return the VMs that have started a maintenance."""
        return self.started.setdefault(number, set())

    async def load(self) -> None:
        """Read the rows, retrying until the store answers."""
        rows = await self.store.scan(MAINTENANCE_TABLE, self.term.domain)
        while isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            rows = await self.store.scan(MAINTENANCE_TABLE, self.term.domain)
        for row in rows.rows:
            number = int(row.key.name)
            self.started[number] = set(decode_row(row, MaintenanceRow)['done'])
            self.versions[number] = row.version

    async def record(self, number: int, vm_id: str) -> None:
        """Record that a VM has started a maintenance."""
        self.started_vms(number).add(vm_id)
        key = maintenance_key(self.term.domain, number)
        while not self.term.lost:
            version = self.versions.get(number, ABSENT)
            row = MaintenanceRow(done=sorted(self.started_vms(number)))
            result = await self.store.commit(
                Transaction(
                    (self.term.check(), Check(key, version)),
                    (Write(key, row),),
                ),
            )
            if isinstance(result, Committed):
                self.versions[number] = result.version
                return
            if isinstance(result, Conflict) and self.term.still_valid(
                result, 'write of maintenance'
            ):
                self.versions[number] = result.versions()[key]
            else:
                await self.clock.sleep(RETRY_DELAY_MS)
