"""
tests.test_odd_registrations
============================

Readable registrations of another writer, under the id of a sound worker.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.http1 import Address
from cyclamenshift.job import JobState, TaskId
from cyclamenshift.scheduling.worker_session import WorkerSession

from .builders import WALL_START, job, lease, step, worker
from .standins.jobs import JobCluster

#: A start in the future of every test, ms since the epoch.
LATE_START = WALL_START + 1_000_000
LONG_RUN_MS = 20_000


async def test_odd_registration_gives_up_the_runs_of_a_sound_worker(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It was taken for the restart of the worker."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=4),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) >= 4
    )
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    registered = job_cluster.platform.workers[worker_id]
    job_cluster.platform.workers[worker_id] = registered._replace(
        started_at=LATE_START
    )
    job_cluster.platform.notify_change()
    await trio.sleep(0.1)
    job_cluster.add_vm('desk-vm-2', 'desk')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 4
    assert not job_cluster.workers.find_violations()


def test_odd_address_replaces_that_of_a_worker_that_has_reported() -> None:
    """Another worker answered there, so that all runs were given up."""
    registered = worker()
    session = WorkerSession(registered, lease(), now=0)
    session.calls.time_report(session.calls.advance())
    odd_address = Address('127.0.0.9', 9)
    session.update(registered._replace(address=odd_address, leaving=True))
    assert session.worker == registered._replace(leaving=True)


async def test_odd_registration_counts_as_a_crash_after_a_take_over(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The new owner had no session with the worker that ran the task."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(3)
    submitted = job(steps=(step(tasks=1),))
    task_id = TaskId('job-1', 0, 0, 0)
    job_cluster.workers.run_ms[task_id] = LONG_RUN_MS
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    registered = job_cluster.platform.workers[worker_id]
    job_cluster.platform.workers[worker_id] = registered._replace(
        started_at=LATE_START
    )
    job_cluster.platform.notify_change()
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await trio.sleep(1)
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    task = state.tracker.jobs['job-1'].task(task_id)
    assert task
    assert not task.crashes.in_a_row
    assert job_cluster.workers.count_starts(task_id) == 1
