"""
tests.test_copies
=================

Which runs get a copy.
"""

import pytest

from cyclamenshift.decisions.copies import SILENCE_TIMEOUT_MS, slow_runs
from cyclamenshift.decisions.progress import Attempt, JobProgress, Phase

from .builders import job, queue, step

LIFE = ('worker-1', 1)
#: How long the runs that are done took, ms.
USUAL_MS = 1_000
#: How many runs are done, the time, and how many of the others are slow.
SLOW_CASES = (
    (2, 1_500, 0),
    (2, 1_501, 2),
    (1, 9_000, 0),
    (3, 1_501, 1),
)


def started(done: int, **changes: object) -> list[Attempt]:
    """Return the runs, planned at 0, of a step of four with *done* ends."""
    steps = (step(tasks=4, **{'speculative': True, **changes}),)
    progress = JobProgress(job(steps=steps), queue(), version=0)
    tasks = progress.open_step(0, 0)
    for task in tasks[:done]:
        task.done = True
        task.run_time = USUAL_MS
    attempts = []
    for task in tasks[done:]:
        attempt = Attempt(task, 1, LIFE, now=0)
        attempt.phase = Phase.running
        task.attempts[1] = attempt
        attempts.append(attempt)
    return attempts


@pytest.mark.parametrize(
    ('done', 'now', 'copied'),
    SLOW_CASES,
)
def test_run_is_slow_beside_those_that_are_done(
    done: int,
    now: int,
    copied: int,
) -> None:
    """It takes half again as long, and half of the step is done."""
    slow = slow_runs(started(done), (), now)
    assert len(slow) == copied


@pytest.mark.parametrize(
    'changes',
    [{'speculative': False}, {'gang': True}, {'long_running': True}],
)
def test_other_tasks_get_no_copy(changes: dict[str, object]) -> None:
    """Whatever may not run twice, or lasts, runs once."""
    attempts = started(2, **changes)
    assert not slow_runs(attempts, (LIFE,), 9_000)


def test_run_at_a_silent_worker_gets_a_copy() -> None:
    """It is left alone just for a moment."""
    attempts = started(0)
    assert not slow_runs(attempts, (LIFE,), SILENCE_TIMEOUT_MS)
    assert len(slow_runs(attempts, (LIFE,), SILENCE_TIMEOUT_MS + 1)) == 4
    assert not slow_runs(attempts, (), SILENCE_TIMEOUT_MS + 1)


def test_run_of_an_earlier_scheduler_gets_a_copy() -> None:
    """Nobody has heard of it here; its worker may be gone."""
    attempts = started(0)
    attempts[0].phase = Phase.inherited
    slow = slow_runs(attempts, (), SILENCE_TIMEOUT_MS + 1)
    assert [run.attempt for run in slow] == attempts[:1]


def test_task_has_one_copy_at_a_time() -> None:
    """A second run is not copied again."""
    attempts = started(3)
    task = attempts[0].task
    task.attempts[2] = Attempt(task, 2, ('worker-2', 1), now=0)
    assert not slow_runs(attempts, (LIFE,), 9_000)
