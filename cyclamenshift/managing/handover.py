"""
cyclamenshift.managing.handover
===============================

Keeps two managers of the fleet from ordering one VM shortly after another.

A manager that stops leaves a row that tells which VMs it ordered, and how
long ago.  Its successor bars just these for the rest of their time; without
the row it waits before its first order.
"""

from typing import Final

from ..clock import Clock
from ..duty import OwnershipTerm
from ..jobrows import HandoverRow, handover_key
from ..rows import decode_row
from ..store import Committed, Row, StoreClient, Transaction, Write

#: How often a predecessor's row is looked for, ms.
LOOK_MS: Final = 250
#: How long a manager that stops may take to leave its row, ms.
LEAVE_MS: Final = 600


class Handover:
    """The VMs that this manager, or one before it, ordered lately."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        term: OwnershipTerm,
        lease: int,
    ) -> None:
        """Let *lease* ms pass between orders of two managers for a VM."""
        self.clock = clock
        self.store = store
        self.term = term
        self.lease = lease
        self.key = handover_key(term.domain)
        self.ordered: dict[str, int] = {}
        self.blocked_until: dict[str, int] = {}

    def note(self, vm_id: str) -> None:
        """Note that an order for a VM goes out now."""
        self.ordered[vm_id] = self.clock.now()

    def blocked(self) -> set[str]:
        """Return the VMs that an earlier manager ordered too lately."""
        now = self.clock.now()
        return {
            vm_id for vm_id, until in self.blocked_until.items() if until > now
        }

    async def take_over(self) -> None:
        """Return when orders may be given, to all VMs but the barred ones."""
        if self.term.epoch == 1:
            return
        deadline = self.clock.now() + self.lease
        while self.clock.remaining(deadline):
            if await self._found():
                return
            await self.clock.sleep(LOOK_MS)

    async def leave(self) -> bool:
        """
        Tell a successor what was ordered, even while being cancelled.

        Returns whether that is certainly written; else it has to wait.
        """
        now = self.clock.now()
        ages = {
            vm_id: self.lease - (until - now)
            for vm_id, until in self.blocked_until.items()
            if until > now
        }
        for vm_id, ordered_at in self.ordered.items():
            if now - ordered_at < self.lease:
                ages[vm_id] = now - ordered_at
        row = HandoverRow(epoch=self.term.epoch, ages=ages)
        with self.clock.move_on_after(LEAVE_MS) as scope:
            scope.shield = True
            result = await self.store.commit(
                Transaction((self.term.check(),), (Write(self.key, row),)),
            )
            return isinstance(result, Committed)
        return False

    async def _found(self) -> bool:
        """Bar what a predecessor ordered; return whether nothing is unknown."""
        asked_at = self.clock.now()
        rows = await self.store.read([self.key])
        if not isinstance(rows, list):
            return False
        epoch = self._take_row(rows[0], asked_at)
        return self.term.resumed or epoch == self.term.epoch - 1

    def _take_row(self, row: Row, asked_at: int) -> int:
        """Bar the VMs in *row*; return the epoch of whoever left it."""
        if not row.version:
            return 0
        fields = decode_row(row, HandoverRow)
        for vm_id, age in fields['ages'].items():
            self.blocked_until[vm_id] = asked_at + self.lease - age
        return fields['epoch']
