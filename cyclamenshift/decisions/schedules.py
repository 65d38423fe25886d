"""
cyclamenshift.decisions.schedules
=================================

Derives the objective and the resource demand of a job from its estimates.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..directory import Queue
from ..job import NO_RESOURCES, Job, Resources, Step


class Schedule(NamedTuple):
    """
    The estimated schedule of a job.

    ``tails`` holds for each step the length of the critical path from its
    start to the end of the job, ms.  ``objective`` is the target time from
    the acceptance of the job to its end, ms.
    """

    tails: tuple[int, ...]
    objective: int


def schedule_of(job: Job, queue: Queue) -> Schedule:
    """Return the schedule of *job* under the objective of its *queue*."""
    tails = _tails(job.steps)
    longest = max(tails, default=0)
    objective = round(queue.stretch * longest) + queue.allowance
    return Schedule(tails, objective)


def work_of(job: Job) -> Resources:
    """Return the sum of resources times estimated run time, ms, of *job*."""
    work = NO_RESOURCES
    for step in job.steps:
        factor = step.tasks * step.estimate
        work = work.plus(
            Resources(*(amount * factor for amount in step.resources))
        )
    return work


def _tails(steps: Sequence[Step]) -> tuple[int, ...]:
    tails = [step.estimate for step in steps]
    for number in reversed(range(len(steps))):
        for dependency in steps[number].dependencies:
            tail = steps[dependency].estimate + tails[number]
            tails[dependency] = max(tails[dependency], tail)
    return tuple(tails)
