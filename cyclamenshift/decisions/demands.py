"""
cyclamenshift.decisions.demands
===============================

Groups tasks by step, or by what decides whether they fit.
"""

from collections.abc import Iterable
from typing import TypeAlias

from ..job import Resources, StepId, TaskId
from .progress import Task
from .tracker import reserved_resources

#: Tasks with the same demand all fit somewhere, or none does: those with the
#: same resources and label, those of a gang or of a step that limits the tasks
#: on one worker, and a task that has a run already.
Demand: TypeAlias = tuple[Resources, str] | StepId | TaskId


def group_by_step(tasks: Iterable[Task]) -> dict[StepId, list[Task]]:
    """Return *tasks* grouped by step, so that each step is looked at once."""
    groups: dict[StepId, list[Task]] = {}
    for task in tasks:
        groups.setdefault(task.task_id.step_id, []).append(task)
    return groups


def demand_of(task: Task) -> Demand:
    """Return what decides whether *task* fits."""
    step = task.step
    if task.attempts:
        return task.task_id
    if step.gang or step.worker_limit:
        return task.task_id.step_id
    return (reserved_resources(step), step.required_label)
