"""
tests.test_cut_after_restart
============================

Workers that restart under their id and are cut off before anybody sees it.

The new process takes the expiry in an order to the old one, a time on another
clock, for the longest lease that it accepts.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.job import TaskId

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker

#: Longer than any lease, s and ms.
UPTIME_S = 20
LONG_RUN_MS = 30_000
#: The directory shows the new process only after the end of the test, ms.
REGISTRATION_MS = 10 * LONG_RUN_MS
TASKS = 3


async def _cut_after_restart(
    job_cluster: JobCluster, pause_ms: int, cut_ms: int
) -> None:
    """Submit a job *pause_ms* after a restart; cut the worker off later."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, 0, REGISTRATION_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(pause_ms / 1000)
    submitted = job(steps=(step(tasks=TASKS),))
    for ordinal in range(TASKS):
        task = TaskId('job-1', 0, 0, ordinal)
        job_cluster.workers.run_ms[task] = LONG_RUN_MS
    await job_cluster.submit(entry, submitted)
    await trio.sleep(cut_ms / 1000)
    restarted = job_cluster.workers.current_instance(worker_id)
    restarted.unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(LONG_RUN_MS / 1000)


@pytest.mark.parametrize('lost_answers', [0, 1, 2])
@pytest.mark.parametrize('cut_ms', range(0, 120, 3))
async def test_sweep(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    cut_ms: int,
    lost_answers: int,
) -> None:
    """X."""
    job_cluster.workers.lose_answers = lost_answers
    await _cut_after_restart(job_cluster, 50, cut_ms)
    assert not job_cluster.workers.find_violations()
