"""
tests.test_copies
=================

Which runs get a speculative copy.
"""

import pytest

from cyclamenshift.decisions.copies import SILENCE_TIMEOUT_MS, slow_runs
from cyclamenshift.decisions.progress import Attempt, JobProgress, Phase
from cyclamenshift.decisions.reports import ReportApplication
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import RunStatus
from cyclamenshift.worker import WorkerReport

from .builders import WALL_START, job, queue, report_timing, step

WORKER_INSTANCE = ('worker-1', 1)
#: The run time of the tasks that are done, ms.
RUN_TIME_MS = 1_000
#: How many tasks are done, the time in ms, and how many other runs are slow.
SLOW_CASES = (
    (2, 1_500, 0),
    (2, 1_501, 2),
    (1, 9_000, 0),
    (3, 1_501, 1),
)


def start_attempts(done: int, **changes: object) -> list[Attempt]:
    """Return the other runs, planned at 0, of a step with *done* of 4 done."""
    steps = (step(tasks=4, **{'speculative': True, **changes}),)
    progress = JobProgress(job(steps=steps), queue())
    tasks = progress.open_step(0, 0)
    for task in tasks[:done]:
        task.done = True
        task.run_time = RUN_TIME_MS
    attempts = []
    for task in tasks[done:]:
        attempt = Attempt(task, 1, WORKER_INSTANCE, now=0)
        attempt.phase = Phase.running
        task.attempts[1] = attempt
        attempts.append(attempt)
    return attempts


@pytest.mark.parametrize(
    ('done', 'now', 'expected'),
    SLOW_CASES,
)
def test_slow_run_threshold(
    done: int,
    now: int,
    expected: int,
) -> None:
    """A run is slow after 1.5 times the median, if half of its step is done."""
    slow = slow_runs(start_attempts(done), (), now)
    assert len(slow) == expected


@pytest.mark.parametrize(
    'changes',
    [{'speculative': False}, {'gang': True}, {'long_running': True}],
)
def test_tasks_that_are_never_copied(changes: dict[str, object]) -> None:
    """Gangs, long-running and non-speculative tasks get no copy."""
    attempts = start_attempts(2, **changes)
    assert not slow_runs(attempts, (WORKER_INSTANCE,), 9_000)


def test_run_at_a_silent_worker_gets_a_copy() -> None:
    """A run is copied after its worker was silent for the timeout."""
    attempts = start_attempts(0)
    assert not slow_runs(attempts, (WORKER_INSTANCE,), SILENCE_TIMEOUT_MS)
    assert (
        len(slow_runs(attempts, (WORKER_INSTANCE,), SILENCE_TIMEOUT_MS + 1))
        == 4
    )
    assert not slow_runs(attempts, (), SILENCE_TIMEOUT_MS + 1)


def test_inherited_run_gets_a_copy() -> None:
    """The worker of an unconfirmed run of an earlier scheduler may be lost."""
    attempts = start_attempts(0)
    attempts[0].phase = Phase.inherited
    slow = slow_runs(attempts, (), SILENCE_TIMEOUT_MS + 1)
    assert [run.attempt for run in slow] == attempts[:1]


def test_task_has_one_copy_at_a_time() -> None:
    """A task with two runs gets no further copy."""
    attempts = start_attempts(3)
    task = attempts[0].task
    task.attempts[2] = Attempt(task, 2, ('worker-2', 1), now=0)
    assert not slow_runs(attempts, (WORKER_INSTANCE,), 9_000)


@pytest.mark.parametrize(('seen_for', 'expected'), [(0, 0), (2_000, 1)])
def test_adopted_run_gets_a_copy_at_once(seen_for: int, expected: int) -> None:
    """Its age counted from the start of the scheduler's clock."""
    tracker = JobTracker()
    submitted = job(steps=(step(tasks=2, speculative=True),))
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    finished, task = progress.tasks()
    finished.done = True
    finished.run_time = RUN_TIME_MS
    attempt = tracker.plan(task, WORKER_INSTANCE, number=1, now=0)
    tracker.remove(attempt)
    for clock in (1, 1 + seen_for):
        report = WorkerReport(
            clock=clock,
            started_at=1,
            running=(RunStatus(attempt.run, '', 0, 0),),
            ended=(),
        )
        ReportApplication(
            tracker, WORKER_INSTANCE, report, report_timing(), WALL_START
        ).run()
    assert len(slow_runs(progress.attempts(), (), now=900_000)) == expected


def test_run_time_below_a_millisecond_counts_as_unknown() -> None:
    """Too few run times were known, and a slow run got no copy."""
    attempts = start_attempts(2)
    tasks = attempts[0].task.job.siblings(attempts[0].task)
    tasks[0].run_time = 0
    assert len(slow_runs(attempts, (), now=1_501)) == len(attempts)
