"""
tests.test_late_starts
======================

Start orders without an answer that are executed after a restart.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.leases import MAX_ORDER_DELAY_MS
from cyclamenshift.job import Job, JobState, TaskId
from cyclamenshift.scheduling.orders import RETRY_DELAY_MS
from cyclamenshift.scheduling.service import MIN_PASS_PAUSE_MS

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker
from .standins.worker_client import (
    ORDER_MS,
    RESPONSE_TIMEOUT_MS,
    SLOW_ORDER_EXTRA_MS,
)

TASK = TaskId('job-1', 0, 0, 0)
#: Longer than any lease, s, and than a test, ms.
UPTIME_S = 10
LONG_RUN_MS = 20_000
#: Later than any order is executed, ms.
NEVER_MS = 60_000
#: The time for a look at the worker, its recovery and a start elsewhere, ms.
START_MS = 5 * RETRY_DELAY_MS
#: A pass of the scheduler and a call, with the steps of this test, ms.
LONGEST_CALL_MS = MIN_PASS_PAUSE_MS + ORDER_MS + SLOW_ORDER_EXTRA_MS + 20

StepFields = dict[str, Any]


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


async def _wait_until_done(cluster: JobCluster, submitted: Job) -> None:
    await cluster.wait_for_state(JobState.completed, submitted)


async def _cancel(cluster: JobCluster, submitted: Job) -> None:
    await cluster.cancel(submitted)
    await cluster.wait_for_state(JobState.cancelled, submitted)


async def _fail(cluster: JobCluster, submitted: Job) -> None:
    cluster.workers.failing_jobs.add(submitted.job_id)
    await cluster.wait_for_state(JobState.failed, submitted)


class LateOrder(NamedTuple):
    """An order that is late, and a restart of its worker before, ms."""

    delay: int
    restart_at: int
    run_ms: int


#: A receiver that is named proves nothing where a proxy passes orders on.
NAMED_RECEIVERS = (False, True)
Ending = Callable[[JobCluster, Job], Awaitable[None]]


async def _start_late_order(
    cluster: JobCluster, late: LateOrder, fields: StepFields
) -> Job:
    """Submit a job whose first order is late, at a single worker."""
    cluster.add_workers('desk', 1)
    await cluster.start_all(2)
    await trio.sleep(UPTIME_S)
    for ordinal in range(fields['tasks']):
        cluster.workers.run_ms[TASK._replace(ordinal=ordinal)] = late.run_ms
    cluster.workers.late_order_delays = [late.delay]
    submitted = job(steps=(step(**fields),))
    await cluster.submit(cluster.entry_not_owning('desk'), submitted)
    return submitted


async def _restart_at(cluster: JobCluster, at_ms: int, since: float) -> None:
    """Restart the worker *at_ms* after *since*, s, in place."""
    due = since + at_ms / 1000
    await trio.sleep(max(0, due - trio.current_time()))
    worker_id = cluster.get_worker_id('desk-vm-1')
    await restart_worker(cluster, Restart(worker_id, 0, 0))


@pytest.mark.parametrize('names_receivers', NAMED_RECEIVERS)
@pytest.mark.parametrize('end', [_wait_until_done, _cancel, _fail])
@pytest.mark.parametrize(
    'late',
    [
        LateOrder(2_500, 2_200, 300),
        LateOrder(5_000, 3_000, 300),
        LateOrder(8_000, 2_500, 300),
        LateOrder(12_000, 4_000, 300),
        LateOrder(12_000, 11_500, 300),
    ],
)
async def test_late_order_starts_no_run_of_a_job_that_is_over(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    late: LateOrder,
    end: Ending,
    *,
    names_receivers: bool,
) -> None:
    """The order was forgotten with its run, and the next process had it."""
    job_cluster.workers.names_receivers = names_receivers
    job_cluster.workers.proxied = True
    submitted = await _start_late_order(job_cluster, late, {'tasks': 1})
    submitted_at = trio.current_time()
    await end(job_cluster, submitted)
    starts = job_cluster.workers.count_starts(TASK)
    await _restart_at(job_cluster, late.restart_at, submitted_at)
    await trio.sleep(late.delay / 1000 + 1)
    assert job_cluster.workers.count_starts(TASK) == starts
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('names_receivers', NAMED_RECEIVERS)
@pytest.mark.parametrize(
    'fields',
    [
        {'tasks': 1},
        {'tasks': 1, 'long_running': True},
        {'tasks': 3},
        {'tasks': 2, 'gang': True},
    ],
)
@pytest.mark.parametrize(
    'late',
    [
        LateOrder(4_500, 4_000, LONG_RUN_MS),
        LateOrder(8_000, 6_000, LONG_RUN_MS),
        LateOrder(8_000, 3_500, LONG_RUN_MS),
        LateOrder(12_000, 5_000, LONG_RUN_MS),
        LateOrder(12_000, 11_000, LONG_RUN_MS),
    ],
)
async def test_late_order_starts_no_second_run_after_a_restart(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    late: LateOrder,
    fields: StepFields,
    *,
    names_receivers: bool,
) -> None:
    """The order was forgotten after 3 s, and ran beside the next run."""
    job_cluster.workers.names_receivers = names_receivers
    job_cluster.workers.proxied = True
    await _start_late_order(job_cluster, late, fields)
    await _restart_at(job_cluster, late.restart_at, trio.current_time())
    await trio.sleep(late.delay / 1000 + 1)
    assert job_cluster.workers.count_starts(TASK) >= 2
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('restarts', [2, 3])
async def test_each_restarted_process_refuses_a_late_order(
    job_cluster: JobCluster, autojump_clock: MockClock, restarts: int
) -> None:
    """The process that was told to refuse it may be gone as well."""
    late = LateOrder(12_000, 3_000, 300)
    submitted = await _start_late_order(job_cluster, late, {'tasks': 1})
    submitted_at = trio.current_time()
    await _wait_until_done(job_cluster, submitted)
    for number in range(restarts):
        at_ms = late.restart_at * (number + 1)
        await _restart_at(job_cluster, at_ms, submitted_at)
    await trio.sleep(late.delay / 1000)
    assert job_cluster.workers.count_starts(TASK) == 1


@pytest.mark.parametrize('restart_first', [False, True])
async def test_successor_fences_off_the_late_orders_of_an_owner(
    job_cluster: JobCluster, autojump_clock: MockClock, *, restart_first: bool
) -> None:
    """It knows of no such order, but its first call has the higher epoch."""
    late = LateOrder(8_000, 3_000, 300)
    submitted = await _start_late_order(job_cluster, late, {'tasks': 1})
    submitted_at = trio.current_time()
    await _wait_until_done(job_cluster, submitted)
    if restart_first:
        await _restart_at(job_cluster, late.restart_at, submitted_at)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    if not restart_first:
        await _restart_at(job_cluster, late.restart_at, submitted_at)
    await trio.sleep(late.delay / 1000)
    assert job_cluster.workers.count_starts(TASK) == 1


async def test_restarted_worker_gets_work_after_one_call_more(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It waits for nothing but the answer to the call after its report."""
    late = LateOrder(12_000, 4_000, 300)
    submitted = await _start_late_order(job_cluster, late, {'tasks': 1})
    submitted_at = trio.current_time()
    await _wait_until_done(job_cluster, submitted)
    await _restart_at(job_cluster, late.restart_at, submitted_at)
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    worker = job_cluster.platform.workers[
        job_cluster.get_worker_id('desk-vm-1')
    ]
    await job_cluster.wait_until(
        lambda: (
            worker.instance in state.sessions
            and state.sessions[worker.instance].has_reported
        )
    )
    assert state.sessions[worker.instance].late_runs
    with trio.fail_after(LONGEST_CALL_MS / 1000):
        await job_cluster.wait_until(
            lambda: not state.sessions[worker.instance].late_runs
        )
