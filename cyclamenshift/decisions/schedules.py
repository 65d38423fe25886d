"""
cyclamenshift.decisions.schedules
=================================

When a job should be done, and how much work it is, by its estimates.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..directory import Queue
from ..job import NO_RESOURCES, Job, Resources, Step


class Schedule(NamedTuple):
    """
    When a job should be done.

    ``tails`` holds, for each step, the time from its start to the end of
    the job, ms.  ``objective`` is from the job's acceptance, ms.
    """

    tails: tuple[int, ...]
    objective: int


def schedule_of(job: Job, queue: Queue) -> Schedule:
    """Return when *job* should be done."""
    tails = _tails(job.steps)
    longest = max(tails, default=0)
    objective = round(queue.stretch * longest) + queue.allowance
    return Schedule(tails, objective)


def work_of(job: Job) -> Resources:
    """Return the room that *job* takes times the ms that it takes it for."""
    work = NO_RESOURCES
    for step in job.steps:
        factor = step.tasks * step.estimate
        work = work.plus(Resources(*(part * factor for part in step.resources)))
    return work


def _tails(steps: Sequence[Step]) -> tuple[int, ...]:
    tails = [step.estimate for step in steps]
    for number in reversed(range(len(steps))):
        for before in steps[number].dependencies:
            tail = steps[before].estimate + tails[number]
            tails[before] = max(tails[before], tail)
    return tuple(tails)
