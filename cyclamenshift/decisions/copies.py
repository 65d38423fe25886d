"""
cyclamenshift.decisions.copies
==============================

Which running tasks are worth a second run beside the first.
"""

import statistics
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from ..job import StepId
from .progress import Attempt, Phase, Task, WorkerInstance

#: A run is slow that takes so many times as long as those of its step do;
#: the usual figure for speculative execution.
SLOW_FACTOR: Final = 1.5
#: The share of a step that has to be done before its runs tell how long one
#: usually takes.
KNOWN_SHARE: Final = 0.5
#: How long a run at a worker that does not answer is left alone, ms: longer
#: than the retries of a call that was lost once.
SILENCE_TIMEOUT_MS: Final = 300


class SlowRun(NamedTuple):
    """
    A run that should be copied.

    ``age`` is its time since it was planned, ``typical`` that of its step, 0
    if it is not known; both in ms.  ``silent`` tells whether its worker does
    not answer.
    """

    attempt: Attempt
    age: int
    typical: int
    silent: bool


def slow_runs(
    attempts: Iterable[Attempt],
    silent: Collection[WorkerInstance],
    now: int,
) -> list[SlowRun]:
    """
    Return the runs at *now* that a copy could overtake.

    Only tasks that may run twice get a copy, and one at a time.  *silent*
    are the workers that do not answer.
    """
    typical: dict[StepId, int] = {}
    slow = []
    for attempt in attempts:
        task = attempt.task
        if not _may_copy(task):
            continue
        key = task.task_id.step_id
        if key not in typical:
            typical[key] = _typical(task)
        run = SlowRun(
            attempt,
            age=now - attempt.planned_at,
            typical=typical[key],
            silent=_is_silent(attempt, silent),
        )
        if _is_slow(run):
            slow.append(run)
    return slow


def _may_copy(task: Task) -> bool:
    step = task.step
    copies = step.speculative and not step.gang and not step.long_running
    running = len(task.attempts) == 1 and not task.done
    return copies and running and not task.job.state.final


def _is_silent(attempt: Attempt, silent: Collection[WorkerInstance]) -> bool:
    doubtful = attempt.phase in {Phase.inherited, Phase.unsettled}
    return doubtful or attempt.instance in silent


def _is_slow(run: SlowRun) -> bool:
    if run.silent:
        return run.age > SILENCE_TIMEOUT_MS
    return bool(run.typical) and run.age > run.typical * SLOW_FACTOR


def _typical(task: Task) -> int:
    """Return how long the step's runs take, ms, 0 if too few are done."""
    siblings = task.job.siblings(task)
    times = [sibling.run_time for sibling in siblings if sibling.run_time]
    if len(times) < len(siblings) * KNOWN_SHARE:
        return 0
    return round(statistics.median(times))
