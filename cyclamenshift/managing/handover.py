"""
cyclamenshift.managing.handover
===============================

Keeps successive fleet managers from ordering the same VM too soon.

A manager that stops writes a row with the VMs that it ordered and how long
ago.  Its successor blocks only these VMs for the rest of ``manager_lease``;
without the row it waits that long before its first order.
"""

from typing import Final

from ..clock import Clock
from ..duty import OwnershipTerm
from ..jobrows import HandoverRow, handover_key
from ..rows import decode_row
from ..store import Committed, Row, StoreClient, Transaction, Write

#: How often the predecessor's row is read until it is found, ms.
POLL_INTERVAL_MS: Final = 250
#: How long a manager that stops may take to write its row, ms.
WRITE_TIMEOUT_MS: Final = 600


class Handover:
    """The VMs that this manager or a predecessor ordered recently."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        term: OwnershipTerm,
        lease: int,
    ) -> None:
        """Block a VM for *lease* ms after the order of another manager."""
        self.clock = clock
        self.store = store
        self.term = term
        self.lease = lease
        self.key = handover_key(term.domain)
        self.order_times: dict[str, int] = {}
        self.blocked_until: dict[str, int] = {}

    def record_order(self, vm_id: str) -> None:
        """Record that an order for a VM is sent now."""
        self.order_times[vm_id] = self.clock.now()

    def blocked(self) -> set[str]:
        """Return the VMs that a predecessor ordered too recently."""
        now = self.clock.now()
        return {
            vm_id for vm_id, until in self.blocked_until.items() if until > now
        }

    async def wait_until_clear(self) -> None:
        """Wait until VMs may be ordered, except the blocked ones."""
        if self.term.epoch == 1:
            return
        deadline = self.clock.now() + self.lease
        while self.clock.remaining(deadline):
            if await self._read_predecessor():
                return
            await self.clock.sleep(POLL_INTERVAL_MS)

    async def write(self) -> bool:
        """
        Write the ordered VMs for a successor, even when cancelled.

        Returns whether the row is certainly written; if not, the successor
        has to wait.
        """
        now = self.clock.now()
        ages = {
            vm_id: self.lease - (until - now)
            for vm_id, until in self.blocked_until.items()
            if until > now
        }
        for vm_id, ordered_at in self.order_times.items():
            if now - ordered_at < self.lease:
                ages[vm_id] = now - ordered_at
        row = HandoverRow(epoch=self.term.epoch, ages=ages)
        with self.clock.move_on_after(WRITE_TIMEOUT_MS) as scope:
            scope.shield = True
            result = await self.store.commit(
                Transaction((self.term.check(),), (Write(self.key, row),)),
            )
            return isinstance(result, Committed)
        return False

    async def _read_predecessor(self) -> bool:
        """Block the VMs in the row; return whether no orders are unknown."""
        sent_at = self.clock.now()
        rows = await self.store.read([self.key])
        if not isinstance(rows, list):
            return False
        epoch = self._block_vms(rows[0], sent_at)
        return self.term.resumed or epoch == self.term.epoch - 1

    def _block_vms(self, row: Row, sent_at: int) -> int:
        """Block the VMs in *row*; return the epoch of its writer."""
        if not row.version:
            return 0
        fields = decode_row(row, HandoverRow)
        for vm_id, age in fields['ages'].items():
            self.blocked_until[vm_id] = sent_at + self.lease - age
        return fields['epoch']
