"""
tests.standins.account_watch
============================

Watches what an account has running at all simulated workers.
"""

import trio

from .jobs import JobCluster
from .sim_worker import now_ms

#: The time between two looks, s.
INTERVAL_S = 0.002


class AccountWatch:
    """
    Notes when a start brings an account above its limit, millicores.

    ``jobs`` are the jobs of the account.  A limit that was in force counts for
    ``grace`` ms more, because orders that were sent under it may be carried
    out late.
    """

    def __init__(self, cluster: JobCluster, grace: int = 0) -> None:
        """Start without jobs and without a limit."""
        self.cluster = cluster
        self.grace = grace
        self.jobs: set[str] = set()
        self.limits: list[tuple[int, int]] = []
        self.most = 0
        self.exceeded: list[str] = []

    def set_limit(self, limit: int) -> None:
        """Set the limit from now on, 0 for none."""
        self.limits.append((now_ms(), limit))

    async def run(self) -> None:
        """Watch until cancelled."""
        before = 0
        while True:
            running = self._running()
            limit = self._limit()
            if running > max(before, limit):
                self.exceeded.append(
                    f'{running} of {limit} millicores at {now_ms()} ms'
                )
            self.most = max(self.most, running)
            before = running
            await trio.sleep(INTERVAL_S)

    def _running(self) -> int:
        steps = self.cluster.workers.steps
        return sum(
            steps[task.job_id, task.step].resources.cpu
            for task in self.cluster.workers.running_tasks()
            if task.job_id in self.jobs
        )

    def _limit(self) -> float:
        """Return the highest limit that may be in force."""
        start = now_ms() - self.grace
        last = [limit for at, limit in self.limits if at <= start][-1:]
        recent = [limit for at, limit in self.limits if at > start]
        in_force = last + recent
        return max((limit or float('inf') for limit in in_force), default=0)
