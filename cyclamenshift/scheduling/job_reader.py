"""
cyclamenshift.scheduling.job_reader
===================================

Reads the jobs of a service from the store: all at first, then new ones.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import trio

from ..decisions.overload.run_times import RunTimeModel
from ..decisions.pieces import join
from ..decisions.progress import UNKNOWN_QUEUE, JobProgress
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
from ..progressrows import DividedRow, Piece, PieceRow, is_divided, piece_of
from ..queuehistory import QueueHistory
from ..refusedjobs import is_job, is_refusal
from ..rows import RowType, decode_row
from ..store import ABSENT, HistoryLost, Key, Row, Snapshot, Unavailable
from .account_limits import AccountLimits
from .ownership_check import RETRY_DELAY_MS
from .refused_jobs import RefusedJobs
from .state import ServiceState

#: The tables that a scheduler must know before it starts a task.
LOADED_TABLES: Final = (JOB_TABLE, PROGRESS_TABLE, CANCEL_TABLE)
#: How often a table is polled for jobs whose notification was lost, ms.
POLL_INTERVAL_MS: Final = 1_000
#: The minimum time between two scans of the job table, ms.  While the store
#: drops its history all the time, each poll would cause one.
MIN_SCAN_INTERVAL_MS: Final = 5_000


class StoredJob(NamedTuple):
    """A job, its progress row if there is one, and the rows of its pieces."""

    job: Job
    progress_row: Row | None
    piece_rows: tuple[Row, ...] = ()


class JobReader:
    """Loads and follows the jobs and cancellations of one service."""

    def __init__(
        self,
        state: ServiceState,
        account_limits: AccountLimits,
        refused_jobs: RefusedJobs,
    ) -> None:
        """Create a reader that has read nothing yet."""
        self.state = state
        self.account_limits = account_limits
        self.refused_jobs = refused_jobs
        self.clock = state.clock
        self.tracker = state.tracker
        self.directory = state.kernel.get(Directory)
        self.queue_history = state.kernel.get(QueueHistory)
        self.loaded_tables: dict[str, Snapshot] = {}
        self.next_job_scan = 0
        self.versions = {JOB_TABLE: ABSENT, CANCEL_TABLE: ABSENT}
        self.suspended: set[str] = set()
        self.pending_cancellations: set[str] = set()

    async def load(self) -> None:
        """Read all rows of the service, retrying until the store answers."""
        while not await self._load_tables():
            await self.clock.sleep(RETRY_DELAY_MS)
        self._restore_all()
        self.state.log.note(
            'Job tables loaded.',
            jobs=len(self.tracker.jobs),
            version=self.versions[JOB_TABLE],
            **_known_run_times(self.tracker.run_times),
        )

    async def poll(self, table: str) -> None:
        """
        Poll *table* for changes whose notification was lost.

        Each table has its own task, so that a hanging call delays only one.
        """
        while True:
            await self.clock.sleep(POLL_INTERVAL_MS)
            self._resume_suspended()
            await self._poll(table)

    def add(self, job: Job) -> None:
        """Add a job that has been stored."""
        if self._register(StoredJob(job, None)):
            self.state.demand.add(job)
            self.account_limits.record_arrival(job)
            self.state.wake()

    def cancel(self, job_id: str) -> None:
        """Apply a stored cancellation, which may arrive before its job."""
        if job_id not in self.tracker.jobs:
            self.pending_cancellations.add(job_id)
        elif self.tracker.cancel(job_id, self.clock.wall_time()):
            self.state.recorder.notify()
            self.state.wake()

    async def _load_tables(self) -> bool:
        """
        Scan the tables that are not loaded yet; return whether all are.

        A table that was loaded stays valid while the others are read again:
        its later changes are followed, and nobody else writes the progress.
        """
        async with trio.open_nursery() as nursery:
            for table in LOADED_TABLES:
                if table not in self.loaded_tables:
                    nursery.start_soon(self._load_table, table)
        return len(self.loaded_tables) == len(LOADED_TABLES)

    async def _load_table(self, table: str) -> None:
        scanned = await self.state.ownership.store.scan(
            table, self.state.service
        )
        if isinstance(scanned, Snapshot):
            self.loaded_tables[table] = scanned

    def _restore_all(self) -> None:
        for table in self.versions:
            self.versions[table] = self.loaded_tables[table].version
        progress_rows = {
            row.key.name: row for row in self.loaded_tables[PROGRESS_TABLE].rows
        }
        piece_rows = _pieces_by_job(progress_rows.values())
        for refusal in filter(is_refusal, self.loaded_tables[JOB_TABLE].rows):
            self.refused_jobs.restore(refusal)
        for row in filter(is_job, self.loaded_tables[JOB_TABLE].rows):
            decoded = self._decode(row, JobRow)
            if decoded:
                progress_row = progress_rows.get(row.key.name)
                pieces = tuple(piece_rows.get(row.key.name, ()))
                self._register(StoredJob(decoded['job'], progress_row, pieces))
        for cancelled in self.loaded_tables[CANCEL_TABLE].rows:
            self.cancel(cancelled.key.name)
        self.loaded_tables.clear()

    def _register(self, stored: StoredJob) -> bool:
        """
        Start tracking a job; return whether it is new and may start.

        A job whose queue is not in the local configuration is tracked as
        well: the ends of its runs are acknowledged, so they must count.
        """
        job = stored.job
        progress = self._track(stored)
        if progress is None:
            return False
        self.queue_history.require(job.queue, self.state.service)
        if progress.suspended and not progress.state.final:
            self.suspended.add(job.job_id)
            self.state.log.note(
                'Job suspended: its queue is not configured.',
                job=job.job_id,
                queue=job.queue,
            )
        if job.job_id in self.pending_cancellations:
            self.pending_cancellations.discard(job.job_id)
            self.cancel(job.job_id)
        return not progress.suspended

    def _track(self, stored: StoredJob) -> JobProgress | None:
        """Track a job; return None if it is known or its row is invalid."""
        job, progress_row, piece_rows = stored
        queue = self._queue(job.queue) or UNKNOWN_QUEUE
        wall_time = self.clock.wall_time()
        self.state.recorder.adopt(job.job_id, piece_rows)
        if progress_row is None:
            return self.tracker.add(job, queue, wall_time)
        self.state.recorder.adopt(job.job_id, (progress_row,))
        fields = self._decode_progress(progress_row, piece_rows)
        if fields is None:
            return None
        progress = JobProgress(job, queue, self.tracker.run_times)
        self.tracker.restore(progress, fields, wall_time, self.clock.now())
        self.state.crashes.ledger.restore(progress)
        return progress

    def _resume_suspended(self) -> None:
        """Resume the jobs whose queue is configured by now."""
        for job_id in tuple(self.suspended):
            progress = self.tracker.jobs.get(job_id)
            queue = self._queue(progress.job.queue) if progress else None
            if progress and queue:
                self.tracker.resume(progress, queue, self.clock.wall_time())
                self.state.recorder.notify()
                self.state.wake()
            if queue or not progress:
                self.suspended.discard(job_id)

    def _queue(self, name: str) -> Queue | None:
        """Return a queue as configured, or as it was before its removal."""
        catalog = self.directory.catalog
        configured = catalog.queues.get(name) if catalog else None
        return configured or self.queue_history.records.last_known(name)

    async def _poll(self, table: str) -> None:
        version = self.versions[table]
        changes = await self.state.ownership.store.follow(table, version, 0)
        if isinstance(changes, HistoryLost):
            changes = await self._rescan(table)
        if isinstance(changes, Snapshot):
            self._apply(changes.rows)
            self.versions[table] = max(version, changes.version)

    async def _rescan(self, table: str) -> Snapshot | Unavailable:
        """Scan *table*, but that of the jobs, which is large, less often."""
        if table == JOB_TABLE:
            return await self._rescan_jobs()
        return await self.state.ownership.store.scan(table, self.state.service)

    async def _rescan_jobs(self) -> Snapshot | Unavailable:
        """
        Scan for jobs that are not known yet.

        Those known before the scan are left out: a final one may have been
        deleted meanwhile, and would run again as a new job.
        """
        if self.clock.remaining(self.next_job_scan):
            return Unavailable('scanned a short time ago')
        self.next_job_scan = self.clock.now() + MIN_SCAN_INTERVAL_MS
        known = set(self.tracker.jobs)
        scanned = await self.state.ownership.store.scan(
            JOB_TABLE, self.state.service
        )
        if isinstance(scanned, Unavailable):
            return scanned
        unknown = (row for row in scanned.rows if row.key.name not in known)
        return scanned._replace(rows=tuple(unknown))

    def _apply(self, rows: Iterable[Row]) -> None:
        for row in rows:
            if row.key.partition == self.state.service:
                self._apply_row(row)

    def _apply_row(self, row: Row) -> None:
        if row.version == ABSENT:
            self._forget(row.key)
        elif row.key.table == CANCEL_TABLE:
            self.cancel(row.key.name)
        elif is_job(row):
            decoded = self._decode(row, JobRow)
            if decoded:
                self.add(decoded['job'])

    def _forget(self, key: Key) -> None:
        """Forget a deleted cancellation that was kept for its job."""
        if key.table == CANCEL_TABLE:
            self.pending_cancellations.discard(key.name)

    def _decode_progress(
        self, row: Row, piece_rows: Iterable[Row]
    ) -> ProgressRow | None:
        """Return the progress of a job, which may be in several rows."""
        if not is_divided(row):
            return self._decode(row, ProgressRow)
        divided = self._decode(row, DividedRow)
        pieces: dict[Piece, PieceRow] = {}
        for piece_row in piece_rows:
            named = piece_of(piece_row.key)
            fields = self._decode(piece_row, PieceRow)
            if named is None or fields is None:
                return None
            pieces[named.piece] = fields
        return join(divided, pieces) if divided else None

    def _decode(self, row: Row, row_type: type[RowType]) -> RowType | None:
        """Return the fields of a row, None for a row that is invalid."""
        try:
            return decode_row(row, row_type)
        except ProtocolError as error:
            self.state.log.error(
                'Invalid row in the store.', problem=str(error)
            )
            return None


def _known_run_times(run_times: RunTimeModel | None) -> dict[str, int]:
    """Return the field that tells that a model has started empty."""
    return (
        {} if run_times is None else {'run_times_known': len(run_times.pairs)}
    )


def _pieces_by_job(rows: Iterable[Row]) -> dict[str, list[Row]]:
    """Return the rows of pieces among *rows*, by the id of their job."""
    pieces: dict[str, list[Row]] = {}
    for row in rows:
        named = piece_of(row.key)
        if named is not None:
            pieces.setdefault(named.job_id, []).append(row)
    return pieces
