"""
cyclamenshift.managing.reservation
==================================

Keeps a VM empty for as long as an order for it may be carried out.
"""

from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from ..clock import Clock
from ..fleetmessages import RESERVATION_MS
from ..provider import ProvidedVm

#: How long a VM may take to be vacated, ms.
VACATE_MS: Final = 4_000
#: How often a reservation is renewed while an order may be carried out, ms;
#: a renewal may fail once without a gap.
RENEWAL_INTERVAL_MS: Final = RESERVATION_MS // 3

#: Vacates a VM; takes its pool, id and timeout in ms, returns whether it is
#: empty.
VacateCallback: TypeAlias = Callable[[str, str, int], Awaitable[bool]]


class Reservation:
    """
    A VM that the scheduler of its pool is to keep empty.

    ``held`` tells whether the scheduler has found it empty each time.  It
    stays empty until ``lapses_at`` at least, which counts from the sending of
    the last call that confirmed it, and is to stay so until ``needed_until``.
    Both are monotonic ms.
    """

    def __init__(
        self, clock: Clock, vacate: VacateCallback, vm: ProvidedVm
    ) -> None:
        """Reserve nothing yet."""
        self.clock = clock
        self.vacate = vacate
        self.vm = vm
        self.held = False
        self.lapses_at = 0
        self.needed_until = 0

    async def acquire(self) -> bool:
        """Have the VM vacated and reserved; return whether it is."""
        await self._confirm(VACATE_MS)
        return self.held

    async def renew(self) -> None:
        """Reserve the VM further if it is still empty."""
        await self._confirm(0)

    def covers(self, duration: int) -> bool:
        """Return whether the VM stays empty for *duration* ms from now."""
        lasts = self.clock.now() + duration <= self.lapses_at
        return self.held and lasts

    async def keep(self) -> None:
        """Renew the reservation while it is needed, until cancelled."""
        while True:
            await self.clock.sleep(RENEWAL_INTERVAL_MS)
            if self.clock.remaining(self.needed_until):
                await self.renew()

    async def _confirm(self, wait: int) -> None:
        sent_at = self.clock.now()
        self.held = await self.vacate(self.vm.pool, self.vm.vm_id, wait)
        if self.held:
            self.lapses_at = max(self.lapses_at, sent_at + RESERVATION_MS)
