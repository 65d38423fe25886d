"""
cyclamenshift.scheduling.recorder
=================================

Writes the progress of a service's jobs to the store, in batches.
"""

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod
from typing import Final, NamedTuple

import trio

from ..component import Host
from ..decisions.progress import JobProgress
from ..decisions.tracker import JobTracker
from ..duty import OwnershipTerm
from ..jobrows import progress_key
from ..logs import StructuredLogger
from ..store import (
    ROWS_SHARE,
    Check,
    Committed,
    Conflict,
    Rejected,
    Row,
    StoreClient,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
)
from .job_rows import JobRows, RowChange, RowLimit

#: The most rows in one transaction.  Each needs a check and a write, and the
#: store accepts 100 entries a call.
MAX_BATCH_ROWS: Final = 48
#: How long changes are collected before a transaction, ms: a tenth of the
#: time within which the end of a run must be processed.
BATCH_DELAY_MS: Final = 10
#: How much longer than it took to prepare the last rows changes are collected.
#: The rows of the largest jobs then take a third of the processor time.
PREPARATION_FACTOR: Final = 2
#: The delay before a failed transaction is retried, ms.
RETRY_DELAY_MS: Final = 50
#: How long a job whose rows were rejected is left out, ms.
REJECTED_PAUSE_MS: Final = 5_000


class JobChanges(NamedTuple):
    """The changes of ``rows`` that record a ``generation`` of a job."""

    progress: JobProgress
    generation: int
    rows: JobRows
    changes: tuple[RowChange, ...]


class BatchItem(NamedTuple):
    """One row of a batch; ``last`` is set for the last one of its job."""

    job: JobChanges
    change: RowChange
    last: bool


