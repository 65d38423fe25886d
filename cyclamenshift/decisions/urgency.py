"""
cyclamenshift.decisions.urgency
===============================

In which order waiting tasks are started.
"""

import enum
from collections.abc import Iterable
from typing import Final, NamedTuple

from .progress import JobProgress, Task

#: A job that ends within so many times its objective still counts as late;
#: from the platform's description of what jobs earn.
LATE_FACTOR: Final = 3


class Chance(enum.IntEnum):
    """What a job can still reach; the lowest goes first."""

    in_time = 0
    late = 1
    too_late = 2


class Urgency(NamedTuple):
    """
    The place of a task among those that wait; the lowest goes first.

    ``slack`` is how long the job can still wait, ms, by its estimates.
    """

    priority: int
    chance: Chance
    slack: int


def urgency_of(task: Task, wall_time: int) -> Urgency:
    """Return how urgent *task* is at *wall_time*, ms since the epoch."""
    progress = task.job
    priority = progress.queue.priority
    if task.step.long_running:
        return Urgency(priority, Chance.in_time, 0)
    schedule = progress.schedule
    began = _began(progress, task.task_id.occurrence)
    left = schedule.tails[task.task_id.step]
    slack = began + schedule.objective - wall_time - left
    last = slack + (LATE_FACTOR - 1) * schedule.objective
    return Urgency(priority, _chance(slack, last), slack)


def most_urgent_first(tasks: Iterable[Task], wall_time: int) -> list[Task]:
    """Return *tasks* in the order in which they should start."""
    keyed = [
        (urgency_of(task, wall_time), task.task_id, task) for task in tasks
    ]
    return [task for _urgency, _task_id, task in sorted(keyed)]


def _chance(slack: int, last: int) -> Chance:
    if slack >= 0:
        return Chance.in_time
    return Chance.late if last >= 0 else Chance.too_late


def _began(progress: JobProgress, occurrence: int) -> int:
    """Return from when on an occurrence counts, ms since the epoch."""
    return max(progress.job.accepted, progress.due(occurrence))
