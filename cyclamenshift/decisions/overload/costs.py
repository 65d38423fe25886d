"""
cyclamenshift.decisions.overload.costs
======================================

How much the work of a step delays the other work that waits.

While the pool has room for nearly all that waits, the order by slack meets
the most objectives.  The longer the backlog, the more of them are met if jobs
that need little work go first.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Final

from ...job import StepId
from ..progress import JobProgress, Task
from ..schedules import mean_run_time

#: The part of the backlog that a job of average work has to make up for by its
#: slack.  Half of it keeps nearly the order by slack in a short backlog.
BACKLOG_SHARE: Final = 0.5


def delays_caused(
    groups: Mapping[StepId, Sequence[Task]], capacity: int
) -> dict[StepId, int]:
    """
    Return for each step by how much its work delays the others, ms.

    *groups* has the waiting tasks by step, *capacity* is the cpu of the pool,
    millicores.  The backlog is the time that it needs for all of them.
    """
    if not capacity or not groups:
        return {}
    works = {
        step_id: remaining_work(group) for step_id, group in groups.items()
    }
    total = sum(works.values())
    if not total:
        return {}
    backlog = total / capacity
    mean = total / len(works)
    return {
        step_id: round(BACKLOG_SHARE * backlog * work / mean)
        for step_id, work in works.items()
    }


def remaining_work(waiting: Collection[Task]) -> int:
    """
    Return the cpu time that a job still needs, millicores times ms.

    That is for its *waiting* tasks, all of one step, and for the steps that
    have not begun.
    """
    task = next(iter(waiting))
    progress = task.job
    number = task.task_id.step
    work = len(waiting) * _work_of_task(progress, number)
    for later, step in enumerate(progress.job.steps):
        if (task.task_id.occurrence, later) not in progress.steps:
            work += step.tasks * _work_of_task(progress, later)
    return work


def _work_of_task(progress: JobProgress, number: int) -> int:
    step = progress.job.steps[number]
    run_time = mean_run_time(progress.job, step, progress.run_times)
    return step.resources.cpu * run_time
