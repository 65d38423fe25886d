"""
tests.test_late_starts
======================

Start orders without an answer that are executed after a restart.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.leases import MAX_ORDER_DELAY_MS
from cyclamenshift.job import Job, TaskId
from cyclamenshift.scheduling.orders import RETRY_DELAY_MS

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker
from .standins.worker_client import RESPONSE_TIMEOUT_MS

TASK = TaskId('job-1', 0, 0, 0)
#: Longer than any lease, s, and than a test, ms.
UPTIME_S = 10
LONG_RUN_MS = 20_000
#: Later than any order is executed, ms.
NEVER_MS = 60_000
#: The time for a look at the worker, its recovery and a start elsewhere, ms.
START_MS = 5 * RETRY_DELAY_MS


async def _submit_with_late_orders(
    job_cluster: JobCluster, late_ms: int
) -> Job:
    """Submit a job whose first order, and its repetition, are late."""
    job_cluster.add_workers('desk', 2)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    job_cluster.workers.run_ms[TASK] = LONG_RUN_MS
    job_cluster.workers.late_order_delays = [late_ms] * 2
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(entry, submitted)
    return submitted


@pytest.mark.parametrize(
    ('late_ms', 'restart_ms', 'registration_ms'),
    [
        (1_000, 950, 0),
        (1_000, 1_200, 2_000),
        (1_500, 950, 300),
        (2_000, 1_600, 2_000),
        (2_500, 1_200, 0),
    ],
)
async def test_late_order_is_executed_after_its_run_was_stopped(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    late_ms: int,
    restart_ms: int,
    registration_ms: int,
) -> None:
    """The process that had confirmed the stop was gone, the task elsewhere."""
    await _submit_with_late_orders(job_cluster, late_ms)
    await trio.sleep(restart_ms / 1000)
    for worker_id in tuple(job_cluster.platform.workers):
        restart = Restart(worker_id, 0, registration_ms)
        job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(UPTIME_S)
    assert job_cluster.workers.count_starts(TASK)
    assert not job_cluster.workers.find_violations()


async def test_task_of_lost_orders_starts_once_they_have_expired(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It waits no longer than a late order may take."""
    await _submit_with_late_orders(job_cluster, NEVER_MS)
    sent_ms = RESPONSE_TIMEOUT_MS + START_MS
    with trio.fail_after((sent_ms + MAX_ORDER_DELAY_MS) / 1000):
        await job_cluster.wait_until(
            lambda: job_cluster.workers.count_starts(TASK)
        )


@pytest.mark.xfail(strict=True, reason='issue 40, see KNOWN-RED.txt')
async def test_late_order_is_executed_after_its_repetition_has_ended(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The process that had executed the repetition was gone."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    job_cluster.workers.late_order_delays = [1_800]
    await job_cluster.submit(entry, job(steps=(step(tasks=1),)))
    await trio.sleep(1.5)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, 0, 0)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(UPTIME_S)
    assert not job_cluster.workers.find_violations()
