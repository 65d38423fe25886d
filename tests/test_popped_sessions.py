"""
tests.test_popped_sessions
==========================

Late calls of sessions whose worker is not registered any more.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.run_ends import MAX_KEPT_MS, RunEndLog
from cyclamenshift.job import JobState, RunEnd, RunId, RunOutcome, TaskId

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker

UPTIME_S = 20
RUN_MS = 300
LONG_RUN_MS = 30_000
#: Before the first job has ended, and right after, s.
AT_WORK_S = 0.2
MOMENT_S = 0.02
RESTARTED_S = 0.65
MARGIN_S = 0.5
FIRST_TASK = TaskId('job-1', 0, 0, 0)


@pytest.mark.parametrize('late_ms', [1_500, 2_500])
async def test_late_lease_by_a_session_of_an_unregistered_worker_is_forgotten(
    job_cluster: JobCluster, autojump_clock: MockClock, late_ms: int
) -> None:
    """The next process was registered before it reported."""
    workers = job_cluster.workers
    workers.run_ms[TaskId('job-0', 0, 0, 0)] = RUN_MS
    workers.run_ms[FIRST_TASK] = LONG_RUN_MS
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    first = job('job-0', steps=(step(tasks=1),))
    await job_cluster.submit(entry, first)
    await trio.sleep(AT_WORK_S)
    workers.faults.late_acknowledgements = [late_ms]
    await job_cluster.wait_for_state(JobState.completed, first)
    await trio.sleep(MOMENT_S)
    restart = Restart(worker_id, 300, 100)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(RESTARTED_S)
    await job_cluster.submit(entry, job(steps=(step(tasks=1),)))
    await trio.sleep(late_ms / 1000 + MARGIN_S)
    workers.current_instance(worker_id).unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(LONG_RUN_MS / 1000)
    assert not workers.find_violations()


def test_worker_without_ends_gets_no_orders_for_good() -> None:
    """Its ends had been kept, and were acknowledged by another call."""
    end_log = RunEndLog()
    end = RunEnd(1, RunId(FIRST_TASK, 1), RunOutcome.done, '')
    end_log.add((end,), ())
    end_log.record_kept(0, kept=True)
    end_log.confirm(1)
    assert not end_log.is_overdue(MAX_KEPT_MS + 1)
