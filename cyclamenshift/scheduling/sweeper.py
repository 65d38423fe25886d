"""
cyclamenshift.scheduling.sweeper
================================

Deletes the rows of final jobs after their retention time.
"""

from typing import Final

from ..decisions.progress import JobProgress
from ..jobrows import cancel_key, job_key, progress_key
from ..queuehistory import QueueHistory
from ..queuerows import is_reference
from ..store import (
    Check,
    Committed,
    Conflict,
    Key,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from .state import ServiceState

#: The time between two sweeps, ms; rows are kept for minutes.
SWEEP_INTERVAL_MS: Final = 5_000
#: How much longer than ``keep_final`` a final job is kept, ms: a caller may
#: submit it again some seconds after it got the answer.
RETENTION_SLACK_MS: Final = 10_000
#: The most jobs in one transaction.  Each deletes three rows, and the store
#: accepts 100 entries a call.
MAX_BATCH_JOBS: Final = 32
#: The most pieces in one transaction.
MAX_BATCH_PIECES: Final = 96


class Sweeper:
    """Deletes the rows of expired jobs in batches, from one task."""

    def __init__(self, state: ServiceState) -> None:
        """Create a sweeper for the jobs of one service."""
        self.state = state
        self.clock = state.clock
        self.queue_history = state.kernel.get(QueueHistory)
        self.retention = state.settings['keep_final'] + RETENTION_SLACK_MS

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            expired = self._expired_jobs()[:MAX_BATCH_JOBS]
            if expired:
                await self._delete(expired)

    def _expired_jobs(self) -> list[str]:
        """Return the ids of the jobs past their retention time."""
        cutoff = self.clock.wall_time() - self.retention
        return [
            job_id
            for job_id, progress in self.state.tracker.jobs.items()
            if _may_delete(progress) and progress.ended < cutoff
        ]

    async def _delete(self, job_ids: list[str]) -> None:
        term = self.state.term
        if not await self._delete_references(job_ids):
            return
        if not await self._delete_pieces(job_ids):
            return
        keys = [
            key_of(term.domain, job_id)
            for job_id in job_ids
            for key_of in (job_key, progress_key, cancel_key)
        ]
        result = await self.state.ownership.store.commit(
            Transaction(
                (term.check(),),
                tuple(Write(key, None) for key in keys),
            ),
        )
        if isinstance(result, Committed):
            for job_id in job_ids:
                self.state.tracker.forget(job_id)
                self.state.recorder.forget(job_id)
        elif isinstance(result, Conflict):
            term.still_valid(result, 'deletion of jobs')
        self.state.log.note(
            'Tried to delete expired jobs.',
            jobs=len(job_ids),
            result=type(result).__name__,
        )

    async def _delete_references(self, job_ids: list[str]) -> bool:
        """
        Delete the references to jobs, which are at other services.

        The rows of the jobs are deleted after that, so that an attempt that
        fails is made again.  Returns whether none of the references is left.
        """
        keys = list(filter(None, map(self._reference_key, job_ids)))
        rows = await self.state.ownership.store.read(keys) if keys else []
        if isinstance(rows, Unavailable):
            return False
        references = filter(is_reference, rows)
        commits = [await self._delete_row(row) for row in references]
        return all(commits)

    async def _delete_pieces(self, job_ids: list[str]) -> bool:
        """
        Delete the pieces that final jobs have left over.

        Returns whether there were none, as their jobs go with a later sweep.
        """
        recorder = self.state.recorder
        keys = [
            key
            for job_id in job_ids
            for key in recorder.rows_of(job_id).piece_keys()
        ][:MAX_BATCH_PIECES]
        if not keys:
            return True
        deletions = tuple(Write(key, None) for key in keys)
        term = self.state.term
        result = await self.state.ownership.store.commit(
            Transaction((term.check(),), deletions)
        )
        if isinstance(result, Committed):
            for job_id in job_ids:
                recorder.rows_of(job_id).forget(keys)
        return False

    async def _delete_row(self, row: Row) -> bool:
        deletion = Transaction(
            (Check(row.key, row.version),), (Write(row.key, None),)
        )
        result = await self.state.ownership.store.commit(deletion)
        return isinstance(result, Committed)

    def _reference_key(self, job_id: str) -> Key | None:
        """Return where the reference to a job is, None if it has none."""
        progress = self.state.tracker.jobs[job_id]
        queue = progress.job.queue
        services = self.queue_history.records.services_of(queue)
        if not services or services[0] == self.state.service:
            return None
        return job_key(services[0], job_id)


def _may_delete(progress: JobProgress) -> bool:
    """Return whether a job is final and has no active attempts."""
    return progress.reported_state.final and not progress.attempts()
