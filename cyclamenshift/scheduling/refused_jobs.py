"""
cyclamenshift.scheduling.refused_jobs
=====================================

Deletes the rows of refused jobs once no write of them can be under way.
"""

from typing import Final

from ..jobrows import job_key
from ..refusedjobs import RefusedJobRow, is_refusal
from ..rows import decode_row
from ..store import Check, Committed, Row, Transaction, Unavailable, Write
from .state import ServiceState

#: How long the row of a refused job is kept, ms: longer than callers return,
#: and than a write without an answer may take to be executed.
RETENTION_MS: Final = 60_000
#: The time between two rounds of deletions, ms.
INTERVAL_MS: Final = 5_000
#: The most rows in one transaction.
MAX_BATCH_ROWS: Final = 32


class RefusedJobs:
    """The jobs that were refused, by this owner or an earlier one."""

    def __init__(self, state: ServiceState) -> None:
        """Start without refused jobs."""
        self.state = state
        self.clock = state.clock
        #: When each was refused, ms since the epoch, in the order of times.
        self.refused: dict[str, int] = {}

    def add(self, job_id: str) -> None:
        """Add a job that is refused now."""
        self.refused.pop(job_id, None)
        self.refused[job_id] = self.clock.wall_time()

    def restore(self, row: Row) -> None:
        """Add a job that an earlier owner refused."""
        self.refused[row.key.name] = decode_row(row, RefusedJobRow)['refused']

    async def run(self) -> None:
        """Delete expired rows until cancelled."""
        while True:
            await self.clock.sleep(INTERVAL_MS)
            cutoff = self.clock.wall_time() - RETENTION_MS
            expired = [
                job_id for job_id, at in self.refused.items() if at < cutoff
            ]
            for first in range(0, len(expired), MAX_BATCH_ROWS):
                await self._delete(expired[first : first + MAX_BATCH_ROWS])

    async def _delete(self, job_ids: list[str]) -> None:
        """Delete rows that still stand for a refusal."""
        store = self.state.ownership.store
        keys = [job_key(self.state.service, job_id) for job_id in job_ids]
        rows = await store.read(keys)
        if isinstance(rows, Unavailable):
            return
        refusals = [row for row in rows if is_refusal(row)]
        transaction = Transaction(
            tuple(Check(row.key, row.version) for row in refusals),
            tuple(Write(row.key, None) for row in refusals),
        )
        if refusals:
            result = await store.commit(transaction)
            if not isinstance(result, Committed):
                return
        for job_id in job_ids:
            self.refused.pop(job_id, None)
