"""
cyclamenshift.controls.job_counts
=================================

Counts the waiting jobs of a service that has no owner, from the store.
"""

from collections import Counter
from typing import Final

import trio

from ..clock import Clock
from ..jobrows import JOB_TABLE, PROGRESS_TABLE, JobRow
from ..refusedjobs import is_job
from ..rows import decode_row
from ..store import Snapshot, StoreClient, Unavailable

#: How long a scan of a service answers further requests, ms; a count may be
#: 2 s old.
MAX_AGE_MS: Final = 1_000
#: How long a scan may take, ms; a stop of the process waits for it.
SCAN_TIMEOUT_MS: Final = 5_000


class ServiceCounts:
    """The result of the last scan of one service: the counts by queue."""

    def __init__(self) -> None:
        """Start without a scan."""
        self.lock = trio.Lock()
        self.counts: Counter[str] | Unavailable = Unavailable('not read yet')
        self.started_at = 0
        self.finished_at = 0

    def answers(self, asked_at: int, now: int) -> bool:
        """Return whether the last scan answers a request of *asked_at*."""
        if not self.finished_at:
            return False
        is_recent = now - self.started_at < MAX_AGE_MS
        return is_recent or self.finished_at > asked_at


class StoredJobCounts:
    """Scans the job tables of a service, once for concurrent requests."""

    def __init__(self, clock: Clock, store: StoreClient) -> None:
        """Create counts that have read nothing yet."""
        self.clock = clock
        self.store = store
        self.services: dict[str, ServiceCounts] = {}

    async def count_waiting(
        self, service_name: str, queue_name: str
    ) -> int | Unavailable:
        """Return the number of jobs of a queue that have not started."""
        asked_at = self.clock.now()
        service = self.services.setdefault(service_name, ServiceCounts())
        async with service.lock:
            if not service.answers(asked_at, self.clock.now()):
                await self._refresh(service_name, service)
        if isinstance(service.counts, Unavailable):
            return service.counts
        return service.counts[queue_name]

    async def _refresh(self, name: str, service: ServiceCounts) -> None:
        """
        Scan a service, also if the caller that asked has given up.

        Otherwise no scan would end while callers wait for less time than it
        takes, and each request would begin another.
        """
        started_at = self.clock.now()
        counts: Counter[str] | Unavailable = Unavailable('the scan is slow')
        with self.clock.move_on_after(SCAN_TIMEOUT_MS) as scope:
            scope.shield = True
            counts = await self._scan(name)
        service.counts = counts
        service.started_at = started_at
        service.finished_at = self.clock.now()

    async def _scan(self, service: str) -> Counter[str] | Unavailable:
        jobs = await self.store.scan(JOB_TABLE, service)
        progress = await self.store.scan(PROGRESS_TABLE, service)
        if isinstance(jobs, Snapshot) and isinstance(progress, Snapshot):
            started = {
                row.key.name
                for row in progress.rows
                if not row.fields.get('unstarted')
            }
            return Counter(
                decode_row(row, JobRow)['job'].queue
                for row in jobs.rows
                if row.key.name not in started and is_job(row)
            )
        return Unavailable('The jobs could not be read.')
