"""
tests.test_eviction
===================

How many tasks of a long-running step planned work makes unavailable.
"""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from trio.testing import MockClock

from cyclamenshift.decisions.eviction import may_evict
from cyclamenshift.decisions.progress import Attempt, JobProgress, Phase

from .builders import job, queue, step
from .standins.jobs import JobCluster

STOP_MS = 900
VACATE_MS = 400


def serving_attempts(ordered_at: int | None) -> list[Attempt]:
    """Return the runs of a step of which one task may be unavailable."""
    lasting = step(tasks=2, long_running=True, disruption_limit=1)
    progress = JobProgress(job(steps=(lasting,)), queue())
    attempts = []
    for task in progress.open_ready_steps(0):
        attempt = Attempt(task, 1, ('worker-1', 1), 0)
        task.attempts[1] = attempt
        attempt.phase = Phase.running
        attempt.ordered_at = ordered_at
        attempt.in_touch = True
        attempt.percent = 100
        attempt.see(0)
        attempts.append(attempt)
    return attempts


def test_stop_of_an_earlier_scheduler_uses_the_limit() -> None:
    """
    Right after a take-over, one task more than allowed was stopped.

    The earlier scheduler had stopped another one, which its worker still
    listed as serving.
    """
    other, attempt = serving_attempts(ordered_at=None)
    assert not may_evict(attempt, STOP_MS)
    other.see(STOP_MS)
    assert not may_evict(attempt, STOP_MS)
    other.see(STOP_MS + 1)
    assert may_evict(attempt, STOP_MS)


def test_own_runs_are_known_not_to_be_stopping() -> None:
    """Vacating a VM must not wait without a reason."""
    _other, attempt = serving_attempts(ordered_at=0)
    assert may_evict(attempt, STOP_MS)


async def test_successor_does_not_stop_a_task_beside_one_being_stopped(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Both schedulers of a hand-over used the whole disruption limit."""
    job_cluster.add_workers('desk', 2)
    entries = await job_cluster.start_all(2)
    lasting = step(
        tasks=2, long_running=True, disruption_limit=1, worker_limit=1
    )
    await job_cluster.submit(entries[0], job(steps=(lasting,)))
    workers = job_cluster.workers
    await job_cluster.wait_until(lambda: len(workers.running_tasks()) == 2)
    await trio.sleep(5)
    workers.stop_ms = STOP_MS
    first = job_cluster.owner('desk')
    stopping = _vacate(job_cluster, first, 'desk-vm-1')
    job_cluster.nursery.start_soon(stopping)
    await trio.sleep(0.05)
    job_cluster.entries.pop(first).kernel.stop()
    await job_cluster.wait_until(job_cluster.all_owned)
    second = job_cluster.owner('desk')
    await _vacate(job_cluster, second, 'desk-vm-2')()
    assert workers.running_tasks()
    tracker = job_cluster.state(second, 'desk').tracker
    (progress,) = tracker.jobs.values()
    assert not any(attempt.evicted for attempt in progress.attempts())


def _vacate(
    job_cluster: JobCluster, owner: str, vm_id: str
) -> Callable[[], Awaitable[bool]]:
    """Return a call that lets the scheduler at *owner* vacate a VM."""
    schedulers = job_cluster.entries[owner].scheduler.schedulers
    return partial(schedulers['desk'].vacate, vm_id, VACATE_MS)
