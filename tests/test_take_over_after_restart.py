"""
tests.test_take_over_after_restart
==================================

Workers that restart under their id and are cut off around a take-over.

What the owner before ordered may be at a process that its successor has never
heard of, under the longest lease that it accepts.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.leases import REPORT_WAIT_MS, max_elapsed
from cyclamenshift.job import TaskId

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker
from .standins.sim_worker import now_ms
from .standins.worker_client import RESPONSE_TIMEOUT_MS

#: Longer than any lease, s and ms.
UPTIME_S = 20
LONG_RUN_MS = 30_000
#: The directory shows the new process only after the end of the test, ms.
NEVER_MS = 10 * LONG_RUN_MS
PAUSE_S = 0.05
#: Shorter than a call, s.
MOMENT_S = 0.001
SUCCESSOR_EPOCH = 2
#: How late an order may be executed, ms.
LATE_MS = 2_900
TASKS = 3
FIRST_TASK = TaskId('job-1', 0, 0, 0)
#: For how long a poll and the calls after it may go unanswered before the
#: runs are given up, ms.
FOUND_MS = REPORT_WAIT_MS + 2 * RESPONSE_TIMEOUT_MS


async def _start(job_cluster: JobCluster) -> str:
    """Start entry VMs and a worker; return its id once it is up for long."""
    for ordinal in range(TASKS):
        task = FIRST_TASK._replace(ordinal=ordinal)
        job_cluster.workers.run_ms[task] = LONG_RUN_MS
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(3)
    await trio.sleep(UPTIME_S)
    return job_cluster.get_worker_id('desk-vm-1')


async def _submit_and_kill(job_cluster: JobCluster, kill_ms: int) -> None:
    """Submit a job, and kill the owner of its service *kill_ms* later."""
    entry = job_cluster.entry_not_owning('desk')
    await job_cluster.submit(entry, job(steps=(step(tasks=TASKS),)))
    await trio.sleep(kill_ms / 1000)
    job_cluster.kill(job_cluster.owner('desk'))


async def _cut_off(job_cluster: JobCluster, worker_id: str) -> None:
    """Cut off the last process of a worker; wait for a start elsewhere."""
    cut_off = job_cluster.workers.current_instance(worker_id)
    cut_off.unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    starts = job_cluster.workers.count_starts
    with trio.fail_after(LONG_RUN_MS / 1000):
        await job_cluster.wait_until(lambda: starts(FIRST_TASK) == 2)


@pytest.mark.parametrize('registration_ms', [300, NEVER_MS, None])
@pytest.mark.parametrize(
    ('kill_ms', 'late_ms'),
    [(50, 0), (60, 1_500), (50, LATE_MS)],
)
async def test_task_runs_twice_after_a_restart_that_the_owner_missed(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    registration_ms: int | None,
    kill_ms: int,
    late_ms: int,
) -> None:
    """The successor waited for the leases of the recorded process only."""
    worker_id = await _start(job_cluster)
    restart = Restart(worker_id, 0, registration_ms or NEVER_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(PAUSE_S)
    if late_ms:
        job_cluster.workers.late_order_delays = [late_ms] * TASKS
    await _submit_and_kill(job_cluster, kill_ms)
    if registration_ms is None:
        job_cluster.platform.workers.pop(worker_id)
        job_cluster.platform.notify_change()
    await _cut_off(job_cluster, worker_id)
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('restarts', [1, 2])
async def test_task_runs_twice_after_a_restart_between_two_reports(
    job_cluster: JobCluster, autojump_clock: MockClock, restarts: int
) -> None:
    """The report fenced off the orders to the process before only."""
    worker_id = await _start(job_cluster)
    job_cluster.workers.late_order_delays = [LATE_MS] * TASKS
    await _submit_and_kill(job_cluster, kill_ms=50)
    reporting = job_cluster.workers.current_instance(worker_id)
    while reporting.fence < SUCCESSOR_EPOCH:
        await trio.sleep(MOMENT_S)
    reporting.unreachable_from = set()
    for _restart in range(restarts):
        restart = Restart(worker_id, 0, NEVER_MS)
        job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
        await trio.sleep(MOMENT_S)
    await _cut_off(job_cluster, worker_id)
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    assert any(session.has_reported for session in state.sessions.values())
    assert not job_cluster.workers.find_violations()


@pytest.mark.xfail(strict=True, reason='issue 43, see KNOWN-RED.txt')
@pytest.mark.parametrize('lost_answers', [0, 1])
async def test_task_runs_twice_as_the_next_process_gets_a_late_order(
    job_cluster: JobCluster, autojump_clock: MockClock, lost_answers: int
) -> None:
    """The process before had not listed the run, or had it as well."""
    worker_id = await _start(job_cluster)
    workers = job_cluster.workers
    workers.lose_answers = lost_answers
    entry = job_cluster.entry_not_owning('desk')
    await job_cluster.submit(entry, job(steps=(step(tasks=1),)))
    await job_cluster.wait_until(lambda: not workers.lose_answers)
    workers.late_order_delays = [LATE_MS]
    await job_cluster.wait_until(lambda: not workers.late_order_delays)
    job_cluster.kill(job_cluster.owner('desk'))
    await trio.sleep(0.3)
    workers.current_instance(worker_id).unreachable_from = set()
    restart = Restart(worker_id, 0, NEVER_MS)
    job_cluster.nursery.start_soon(restart_worker, job_cluster, restart)
    await trio.sleep(MOMENT_S)
    workers.current_instance(worker_id).unreachable_from = set()
    job_cluster.add_vm('desk-vm-2', 'desk')
    await trio.sleep(LONG_RUN_MS / 1000)
    assert not workers.find_violations()


@pytest.mark.parametrize('worked_ms', [300, 4_000])
async def test_work_that_was_reported_waits_for_leases_of_its_process_only(
    job_cluster: JobCluster, autojump_clock: MockClock, worked_ms: int
) -> None:
    """A cut after the report to the successor costs no longer wait."""
    worker_id = await _start(job_cluster)
    await _submit_and_kill(job_cluster, kill_ms=100)
    taken_over_at = now_ms()
    await trio.sleep(worked_ms / 1000)
    cut_at = now_ms()
    await _cut_off(job_cluster, worker_id)
    entry = job_cluster.entries[job_cluster.owner('desk')]
    settings = entry.kernel.settings['jobs']
    latest = max(
        taken_over_at + max_elapsed(settings['lease_horizon']),
        taken_over_at + REPORT_WAIT_MS + max_elapsed(settings['max_lease']),
        cut_at + max_elapsed(settings['lease']),
    )
    assert now_ms() <= latest + FOUND_MS
    assert not job_cluster.workers.find_violations()
