"""
tests.test_removed_queues
=========================

Jobs whose queue is not configured when their service gets a new owner.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.job import Job, JobState, TaskId
from cyclamenshift.queuerows import QueueRow, queue_key
from cyclamenshift.store import Write

from .builders import WALL_START, catalog, job, queue, step
from .standins.jobs import JobCluster

#: The duration of a task, ms; a take-over takes about 4 s.
RUN_MS = 8_000
#: Longer than a take-over and a task, s.
SETTLE_S = 15


def set_queues(job_cluster: JobCluster, *names: str) -> None:
    """Configure the queues *names* of the service ``desk`` and no others."""
    charges = queue('charges', service='billing')
    queues = {name: queue(name) for name in names}
    job_cluster.platform.catalog = catalog(
        queues={**queues, 'charges': charges}
    )
    job_cluster.platform.notify_change()


async def replace_owner(job_cluster: JobCluster) -> None:
    """Kill the owner of ``desk`` and wait until its successor has loaded."""
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)


async def start_job(
    job_cluster: JobCluster, submitted: Job, entries: int = 2
) -> None:
    """Submit a job to a queue, wait until it runs, and remove the queue."""
    job_cluster.add_workers('desk', 2)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.start_all(entries)
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    tasks = submitted.steps[0].tasks
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == tasks
    )
    await trio.sleep(0.2)
    set_queues(job_cluster, 'reports')


def set_run_time(job_cluster: JobCluster, submitted: Job, run_ms: int) -> None:
    """Let the tasks of the first step take *run_ms*."""
    for ordinal in range(submitted.steps[0].tasks):
        task = TaskId(submitted.job_id, 0, 0, ordinal)
        job_cluster.workers.run_ms[task] = run_ms


def forget_rules(job_cluster: JobCluster) -> None:
    """Leave the removed queue the row that an earlier build would have."""
    row = QueueRow(services=['desk'])
    job_cluster.store.write_row(Write(queue_key('checks'), row))
    set_queues(job_cluster, 'reports', 'others')


@pytest.mark.parametrize('back_after', [0, SETTLE_S])
async def test_done_tasks_run_again_after_their_queue_was_removed(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    back_after: float,
) -> None:
    """The successor acknowledged the ends of a job that it did not track."""
    last_step = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=4), last_step))
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted)
    await replace_owner(job_cluster)
    await trio.sleep(back_after)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 5
    assert not job_cluster.workers.find_violations()


async def test_done_tasks_run_again_after_their_queue_was_removed_twice(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each time the owner changed as well."""
    submitted = job(steps=(step(tasks=4),))
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted, entries=3)
    await replace_owner(job_cluster)
    set_queues(job_cluster, 'checks', 'reports')
    await trio.sleep(1)
    set_queues(job_cluster, 'reports')
    await replace_owner(job_cluster)
    await trio.sleep(SETTLE_S)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 4
    assert not job_cluster.workers.find_violations()


async def test_runs_of_a_removed_queue_are_stopped_as_orphans(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """They belong to a job that the successor did not track."""
    submitted = job(steps=(step(tasks=2, long_running=True),))
    await start_job(job_cluster, submitted)
    await replace_owner(job_cluster)
    await trio.sleep(SETTLE_S)
    set_queues(job_cluster, 'checks', 'reports')
    await trio.sleep(SETTLE_S)
    assert len(job_cluster.workers.started_runs) == 2
    assert not job_cluster.workers.ends


async def test_cancel_leaves_runs_of_a_removed_queue_at_work(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It was kept until the job was tracked."""
    submitted = job(steps=(step(tasks=2, long_running=True),))
    await start_job(job_cluster, submitted)
    await replace_owner(job_cluster)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.cancel_without_notification(submitted)
    set_queues(job_cluster, 'reports')
    await job_cluster.wait_until(lambda: len(job_cluster.workers.ends) == 2)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.cancelled, submitted)
    assert len(job_cluster.workers.started_runs) == 2


@pytest.mark.parametrize(
    ('rules_known', 'ends'), [(False, 1), (True, queue().attempts)]
)
async def test_tasks_of_a_removed_queue_start_beyond_their_budget(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    ends: int,
    *,
    rules_known: bool,
) -> None:
    """The failed runs were acknowledged and not counted."""
    submitted = job(steps=(step(tasks=1),))
    job_cluster.workers.failing_jobs.add(submitted.job_id)
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted, entries=3)
    if not rules_known:
        forget_rules(job_cluster)
    await replace_owner(job_cluster)
    await trio.sleep(SETTLE_S)
    assert len(job_cluster.workers.ends) == ends
    await replace_owner(job_cluster)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.failed, submitted)
    assert len(job_cluster.workers.started_runs) == queue().attempts


async def test_occurrences_of_a_removed_queue_run_again(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Two of three are due before the queue is back, each runs once."""
    submitted = job(
        steps=(step(tasks=1),),
        occurrences=3,
        first_due=WALL_START,
        interval=RUN_MS,
    )
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted)
    await replace_owner(job_cluster)
    await trio.sleep(SETTLE_S)
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 3
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('others', [('reports',), ()])
async def test_job_of_a_removed_queue_stands_still_after_a_take_over(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    others: tuple[str, ...],
) -> None:
    """Its next step did not start; without another queue nobody owned it."""
    last_step = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=4), last_step))
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted)
    set_queues(job_cluster, *others)
    await replace_owner(job_cluster)
    await trio.sleep(SETTLE_S)
    assert len(job_cluster.workers.ends) == 5
    set_queues(job_cluster, 'checks', 'reports')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 5
    assert not job_cluster.workers.find_violations()


async def test_no_task_of_a_queue_without_known_rules_starts(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its priority and the failures that it allows are not known."""
    last_step = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=4), last_step))
    set_run_time(job_cluster, submitted, RUN_MS)
    await start_job(job_cluster, submitted)
    forget_rules(job_cluster)
    await replace_owner(job_cluster)
    await trio.sleep(2 * SETTLE_S)
    assert len(job_cluster.workers.ends) == 4
    assert len(job_cluster.workers.started_runs) == 4
