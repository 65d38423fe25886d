"""
cyclamenshift.scheduling.rows
=============================

Reads the rows of a service: all at first, then what callers add.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

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
from ..rows import decode_row
from ..store import ABSENT, HistoryLost, Row, Snapshot, Unavailable
from .state import RETRY_MS, ServiceState

#: How often the rows are looked at for jobs whose hint was lost, ms.
POLL_MS: Final = 1_000


class Entry(NamedTuple):
    """A job, and the row of its progress if that was recorded."""

    job: Job
    recorded: Row | None


class Rows:
    """The task that reads the rows of one service."""

    def __init__(self, state: ServiceState, directory: Directory) -> None:
        """Start with nothing read."""
        self.state = state
        self.clock = state.clock
        self.tracker = state.tracker
        self.directory = directory
        self.versions = {JOB_TABLE: ABSENT, CANCEL_TABLE: ABSENT}
        self.orphans: dict[str, Entry] = {}
        self.cancelled: set[str] = set()

    async def load(self) -> None:
        """Read every row of the service; try until the store gives them."""
        while True:
            try:
                if await self._read():
                    return
            except ProtocolError as error:
                self.state.log.error('A row is not read.', problem=str(error))
            await self.clock.sleep(RETRY_MS)

    async def poll(self, table: str) -> None:
        """
        Look in *table* for what no hint told of, until cancelled.

        Each table has its own task: a call that hangs holds up just one.
        """
        while True:
            await self.clock.sleep(POLL_MS)
            self._take_orphans()
            await self._poll(table)

    def add(self, job: Job) -> None:
        """Take a job that was stored."""
        if self._enter(Entry(job, None)):
            self.state.arrivals.add(job, self.clock.now())
            self.state.wake()

    def cancel(self, job_id: str) -> None:
        """Take a cancel that was stored, perhaps before its job is known."""
        if job_id not in self.tracker.jobs:
            self.cancelled.add(job_id)
        elif self.tracker.cancel(job_id, self.clock.wall_time()):
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
        self.state.term.confirm(asked_at)
        self._take_all(found)
        self.state.log.note(
            'Read the rows.',
            jobs=len(self.tracker.jobs),
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
        self._enter(Entry(decode_row(row, JobRow)['job'], recorded))

    def _enter(self, entry: Entry) -> bool:
        """Put a job into the tracker; return whether it is new there."""
        job, recorded = entry
        queue = self._queue(job.queue)
        if queue is None:
            self._keep_orphan(entry)
            return False
        if recorded is None:
            added = (
                self.tracker.add(job, queue, self.clock.wall_time()) is not None
            )
        else:
            added = True
            self.tracker.restore(
                JobProgress(job, queue, recorded.version),
                decode_row(recorded, ProgressRow),
                self.clock.wall_time(),
                self.clock.now(),
            )
        if job.job_id in self.cancelled:
            self.cancelled.discard(job.job_id)
            self.cancel(job.job_id)
        return added

    def _keep_orphan(self, entry: Entry) -> None:
        """Keep a job whose queue the configuration here does not have yet."""
        job = entry.job
        if job.job_id not in self.orphans:
            self.orphans[job.job_id] = entry
            self.state.log.note(
                'A job waits for its queue.',
                job=job.job_id,
                queue=job.queue,
            )

    def _take_orphans(self) -> None:
        for entry in tuple(self.orphans.values()):
            if self._queue(entry.job.queue):
                self.orphans.pop(entry.job.job_id)
                self._enter(entry)
                self.state.wake()

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
            if row.key.partition != self.state.service or not row.version:
                continue
            if row.key.table == CANCEL_TABLE:
                self.cancel(row.key.name)
            else:
                self.add(decode_row(row, JobRow)['job'])
