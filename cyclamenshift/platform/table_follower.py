"""
cyclamenshift.platform.table_follower
=====================================

Follows one table: by its changes, or by its newest rows when the view is old.
"""

from typing import Final, NamedTuple

from ..clock import Clock
from ..decisions.catchup import TableRead, should_scan
from ..store import (
    ABSENT,
    HistoryLost,
    Row,
    Snapshot,
    StoreClient,
    Unavailable,
)

#: Minimum time between two scans of a table, ms.  While the store drops its
#: history all the time, each poll would cause one.
MIN_SCAN_INTERVAL_MS: Final = 700
#: Delay after a failed call, ms.
RETRY_DELAY_MS: Final = 200


class TableUpdate(NamedTuple):
    """
    The newest version of each row that was read.

    After a ``full_scan`` these are all rows of the table.  ``superseded``
    tells whether older versions of a row were read as well.  The view is
    known to be current as of ``confirmed_at``, monotonic ms.
    """

    rows: tuple[Row, ...]
    full_scan: bool
    superseded: bool
    confirmed_at: int


class TableFollower:
    """Reads one table again and again."""

    def __init__(self, store: StoreClient, clock: Clock, table: str) -> None:
        """Start with nothing read."""
        self.store = store
        self.clock = clock
        self.table = table
        self.version = ABSENT
        self.complete = False
        self.next_scan = 0
        self.last_read = TableRead(
            scanned=True, changed=False, superseded=False
        )
        self.confirmed_at = clock.now()

    @property
    def age(self) -> int:
        """How long ago the view was last known to be current, ms."""
        return self.clock.now() - self.confirmed_at

    def restart(self) -> None:
        """Read the whole table next."""
        self.complete = False

    async def read(self, wait: int) -> TableUpdate | None:
        """
        Read what has changed; None if that failed, after a delay.

        The store may hold the answer for *wait* ms until there is a change.
        ``confirm`` must be called once the update is applied.
        """
        if not self.complete:
            await self.clock.sleep(self.clock.remaining(self.next_scan))
        full_scan = self._needs_scan()
        asked_at = self.clock.now()
        result = await self._call(wait, full_scan=full_scan)
        if isinstance(result, HistoryLost):
            self.complete = False
            return None
        if isinstance(result, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            return None
        self.version = max(self.version, result.version)
        self.complete = True
        if full_scan:
            self.next_scan = asked_at + MIN_SCAN_INTERVAL_MS
        newest = {row.key: row for row in result.rows}
        held = 0 if full_scan or newest else wait
        confirmed_at = min(asked_at + held, self.clock.now())
        return TableUpdate(
            rows=tuple(newest.values()),
            full_scan=full_scan,
            superseded=len(newest) < len(result.rows),
            confirmed_at=confirmed_at,
        )

    def confirm(self, update: TableUpdate, *, changed: bool) -> None:
        """Record that *update* was applied, and whether it changed anything."""
        self.confirmed_at = update.confirmed_at
        self.last_read = TableRead(update.full_scan, changed, update.superseded)

    def _needs_scan(self) -> bool:
        """Return whether to read the newest rows instead of the changes."""
        if not self.complete:
            return True
        may_scan = self.clock.now() >= self.next_scan
        return may_scan and should_scan(self.last_read, self.age)

    async def _call(
        self, wait: int, *, full_scan: bool
    ) -> Snapshot | HistoryLost | Unavailable:
        if full_scan:
            return await self.store.scan(self.table)
        return await self.store.follow(self.table, self.version, wait)
