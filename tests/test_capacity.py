"""
tests.test_capacity
===================

Workers whose capacity changes, and registrations that are not current.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.job import Job, JobState, Resources, TaskId

from .builders import job, step
from .standins.jobs import JobCluster

#: Room for all tasks of a job, for one of them, and for none.
FULL = Resources(8_000, 16_384)
SHRUNK = Resources(1_000, 1_024)
NONE = Resources(500, 512)
#: The time after which a start counts against the smaller room, s: the
#: platform's contact time and one heartbeat.
TOLERANCE_S = 4.5
RUN_MS = 20_000
#: Older than registrations may be when a task starts, ms.
OLD_MS = 60_000
SPAN_S = 5


def resize(cluster: JobCluster, resources: Resources) -> None:
    """Let the only worker register with another capacity."""
    ((worker_id, registered),) = cluster.platform.workers.items()
    resized = registered._replace(resources=resources)
    cluster.platform.workers[worker_id] = resized
    cluster.platform.notify_change()


async def submit_long_job(cluster: JobCluster, job_id: str) -> Job:
    """Submit a job with two tasks that run for long."""
    submitted = job(job_id, steps=(step(tasks=2),))
    cluster.workers.run_ms.update(
        {task: RUN_MS for task in _task_ids(submitted)}
    )
    entry = next(iter(cluster.entries.values()))
    await cluster.submit(entry, submitted)
    return submitted


def _task_ids(submitted: Job) -> list[TaskId]:
    return [TaskId(submitted.job_id, 0, 0, number) for number in range(2)]


async def test_capacity_shrinks_and_grows_while_tasks_run(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """No start exceeds the room that is left; what runs there goes on."""
    job_cluster.add_workers('desk', 1, resources=FULL)
    await job_cluster.start_all(1)
    first = await submit_long_job(job_cluster, 'job-1')
    await trio.sleep(1)
    resize(job_cluster, SHRUNK)
    await trio.sleep(TOLERANCE_S)
    second = await submit_long_job(job_cluster, 'job-2')
    await trio.sleep(TOLERANCE_S)
    started = {run.run.task.job_id for run in job_cluster.workers.started_runs}
    assert started == {'job-1'}
    resize(job_cluster, FULL)
    await job_cluster.wait_for_state(JobState.completed, first, second)
    assert not job_cluster.workers.find_violations()


async def test_capacity_shrinks_while_a_start_is_recorded(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A start that was chosen before goes out only within the tolerance."""
    job_cluster.add_workers('desk', 1, resources=FULL)
    await job_cluster.start_all(1)
    await trio.sleep(1)
    job_cluster.store.transaction_ms = 900
    submitted = await submit_long_job(job_cluster, 'job-1')
    resize(job_cluster, NONE)
    shrunk_at = trio.current_time()
    await trio.sleep(3 * TOLERANCE_S)
    assert all(
        run.started_at / 1000 <= shrunk_at + TOLERANCE_S
        for run in job_cluster.workers.started_runs
    )
    resize(job_cluster, FULL)
    await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_nothing_starts_by_old_registrations(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A task started on a worker that had announced its end long before."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(1)
    job_cluster.platform.workers_age = OLD_MS
    entry = next(iter(job_cluster.entries.values()))
    submitted = job()
    await job_cluster.submit(entry, submitted)
    await trio.sleep(SPAN_S)
    assert not job_cluster.workers.started_runs
    job_cluster.platform.workers_age = 0
    job_cluster.platform.notify_change()
    await job_cluster.wait_for_state(JobState.completed, submitted)
