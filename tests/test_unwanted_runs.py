"""
tests.test_unwanted_runs
========================

Runs that nobody wants any more when their service gets a new owner.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.job import JobState, TaskId

from .builders import job, step
from .standins.jobs import JobCluster

#: For how long a worker is cut off, and until its last run must have ended, s.
CUT_S = 1.5
STOP_S = 7
LONG_MS = 60_000


async def kill(cluster: JobCluster, owner: str) -> None:
    """Kill the owner of a service."""
    cluster.kill(owner)


async def stop(cluster: JobCluster, owner: str) -> None:
    """Let the owner of a service stop as planned."""
    cluster.entries.pop(owner).kernel.stop()


@pytest.mark.parametrize('end_process', [kill, stop])
async def test_tasks_of_a_cancelled_job_run_on_after_a_take_over(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    end_process: object,
) -> None:
    """One worker was cut off, and the successor did not stop what it had."""
    job_cluster.add_workers('desk', 4)
    await job_cluster.start_all(3)
    await trio.sleep(1)
    steps = (step(tasks=5, long_running=True, worker_limit=2),)
    lasting = job(steps=steps)
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), lasting)
    await trio.sleep(3)
    worker_id = job_cluster.workers.started_runs[0].worker_id
    cut = job_cluster.workers.current_instance(worker_id)
    assert cut.running
    cut.unreachable_from = set()
    await trio.sleep(0.2)
    await job_cluster.cancel(lasting)
    await trio.sleep(0.3)
    assert callable(end_process)
    await end_process(job_cluster, job_cluster.owner('desk'))
    await trio.sleep(CUT_S - 0.5)
    cut.unreachable_from = None
    await trio.sleep(STOP_S)
    assert not cut.running
    assert await job_cluster.state_of(lasting) is JobState.cancelled


async def test_copy_of_a_done_task_runs_on_after_a_take_over(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner died before it had stopped the other run."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(2)
    last_step = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=1, speculative=True), last_step))
    for number in range(2):
        job_cluster.workers.run_ms[TaskId('job-1', 0, number, 0)] = LONG_MS
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await trio.sleep(1)
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    progress = state.tracker.jobs['job-1']
    (task,) = progress.steps[0, 0]
    for attempt in task.attempts.values():
        sim = job_cluster.workers.current_instance(attempt.instance[0])
        sim.unreachable_from = set()
    state.tracker.complete(task, state.clock.wall_time())
    await state.recorder.wait_until_recorded(progress)
    job_cluster.kill(job_cluster.owner('desk'))
    for sim in job_cluster.workers.instances.values():
        sim.unreachable_from = None
    await job_cluster.wait_until(job_cluster.all_owned)
    await trio.sleep(STOP_S)
    assert not any(
        run.task.step == 0
        for sim in job_cluster.workers.instances.values()
        for run in sim.running
    )