class Recorder:
    """
    Commits the changed jobs in batches, from one task.

    ``rejected_until`` has the jobs whose rows the store has rejected, and
    until when they are left out, so that the others are recorded.
    """

    def __init__(
        self,
        term: OwnershipTerm,
        store: StoreClient,
        tracker: JobTracker,
        kernel: Host,
        log: StructuredLogger,
    ) -> None:
        """Record the jobs in *tracker*, with writes fenced by *term*."""
        self.term = term
        self.store = store
        self.tracker = tracker
        self.clock = kernel.clock
        self.metrics = kernel.metrics
        self.admission_metrics = kernel.metrics.load.overload
        self.log = log
        self.limits = kernel.settings['store']
        self.row_limit = RowLimit(self.limits['row_limit'], store.size_of)
        self.commits = 0
        self.rows: dict[str, JobRows] = {}
        self.rejected_until: dict[str, int] = {}
        self._wakeup = trio.Event()
        self._committed = trio.Event()

    async def run(self) -> None:
        """Commit batches until cancelled."""
        preparation = 0
        while True:
            if not self._due_jobs():
                with self.clock.move_on_after(REJECTED_PAUSE_MS):
                    await self._wakeup.wait()
            self._wakeup = trio.Event()
            pause = PREPARATION_FACTOR * preparation
            await self.clock.sleep(max(BATCH_DELAY_MS, pause))
            started = self.clock.now()
            jobs = self._prepare(self._due_jobs()[:MAX_BATCH_ROWS])
            preparation = self.clock.now() - started
            await self._record(jobs)

    def notify(self) -> None:
        """Notify the task that jobs have changed."""
        self._wakeup.set()

    def rows_of(self, job_id: str) -> JobRows:
        """Return the rows of a job, as far as they are known."""
        if job_id not in self.rows:
            key = progress_key(self.term.domain, job_id)
            self.rows[job_id] = JobRows(key, self.row_limit)
        return self.rows[job_id]

    def adopt(self, job_id: str, rows: Iterable[Row]) -> None:
        """Take over the rows of a job that an earlier scheduler wrote."""
        self.rows_of(job_id).adopt(rows)

    def forget(self, job_id: str) -> None:
        """Forget a job whose rows are deleted."""
        self.rows.pop(job_id, None)
        self.rejected_until.pop(job_id, None)

    async def wait_until_recorded(self, progress: JobProgress) -> None:
        """Wait until the current changes of a job are in the store."""
        generation = progress.generation
        self.notify()
        while progress.recorded < generation:
            await self.wait_for_commit()

    async def wait_for_commit(self) -> None:
        """Wait until the next batch is committed."""
        await self._committed.wait()

    def _due_jobs(self) -> list[JobProgress]:
        now = self.clock.now()
        return [
            progress
            for job_id, progress in self.tracker.dirty.items()
            if self.rejected_until.get(job_id, 0) <= now
        ]

    def _prepare(self, jobs: Iterable[JobProgress]) -> list[JobChanges]:
        """Return the changes of *jobs*; those with the fewest rows first."""
        prepared = []
        for progress in jobs:
            rows = self.rows_of(progress.job.job_id)
            changes = tuple(rows.changes(progress))
            prepared.append(
                JobChanges(progress, progress.generation, rows, changes)
            )
        return sorted(prepared, key=_count_changes)

    async def _record(self, jobs: Iterable[JobChanges]) -> None:
        """Write the changes of *jobs*, in transactions one after the other."""
        storable = []
        for job in jobs:
            is_storable = all(map(job.rows.is_storable, job.changes))
            if is_storable and job.changes:
                storable.append(job)
            elif is_storable:
                self._mark_recorded(job)
            else:
                self._leave_out(job, 'a row is too large')
        max_size = round(ROWS_SHARE * self.limits['transaction_limit'])
        for batch in _split(storable, max_size):
            if not await self._commit(batch):
                return

    async def _commit(self, batch: list[BatchItem]) -> bool:
        """Write a batch; return whether to go on with the next one."""
        sent_at = self.clock.now()
        result = await self.store.commit(self._transaction(batch))
        self.commits += 1
        if isinstance(result, Committed):
            self.term.confirm(sent_at)
        return bool(await self._handle(result, batch))

    @singledispatchmethod
    async def _handle(
        self,
        result: Committed | Conflict | Rejected | Unavailable | Uncertain,
        batch: list[BatchItem],
    ) -> bool:
        raise NotImplementedError(type(result).__qualname__)

    @_handle.register
    async def _handle_committed(
        self, result: Committed, batch: list[BatchItem]
    ) -> bool:
        for job, change, last in batch:
            job.rows.confirm(change, result.version)
            if last:
                self._mark_recorded(job)
        return True

    @_handle.register
    async def _handle_conflict(
        self, result: Conflict, batch: list[BatchItem]
    ) -> bool:
        """Adopt the versions of rows that an earlier attempt has written."""
        if not self.term.still_valid(result, 'write of progress'):
            return False
        versions = result.versions()
        for job, change, _last in batch:
            job.rows.correct({change.key: versions[change.key]})
        return False

    @_handle.register
    async def _handle_rejection(
        self, result: Rejected, batch: list[BatchItem]
    ) -> bool:
        """Write the jobs of a batch one by one, but for a rejected one."""
        jobs = {each.job.progress.job.job_id: each.job for each in batch}
        if len(jobs) == 1:
            self._leave_out(batch[0].job, result.reason)
            return False
        for job in jobs.values():
            await self._commit([each for each in batch if each.job is job])
        return False

    @_handle.register(Unavailable)
    @_handle.register(Uncertain)
    async def _handle_failure(
        self, result: Unavailable | Uncertain, batch: list[BatchItem]
    ) -> bool:
        self.log.warning(
            'Job progress not confirmed as written.',
            result=type(result).__name__,
            rows=len(batch),
        )
        await self.clock.sleep(RETRY_DELAY_MS)
        return False

    def _leave_out(self, job: JobChanges, reason: str) -> None:
        """Leave out a job for a while, so that the others are recorded."""
        job_id = job.progress.job.job_id
        until = self.clock.now() + REJECTED_PAUSE_MS
        self.rejected_until[job_id] = until
        self.log.error(
            'Job left out: the store rejects its progress.',
            job=job_id,
            reason=reason,
            rows=len(job.changes),
            largest=max(change.size for change in job.changes),
        )

    def _mark_recorded(self, job: JobChanges) -> None:
        progress = job.progress
        progress.recorded = job.generation
        self.rejected_until.pop(progress.job.job_id, None)
        if progress.generation == job.generation:
            self.tracker.dirty.pop(progress.job.job_id, None)
        if progress.state.final and not progress.end_logged:
            self._log_end(progress)
        self._committed.set()
        self._committed = trio.Event()

    def _log_end(self, progress: JobProgress) -> None:
        progress.end_logged = True
        duration = progress.ended - progress.job.accepted
        self.metrics.job_ms.observe(
            {
                'service': self.term.domain,
                'state': str(progress.state),
            },
            duration,
        )
        self.admission_metrics.record_end(
            self.term.domain,
            progress.job.account,
            progress.state,
            in_time=duration <= progress.schedule.objective,
        )
        self.log.note(
            'Job finished.',
            job=progress.job.job_id,
            queue=progress.job.queue,
            state=progress.state,
            took_ms=duration,
        )

    def _transaction(self, batch: Iterable[BatchItem]) -> Transaction:
        changes = [each.change for each in batch]
        return Transaction(
            (
                self.term.check(),
                *(Check(change.key, change.version) for change in changes),
            ),
            tuple(Write(change.key, change.fields) for change in changes),
        )


def _count_changes(job: JobChanges) -> int:
    return len(job.changes)


def _split(
    jobs: Iterable[JobChanges], max_size: int
) -> Iterator[list[BatchItem]]:
    """Yield the changes of *jobs* in batches that fit into a transaction."""
    batch: list[BatchItem] = []
    for each in _items_of(jobs):
        size = sum(other.change.size for other in batch)
        is_full = len(batch) == MAX_BATCH_ROWS
        if batch and (is_full or size + each.change.size > max_size):
            yield batch
            batch = []
        batch.append(each)
    if batch:
        yield batch


def _items_of(jobs: Iterable[JobChanges]) -> Iterator[BatchItem]:
    for job in jobs:
        for change in job.changes:
            yield BatchItem(job, change, last=change is job.changes[-1])
