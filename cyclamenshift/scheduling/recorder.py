"""
cyclamenshift.scheduling.recorder
=================================

Writes the progress of a service's jobs, many jobs in one transaction.
"""

from typing import Final

import trio

from ..component import Host
from ..decisions.progress import JobProgress
from ..decisions.records import row_of
from ..decisions.tracker import JobTracker
from ..duty import OwnershipTerm
from ..jobrows import progress_key
from ..logs import StructuredLogger
from ..store import (
    Check,
    CommitResult,
    Committed,
    Conflict,
    Key,
    StoreClient,
    Transaction,
    Write,
)

#: The most jobs in one transaction: each takes a check and a write, and the
#: store takes 100 entries a call.
BATCH_LIMIT: Final = 48
#: How long changes gather before a transaction, ms; a tenth of the time in
#: which an end has to be taken note of.
GATHER_MS: Final = 10
#: The wait before a transaction that failed is tried again, ms.
RETRY_MS: Final = 50


class Recorder:
    """One task commits what has changed since its last commit."""

    def __init__(
        self,
        term: OwnershipTerm,
        store: StoreClient,
        tracker: JobTracker,
        kernel: Host,
        log: StructuredLogger,
    ) -> None:
        """Record the jobs in *tracker* under *tenure*."""
        self.term = term
        self.store = store
        self.tracker = tracker
        self.clock = kernel.clock
        self.metrics = kernel.metrics
        self.log = log
        self.commits = 0
        self._wanted = trio.Event()
        self._committed = trio.Event()

    async def run(self) -> None:
        """Commit batch after batch, until cancelled."""
        while True:
            if not self.tracker.dirty:
                await self._wanted.wait()
            self._wanted = trio.Event()
            await self.clock.sleep(GATHER_MS)
            await self._commit(list(self.tracker.dirty.values())[:BATCH_LIMIT])

    def want(self) -> None:
        """Let the task look at what has changed."""
        self._wanted.set()

    async def recorded(self, *jobs: JobProgress) -> None:
        """Wait until the present changes of *jobs* are in the store."""
        wanted = [(progress, progress.generation) for progress in jobs]
        self.want()
        for progress, generation in wanted:
            while progress.recorded < generation:
                await self._committed.wait()

    async def _commit(self, batch: list[JobProgress]) -> None:
        generations = [progress.generation for progress in batch]
        asked_at = self.clock.now()
        result = await self.store.commit(self._transaction(batch))
        self.commits += 1
        if isinstance(result, Committed):
            self.term.confirm(asked_at)
            for progress, generation in zip(batch, generations, strict=True):
                self._note(progress, generation, result.version)
            self._committed.set()
            self._committed = trio.Event()
        else:
            await self._fail(batch, result)

    async def _fail(
        self,
        batch: list[JobProgress],
        result: CommitResult,
    ) -> None:
        if isinstance(result, Conflict) and self.term.still_valid(result):
            versions = result.versions()
            for progress in batch:
                progress.version = versions[self._key(progress)]
            return
        self.log.warning(
            'Progress is not written.',
            result=type(result).__name__,
            jobs=len(batch),
        )
        await self.clock.sleep(RETRY_MS)

    def _note(
        self,
        progress: JobProgress,
        generation: int,
        version: int,
    ) -> None:
        progress.version = version
        progress.recorded = generation
        if progress.generation == generation:
            self.tracker.dirty.pop(progress.job.job_id, None)
        if progress.state.final and not progress.end_logged:
            progress.end_logged = True
            took = progress.ended - progress.job.accepted
            self.metrics.job_ms.observe(
                {
                    'service': self.term.domain,
                    'state': str(progress.state),
                },
                took,
            )
            self.log.note(
                'A job is final.',
                job=progress.job.job_id,
                queue=progress.job.queue,
                state=progress.state,
                took_ms=took,
            )

    def _transaction(self, batch: list[JobProgress]) -> Transaction:
        checks = [self.term.check()]
        writes = []
        for progress in batch:
            key = self._key(progress)
            checks.append(Check(key, progress.version))
            writes.append(Write(key, row_of(progress)))
        return Transaction(tuple(checks), tuple(writes))

    def _key(self, progress: JobProgress) -> Key:
        return progress_key(self.term.domain, progress.job.job_id)
