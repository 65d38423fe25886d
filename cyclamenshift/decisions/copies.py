"""
cyclamenshift.decisions.copies
==============================

Speculative execution: selects slow runs that should get a copy.
"""

import math
import statistics
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from ..job import StepId
from .progress import Attempt, Phase, Task, WorkerInstance

#: A run is slow if it takes this many times the typical run time of its
#: step; a common value for speculative execution.
SLOW_FACTOR: Final = 1.5
#: The share of a step's tasks that must be done before the typical run time
#: of the step is known.
MIN_DONE_SHARE: Final = 0.5
#: The age above which a run at a worker that does not answer is slow, ms:
#: longer than the retries of a call that was lost once.
SILENCE_TIMEOUT_MS: Final = 300
#: A limit that each age exceeds.
ANY_AGE: Final = -1
#: The phases in which the worker may not have the run.
UNCONFIRMED_PHASES: Final = frozenset((Phase.inherited, Phase.unsettled))


class Bounds(NamedTuple):
    """The typical run time of a step, and the age of a slow run, ms."""

    typical: int | None
    limit: float | None


class SlowRun(NamedTuple):
    """
    A run that should get a copy.

    ``age`` is the time since it was planned, or a lower bound of it;
    ``typical`` the run time of its step, None if too few of its tasks are
    done; both in ms.  ``limit`` is the age from which on a run of the step is
    slow, None if unknown.  ``silent`` is whether its worker does not answer.
    """

    attempt: Attempt
    age: int
    typical: int | None
    limit: float | None
    silent: bool


def slow_runs(
    attempts: Iterable[Attempt],
    silent: Collection[WorkerInstance],
    now: int,
) -> list[SlowRun]:
    """
    Return the runs that a copy is likely to overtake at *now*.

    Only speculative tasks get a copy, and at most one at a time.  *silent*
    are the workers that do not answer.
    """
    bounds: dict[StepId, Bounds] = {}
    slow = []
    for attempt in attempts:
        task = attempt.task
        # Few steps want copies, and each pass looks at all runs.
        if not (task.step.speculative and _may_copy(task)):
            continue
        key = task.task_id.step_id
        if key not in bounds:
            bounds[key] = _bounds(task)
        typical, limit = bounds[key]
        is_silent = _is_silent(attempt, silent)
        age = attempt.elapsed(now)
        if age > _age_limit(attempt, limit, silent=is_silent):
            slow.append(SlowRun(attempt, age, typical, limit, is_silent))
    return slow


def _may_copy(task: Task) -> bool:
    step = task.step
    may_repeat = not (step.gang or step.long_running)
    # A copy of a task that crashes its workers would crash another one.
    is_single = len(task.attempts) == 1 and not task.possible_crashes.in_a_row
    is_over = task.done or task.job.state.final or task.job.suspended
    return may_repeat and is_single and not is_over


def _is_silent(attempt: Attempt, silent: Collection[WorkerInstance]) -> bool:
    return attempt.phase in UNCONFIRMED_PHASES or attempt.instance in silent


def _age_limit(attempt: Attempt, limit: float | None, *, silent: bool) -> float:
    """Return the age above which a run is slow, ms."""
    if silent:
        adopted = attempt.planned_at is None
        return ANY_AGE if adopted else SILENCE_TIMEOUT_MS
    return math.inf if limit is None else limit


def _bounds(task: Task) -> Bounds:
    typical = _typical_run_time(task)
    if typical:
        return Bounds(typical, typical * SLOW_FACTOR)
    if task.job.run_times is None:
        return Bounds(typical, None)
    step = task.step
    longest = task.job.run_times.predict_longest(
        task.job.job.queue, step.image, step.estimate
    )
    return Bounds(typical, longest)


def _typical_run_time(task: Task) -> int | None:
    """Return the median run time of a step, ms, None if too few are known."""
    siblings = task.job.siblings(task)
    times = [
        sibling.run_time for sibling in siblings if sibling.run_time is not None
    ]
    if len(times) < len(siblings) * MIN_DONE_SHARE:
        return None
    return round(statistics.median(times))
