"""
cyclamenshift.decisions.schedules
=================================

Derives the objective and the resource demand of a job from its run times.

These are predictions where run times are learned, and else the estimates.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..directory import Queue
from ..job import NO_RESOURCES, Job, Resources, Step
from .overload.run_times import RunTimeModel


class Schedule(NamedTuple):
    """
    The estimated schedule of a job.

    ``tails`` holds for each step the length of the critical path from its
    start to the end of the job, ms.  ``objective`` is the target time from
    the acceptance of the job to its end, ms.
    """

    tails: tuple[int, ...]
    objective: int


def schedule_of(
    job: Job, queue: Queue, run_times: RunTimeModel | None = None
) -> Schedule:
    """
    Return the schedule of *job* under the objective of its *queue*.

    Callers measure the objective by the run times, not by their estimates, so
    that both follow the predictions of *run_times*.
    """
    tails = _tails(
        job.steps,
        [typical_run_time(job, step, run_times) for step in job.steps],
    )
    longest = max(tails, default=0)
    objective = round(queue.stretch * longest) + queue.allowance
    return Schedule(tails, objective)


def work_of(job: Job, run_times: RunTimeModel | None = None) -> Resources:
    """Return the sum of resources times expected run time, ms, of *job*."""
    work = NO_RESOURCES
    for step in job.steps:
        factor = step.tasks * mean_run_time(job, step, run_times)
        work = work.plus(
            Resources(*(amount * factor for amount in step.resources))
        )
    return work


def typical_run_time(
    job: Job, step: Step, run_times: RunTimeModel | None
) -> int:
    """Return the typical run time of a task of *step*, ms."""
    if run_times is None or step.long_running:
        return step.estimate
    return run_times.predict(job.queue, step.image, step.estimate)


def mean_run_time(job: Job, step: Step, run_times: RunTimeModel | None) -> int:
    """Return the mean run time of a task of *step*, ms."""
    if run_times is None or step.long_running:
        return step.estimate
    return run_times.predict_mean(job.queue, step.image, step.estimate)


def _tails(steps: Sequence[Step], run_times: Sequence[int]) -> tuple[int, ...]:
    tails = list(run_times)
    for number in reversed(range(len(steps))):
        for dependency in steps[number].dependencies:
            tail = run_times[dependency] + tails[number]
            tails[dependency] = max(tails[dependency], tail)
    return tuple(tails)
