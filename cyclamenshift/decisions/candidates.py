"""
cyclamenshift.decisions.candidates
==================================

Ranks the workers that may get a task.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..job import Resources, Step
from ..worker import Worker
from .progress import Task, WorkerInstance
from .tracker import reserved_resources


class Candidate:
    """A worker that accepts tasks, with its free resources."""

    def __init__(self, worker: Worker, free: Resources) -> None:
        """Create a candidate with *free* resources."""
        self.worker = worker
        self.free = free
        #: Kept, because it is read for each task that is placed.
        self.instance: WorkerInstance = worker.instance


class Placement(NamedTuple):
    """A task to start at a worker, as the run with this number."""

    task: Task
    instance: WorkerInstance
    number: int


class ScoredCandidate(NamedTuple):
    """The sort key of a candidate for one task; the lowest is chosen."""

    other_rack: bool
    failed_there: bool
    free_cpu: int
    worker_id: str
    candidate: Candidate


def reserve(task: Task, candidate: Candidate, number: int) -> Placement:
    """Place *task* at *candidate*."""
    candidate.free = candidate.free.minus(reserved_resources(task.step))
    return Placement(task, candidate.instance, number)


def best_candidate(
    task: Task,
    candidates: Iterable[Candidate],
    placements: Iterable[Placement],
) -> Candidate | None:
    """Return the best candidate for *task*, beside other *placements*."""
    resources = reserved_resources(task.step)
    assigned = _tasks_by_worker(task, placements)
    occupied = {attempt.instance for attempt in task.attempts.values()}
    ranked = [
        ScoredCandidate(
            _in_other_rack(task, candidate.worker),
            candidate.instance in task.failed_at,
            candidate.free.cpu,
            candidate.worker.worker_id,
            candidate,
        )
        for candidate in candidates
        if candidate.free.can_fit(resources)
        and candidate.instance not in occupied
        and _meets_constraints(
            task.step,
            candidate.worker,
            assigned.get(candidate.instance, 0),
        )
    ]
    return min(ranked)[-1] if ranked else None


def _tasks_by_worker(
    task: Task,
    placements: Iterable[Placement],
) -> dict[WorkerInstance, int]:
    """Count the tasks of the step at each worker, placed ones included."""
    if not task.step.worker_limit:
        return {}
    siblings = task.job.siblings(task)
    instances = [
        attempt.instance
        for sibling in siblings
        for attempt in sibling.attempts.values()
    ]
    instances.extend(
        placement.instance
        for placement in placements
        if placement.task in siblings
    )
    counts: dict[WorkerInstance, int] = {}
    for instance in instances:
        counts[instance] = counts.get(instance, 0) + 1
    return counts


def _meets_constraints(step: Step, worker: Worker, assigned: int) -> bool:
    if step.required_label and step.required_label not in worker.labels:
        return False
    return not step.worker_limit or assigned < step.worker_limit


def _in_other_rack(task: Task, worker: Worker) -> bool:
    preferred = task.step.preferred_rack
    return bool(preferred) and preferred != worker.rack
