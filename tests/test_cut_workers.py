"""
tests.test_cut_workers
======================

Workers that refuse connections: some are cut off and work on, others crashed.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.job import Job, JobState, TaskId
from cyclamenshift.provider import VmPhase

from .builders import job, step
from .standins.jobs import JobCluster

TASK = TaskId('job-1', 0, 0, 0)
#: The time for which the workers have been up, as in a running deployment, s.
UPTIME_S = 8
#: Longer than any cut, and than what follows from it takes, s.
SPAN_S = 20
#: The most starts of a task that crashes its workers.
MAX_STARTS = 3
#: Longer than a test, ms.
LONG_RUN_MS = 60_000

StepFields = dict[str, Any]

LASTING: StepFields = {'tasks': 1, 'long_running': True}
LONG: StepFields = {'tasks': 1}
SEVERAL: StepFields = {'tasks': 3, 'long_running': True}
#: Keeps the workers in the pool.
SPREAD: StepFields = {'tasks': 6, 'long_running': True, 'worker_limit': 1}
GANG: StepFields = {'tasks': 2, 'gang': True}


class Cuts(NamedTuple):
    """Cuts of workers, each at the same age of the run there, ms."""

    number: int
    age_ms: int
    length_ms: int


async def submit_long_job(cluster: JobCluster, fields: StepFields) -> Job:
    """Submit a job whose tasks are still at work at the end of the test."""
    submitted = job(steps=(step(**fields),))
    for ordinal in range(fields['tasks']):
        task = TaskId(submitted.job_id, 0, 0, ordinal)
        cluster.workers.run_ms[task] = LONG_RUN_MS
    entry = cluster.entry_not_owning('desk')
    await cluster.submit(entry, submitted)
    return submitted


async def wait_for_start(cluster: JobCluster, count: int) -> str:
    """Return the worker of the start *count* of the first task."""
    with trio.fail_after(SPAN_S):
        while cluster.workers.count_starts(TASK) < count:
            await trio.sleep(0.005)
    starts = [
        started
        for started in cluster.workers.started_runs
        if started.run.task == TASK
    ]
    return starts[count - 1].worker_id


async def wait_for_next_start(
    cluster: JobCluster, count: int, cut_ms: int
) -> None:
    """Wait for another start after *count*, or for the end of a cut."""
    with trio.move_on_after(cut_ms / 1000 + 1):
        await wait_for_start(cluster, count + 1)


async def refuse_for_a_while(
    cluster: JobCluster, worker_id: str, cut_ms: int
) -> None:
    """Cut a worker off, whose connections are refused, for *cut_ms*."""
    cluster.workers.faults.refused.add(worker_id)
    await trio.sleep(cut_ms / 1000)
    cluster.workers.faults.refused.discard(worker_id)


async def isolate_for_a_while(
    cluster: JobCluster, worker_id: str, cut_ms: int
) -> None:
    """Cut a worker off, also from the store, so that it is unregistered."""
    registered = cluster.platform.workers.pop(worker_id)
    cluster.platform.notify_change()
    await refuse_for_a_while(cluster, worker_id, cut_ms)
    cluster.platform.workers[worker_id] = registered
    cluster.platform.notify_change()


CutOff = Callable[[JobCluster, str, int], Awaitable[None]]


@pytest.mark.parametrize('cut_off', [refuse_for_a_while, isolate_for_a_while])
@pytest.mark.parametrize(
    ('fields', 'cuts'),
    [
        (LASTING, Cuts(2, 50, 2_000)),
        (LASTING, Cuts(2, 700, 2_000)),
        (LASTING, Cuts(3, 700, 5_500)),
        (LASTING, Cuts(4, 2_000, 4_000)),
        (LONG, Cuts(2, 700, 2_000)),
        (LONG, Cuts(3, 1_500, 5_500)),
        (SEVERAL, Cuts(3, 300, 3_000)),
        (GANG, Cuts(3, 700, 3_000)),
    ],
)
async def test_cuts_with_refused_connections_are_no_crashes(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    fields: StepFields,
    cuts: Cuts,
    cut_off: CutOff,
) -> None:
    """The job was given up, though no worker had crashed."""
    job_cluster.add_workers('desk', 8)
    await job_cluster.start_all(2)
    await trio.sleep(UPTIME_S)
    submitted = await submit_long_job(job_cluster, fields)
    await wait_for_start(job_cluster, 1)
    for _cut in range(cuts.number):
        starts = job_cluster.workers.count_starts(TASK)
        worker_id = await wait_for_start(job_cluster, starts)
        await trio.sleep(cuts.age_ms / 1000)
        job_cluster.nursery.start_soon(
            cut_off, job_cluster, worker_id, cuts.length_ms
        )
        await wait_for_next_start(job_cluster, starts, cuts.length_ms)
    await trio.sleep(SPAN_S)
    assert await job_cluster.state_of(submitted) is JobState.running
    assert TASK in job_cluster.workers.running_tasks()
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('killed_after', [1, 2])
async def test_successor_counts_no_crash_for_a_cut(
    job_cluster: JobCluster, autojump_clock: MockClock, killed_after: int
) -> None:
    """Its owner was killed after one of the cuts."""
    job_cluster.add_workers('desk', 8)
    await job_cluster.start_all(3)
    await trio.sleep(UPTIME_S)
    submitted = await submit_long_job(job_cluster, LASTING)
    for number in (1, 2):
        worker_id = await wait_for_start(job_cluster, number)
        await trio.sleep(0.1)
        job_cluster.nursery.start_soon(
            refuse_for_a_while, job_cluster, worker_id, 9_000
        )
        if number == killed_after:
            await trio.sleep(6)
            job_cluster.kill(job_cluster.owner('desk'))
    await trio.sleep(2 * SPAN_S)
    assert await job_cluster.state_of(submitted) is JobState.running
    assert TASK in job_cluster.workers.running_tasks()
    assert not job_cluster.workers.find_violations()


async def crash_for_good(cluster: JobCluster, worker_id: str) -> None:
    """Crash a worker, whose registration goes after three heartbeats."""
    await trio.sleep(0.1)
    cluster.workers.crash(worker_id)
    vm_id = cluster.platform.workers[worker_id].vm_id
    vm = cluster.platform.vms[vm_id]
    cluster.platform.vms[vm_id] = vm._replace(phase=VmPhase.down)
    await trio.sleep(4.5)
    cluster.platform.workers.pop(worker_id)
    cluster.platform.notify_change()


@pytest.mark.parametrize('kills', [False, True])
async def test_task_that_crashes_workers_for_good_is_given_up(
    job_cluster: JobCluster, autojump_clock: MockClock, *, kills: bool
) -> None:
    """No other process proves the crashes, also to a successor."""
    job_cluster.add_workers('desk', 8)
    await job_cluster.start_all(3)
    others = job('job-2', steps=(step(**SPREAD),))
    entry = job_cluster.entry_not_owning('desk')
    await job_cluster.submit(entry, others)
    await trio.sleep(UPTIME_S)
    job_cluster.workers.deadly.add(TASK)
    job_cluster.workers.on_crash = lambda crashed: (
        job_cluster.nursery.start_soon(
            crash_for_good, job_cluster, crashed.worker_id
        )
    )
    submitted = await submit_long_job(job_cluster, LASTING)
    if kills:
        await wait_for_start(job_cluster, 2)
        await trio.sleep(4)
        job_cluster.kill(job_cluster.owner('desk'))
    with trio.fail_after(2 * SPAN_S):
        await job_cluster.wait_for_state(JobState.failed, submitted)
    assert job_cluster.workers.count_starts(TASK) <= MAX_STARTS
    assert await job_cluster.state_of(others) is JobState.running
