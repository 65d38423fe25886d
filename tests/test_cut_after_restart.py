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

from cyclamenshift.decisions.leases import REPORT_WAIT_MS, max_elapsed
from cyclamenshift.job import Job, JobState, TaskId

from .builders import entry_settings, job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker
from .standins.sim_worker import now_ms
from .standins.worker_client import RESPONSE_TIMEOUT_MS
from .standins.worker_faults import Cut

#: Longer than any lease, s and ms.
UPTIME_S = 20
LONG_RUN_MS = 30_000
#: The directory shows the new process only after the end of the test, ms.
REGISTRATION_MS = 10 * LONG_RUN_MS
#: The directory shows it soon, ms.
SEEN_MS = 300
PAUSE_S = 0.05
#: Longer than a lease that was granted, but shorter than the longest lease.
SHORT_CUT_S = 7
TASKS = 3
FIRST_TASK = TaskId('job-1', 0, 0, 0)
#: For how long a poll and the calls after it may go unanswered before the
#: runs are given up, ms.
FOUND_MS = REPORT_WAIT_MS + 2 * RESPONSE_TIMEOUT_MS


def _long_job(job_cluster: JobCluster) -> Job:
    """Return a job whose tasks outlast every lease."""
    for ordinal in range(TASKS):
        task = FIRST_TASK._replace(ordinal=ordinal)
        job_cluster.workers.run_ms[task] = LONG_RUN_MS
    return job(steps=(step(tasks=TASKS),))


async def _cut_after_restart(job_cluster: JobCluster, cut_ms: int) -> None:
    """Submit a job right after a restart; cut the worker off *cut_ms* later."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, 0, REGISTRATION_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(PAUSE_S)
    await job_cluster.submit(entry, _long_job(job_cluster))
    await trio.sleep(cut_ms / 1000)
    restarted = job_cluster.workers.current_instance(worker_id)
    restarted.unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(LONG_RUN_MS / 1000)


@pytest.mark.parametrize(
    ('cut_ms', 'lost_answers'),
    [
        (15, 0),
        (27, 0),
        (45, 0),
        (15, 1),
        (39, 1),
        (24, 2),
        (66, 2),
    ],
)
async def test_task_runs_twice_after_an_unseen_restart_and_a_cut(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    cut_ms: int,
    lost_answers: int,
) -> None:
    """The lease of the new process was reckoned on the clock of the old."""
    job_cluster.workers.lose_answers = lost_answers
    await _cut_after_restart(job_cluster, cut_ms)
    assert job_cluster.workers.count_starts(FIRST_TASK) == 2
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('cut_ms', [0, 100, 2_000])
async def test_done_task_runs_again_after_an_unseen_restart_and_a_cut(
    job_cluster: JobCluster, autojump_clock: MockClock, cut_ms: int
) -> None:
    """The new process did the work, but none of its responses came back."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, 0, REGISTRATION_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(cut_ms / 1000)
    job_cluster.workers.faults.cuts.append(Cut(worker_id, one_way=True))
    await job_cluster.submit(entry, job(steps=(step(tasks=TASKS),)))
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(SHORT_CUT_S)
    job_cluster.workers.faults.clear()
    await trio.sleep(LONG_RUN_MS / 1000)
    assert job_cluster.workers.count_starts(FIRST_TASK) == 1
    assert not job_cluster.workers.find_violations()


async def _restart_work_of_a_cut(
    job_cluster: JobCluster, worked_ms: int
) -> int:
    """Cut a worker off after *worked_ms*; return when its work restarts, ms."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(UPTIME_S)
    await job_cluster.submit(entry, _long_job(job_cluster))
    await trio.sleep(worked_ms / 1000)
    assert job_cluster.workers.count_starts(FIRST_TASK) == 1
    cut_at = now_ms()
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    job_cluster.workers.current_instance(worker_id).unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await job_cluster.wait_until(
        lambda: job_cluster.workers.count_starts(FIRST_TASK) == 2
    )
    assert not job_cluster.workers.find_violations()
    return now_ms() - cut_at


@pytest.mark.parametrize(
    ('worked_ms', 'lost_answers'), [(60, 0), (500, 0), (3_000, 0), (500, TASKS)]
)
async def test_work_of_a_plain_cut_waits_for_its_own_lease_only(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    worked_ms: int,
    lost_answers: int,
) -> None:
    """A run that its process accepted or reported waits no longer."""
    job_cluster.workers.lose_answers = lost_answers
    waited = await _restart_work_of_a_cut(job_cluster, worked_ms)
    lease = entry_settings()['jobs']['lease']
    assert waited <= max_elapsed(lease) + FOUND_MS


async def test_unanswered_order_of_a_plain_cut_waits_for_the_longest_lease(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It waits as long only if another process may have got the order."""
    job_cluster.workers.lose_answers = TASKS
    job_cluster.workers.names_receivers = True
    waited = await _restart_work_of_a_cut(job_cluster, 60)
    lease = entry_settings()['jobs']['lease']
    assert waited <= max_elapsed(lease) + FOUND_MS


async def test_order_without_a_receiver_waits_for_the_longest_lease(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Any process under the worker's id may have got the order."""
    job_cluster.workers.lose_answers = TASKS
    waited = await _restart_work_of_a_cut(job_cluster, 60)
    longest = entry_settings()['jobs']['max_lease']
    assert waited > max_elapsed(longest)


@pytest.mark.parametrize('cut_ms', [60, 500, 1_500])
async def test_new_owner_gives_up_a_run_under_a_lease_of_the_owner_before(
    job_cluster: JobCluster, autojump_clock: MockClock, cut_ms: int
) -> None:
    """An order to the process before had given a longer lease than its own."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(3)
    await trio.sleep(UPTIME_S)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, 0, SEEN_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(PAUSE_S)
    earlier, later = (
        job('job-0', steps=(step(tasks=1),)),
        _long_job(job_cluster),
    )
    owner = job_cluster.owner('desk')
    entry = job_cluster.entry_not_owning('desk')
    await job_cluster.submit(entry, earlier)
    await job_cluster.wait_for_state(JobState.completed, earlier)
    job_cluster.kill(owner)
    await job_cluster.wait_until(job_cluster.all_owned)
    await job_cluster.submit(entry, later)
    await job_cluster.wait_until(
        lambda: job_cluster.workers.count_starts(FIRST_TASK) == 1
    )
    await trio.sleep(cut_ms / 1000)
    job_cluster.workers.current_instance(worker_id).unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(LONG_RUN_MS / 1000)
    assert job_cluster.workers.count_starts(FIRST_TASK) == 2
    assert not job_cluster.workers.find_violations()
