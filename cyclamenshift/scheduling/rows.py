"""
cyclamenshift.scheduling.rows
=============================

Reads the rows of a service: all at first, then what callers add.
"""

from collections.abc import Iterable
from typing import Final

from ..decisions.progress import JobProgress
from ..directory import Directory, Queue
from ..errors import ProtocolError
from ..job import Job
from ..jobrows import (
    CANCEL_TABLE,
    JOB_TABLE,
    PROGRESS_TABLE,
    JobRow,
    ProgressRow,
)
from ..rows import typed
from ..store import ABSENT, HistoryLost, Row, Snapshot, Unavailable
from .state import RETRY_MS, ServiceState

#: How often the rows are looked at for jobs whose hint was lost, ms.
POLL_MS: Final = 1_000


class Rows:
    """The task that reads the rows of one service."""

    def __init__(self, state: ServiceState, directory: Directory) -> None:
        """Start with nothing read."""
        self.state = state
        self.clock = state.clock
        self.book = state.book
        self.directory = directory
        self.versions = {JOB_TABLE: ABSENT, CANCEL_TABLE: ABSENT}

    async def load(self) -> None:
        """Read every row of the service; try until the store gives them."""
        while True:
            try:
                if await self._read():
                    return
            except ProtocolError as error:
                self.state.log.error('A row is not read.', problem=str(error))
            await self.clock.sleep(RETRY_MS)

    async def poll(self) -> None:
        """Look for jobs and cancels whose hint was lost, until cancelled."""
        while True:
            await self.clock.sleep(POLL_MS)
            for table in tuple(self.versions):
                await self._poll(table)

    def add(self, job: Job) -> None:
        """Take a job that was stored."""
        queue = self._queue(job.queue)
        if queue and self.book.add(job, queue, self.clock.wall()):
            self.state.arrivals.add(job, self.clock.now())
            self.state.wake()

    def cancel(self, job_id: str) -> None:
        """Take a cancel that was stored."""
        if self.book.cancel(job_id, self.clock.wall()):
            self.state.recorder.want()
            self.state.wake()

    async def _read(self) -> bool:
        store = self.state.store
        service = self.state.service
        asked_at = self.clock.now()
        found: dict[str, Snapshot] = {}
        for table in (JOB_TABLE, PROGRESS_TABLE, CANCEL_TABLE):
            scanned = await store.scan(table, service)
            if isinstance(scanned, Unavailable):
                return False
            found[table] = scanned
        self.state.tenure.confirm(asked_at)
        self._take_all(found)
        self.state.log.note(
            'Read the rows.',
            jobs=len(self.book.jobs),
            version=found[JOB_TABLE].version,
        )
        return True

    def _take_all(self, found: dict[str, Snapshot]) -> None:
        for table in self.versions:
            self.versions[table] = found[table].version
        recorded = {row.key.name: row for row in found[PROGRESS_TABLE].rows}
        for row in found[JOB_TABLE].rows:
            self._restore(row, recorded.get(row.key.name))
        for cancelled in found[CANCEL_TABLE].rows:
            self.cancel(cancelled.key.name)

    def _restore(self, row: Row, recorded: Row | None) -> None:
        job = typed(row, JobRow)['job']
        queue = self._queue(job.queue)
        if queue is None:
            return
        if recorded is None:
            self.book.add(job, queue, self.clock.wall())
            return
        self.book.restore(
            JobProgress(job, queue, recorded.version),
            typed(recorded, ProgressRow),
            self.clock.wall(),
            self.clock.now(),
        )

    def _queue(self, name: str) -> Queue | None:
        catalog = self.directory.catalog
        return catalog.queues.get(name) if catalog else None

    async def _poll(self, table: str) -> None:
        store = self.state.store
        version = self.versions[table]
        changes = await store.follow(table, version, 0)
        if isinstance(changes, HistoryLost):
            changes = await store.scan(table, self.state.service)
        if isinstance(changes, Snapshot):
            self._take(changes.rows)
            self.versions[table] = max(version, changes.version)

    def _take(self, rows: Iterable[Row]) -> None:
        for row in rows:
            if row.key.part != self.state.service or not row.version:
                continue
            if row.key.table == CANCEL_TABLE:
                self.cancel(row.key.name)
            else:
                self.add(typed(row, JobRow)['job'])
