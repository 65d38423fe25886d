"""
cyclamenshift.scheduling.ownership_check
========================================

Confirms that a service is still owned by its scheduler.
"""

from typing import Final

from ..clock import Clock
from ..duty import OwnershipTerm
from ..jobrows import OwnerRow
from ..rows import decode_row
from ..store import StoreClient, Unavailable

#: How long the ownership may go unconfirmed, ms; small compared with
#: ``lease_horizon``, which counts from the last confirmation.
CHECK_INTERVAL_MS: Final = 1_000
#: For how long after its confirmation the ownership is relied on, ms; shorter
#: than peers take to replace an owner that they no longer hear.
MAX_UNCONFIRMED_MS: Final = 1_500
#: The delay before a failed store call is retried, ms.
RETRY_DELAY_MS: Final = 100


class OwnershipCheck:
    """Checks the owner row of one term in the store."""

    def __init__(
        self, clock: Clock, store: StoreClient, term: OwnershipTerm
    ) -> None:
        """Check that *term* lasts."""
        self.clock = clock
        self.store = store
        self.term = term

    async def keep_confirmed(self) -> None:
        """Check the ownership whenever no other call has confirmed it."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_MS)
            if self.unconfirmed_for() >= CHECK_INTERVAL_MS:
                await self.check()

    async def check(self) -> None:
        """Read the owner row; revoke the term if its fields have changed."""
        sent_at = self.clock.now()
        rows = await self.store.read([self.term.key])
        if isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            return
        row = rows[0]
        fields = decode_row(row, OwnerRow) if row.version else None
        if self.term.check_row(fields, row.version, 'check'):
            self.term.confirm(sent_at)

    @property
    def is_recent(self) -> bool:
        """Whether the ownership was confirmed lately."""
        return self.unconfirmed_for() <= MAX_UNCONFIRMED_MS

    async def is_confirmed(self) -> bool:
        """Return whether the ownership was confirmed lately, or is now."""
        if self.is_recent:
            return True
        asked_at = self.clock.now()
        await self.check()
        return self.term.confirmed_at >= asked_at

    def unconfirmed_for(self) -> int:
        """Return how long ago the ownership was confirmed, ms."""
        return self.clock.now() - self.term.confirmed_at
