"""
cyclamenshift.decisions.placement
=================================

Assigns waiting tasks to workers.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from ..job import NO_RESOURCES, Resources, Step
from ..worker import Worker
from .accounts.allotments import NO_LIMITS, StartBudget
from .demands import Demand, demand_of
from .progress import Task, WorkerInstance
from .tracker import reserved_resources


class Candidate:
    """A worker that accepts tasks, with its free resources."""

    def __init__(self, worker: Worker, free: Resources) -> None:
        """Create a candidate with *free* resources."""
        self.worker = worker
        self.free = free

    @property
    def instance(self) -> WorkerInstance:
        """The id and the start time of the worker process."""
        return self.worker.instance


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


def may_fit(
    tasks: Iterable[Task],
    candidates: Collection[Candidate],
) -> list[Task]:
    """Return the *tasks* that are not too large for all candidates."""
    largest = Resources(
        *(
            max(amounts)
            for amounts in zip(
                NO_RESOURCES,
                *(candidate.free for candidate in candidates),
                strict=True,
            )
        ),
    )
    return [
        task for task in tasks if largest.can_fit(reserved_resources(task.step))
    ]


def place(
    tasks: Iterable[Task],
    candidates: Mapping[WorkerInstance, Candidate],
    limit: int,
    earlier: Collection[Placement] = (),
    budget: StartBudget = NO_LIMITS,
) -> list[Placement]:
    """
    Return the placements of *tasks*, which are sorted by urgency.

    *earlier* are those of other tasks that have not started yet.  *budget*
    tells what may start for the accounts with a limit.

    Placement is best fit: a task gets the worker with the least free cpu
    that can hold it, in its preferred rack if possible.  A task that fits
    nowhere stays queued and does not block those after it.  Placement stops
    after *limit* tasks, but a gang is never split.
    """
    placements: list[Placement] = []
    skipped: set[Demand] = set()
    for task in budget.select(tasks):
        if len(placements) >= limit:
            break
        if demand_of(task) in skipped:
            continue
        known = (*earlier, *placements)
        added = _place_task(task, candidates.values(), known)
        placements.extend(added)
        budget.spend(placement.task for placement in added)
        skipped.update(_settled_demands(task, added))
    return placements


def _place_task(
    task: Task,
    candidates: Collection[Candidate],
    earlier: Iterable[Placement],
) -> list[Placement]:
    if task.step.gang:
        return place_gang(task, candidates)
    return _place_all((task,), candidates, task.last_run + 1, earlier)


def _settled_demands(
    task: Task,
    added: Collection[Placement],
) -> Collection[Demand]:
    """Return the demand of *task* if no further task with it can start."""
    settled = task.step.gang or not added
    return (demand_of(task),) if settled else ()


def place_gang(
    task: Task,
    candidates: Collection[Candidate],
) -> list[Placement]:
    """
    Return placements for the whole gang of *task*, or none at all.

    All members start under the same run number and checkpoint.
    """
    members = task.job.siblings(task)
    if not all(member.waiting for member in members):
        return []
    number = max(member.last_run for member in members) + 1
    checkpoints = (member.checkpoint for member in members)
    checkpoint = next(filter(None, checkpoints), '')
    for group in _rack_groups(task.step, candidates):
        placements = _place_all(members, group, number)
        if placements:
            for member in members:
                member.checkpoint = checkpoint
            return placements
    return []


def _rack_groups(
    step: Step,
    candidates: Collection[Candidate],
) -> Iterator[Collection[Candidate]]:
    """Yield the candidates of each single rack, then all candidates."""
    if step.single_rack:
        for rack in sorted({candidate.worker.rack for candidate in candidates}):
            yield [
                candidate
                for candidate in candidates
                if candidate.worker.rack == rack
            ]
    yield candidates


def _place_all(
    members: Iterable[Task],
    candidates: Collection[Candidate],
    number: int,
    earlier: Iterable[Placement] = (),
) -> list[Placement]:
    """Place every member, or restore the free resources."""
    saved_free = [(candidate, candidate.free) for candidate in candidates]
    placements: list[Placement] = []
    for member in members:
        candidate = _best_candidate(member, candidates, (*earlier, *placements))
        if candidate is None:
            for each, free in saved_free:
                each.free = free
            return []
        placements.append(_reserve(member, candidate, number))
    return placements


def _reserve(task: Task, candidate: Candidate, number: int) -> Placement:
    candidate.free = candidate.free.minus(reserved_resources(task.step))
    return Placement(task, candidate.instance, number)


def _best_candidate(
    task: Task,
    candidates: Iterable[Candidate],
    placements: Iterable[Placement],
) -> Candidate | None:
    resources = reserved_resources(task.step)
    assigned = _tasks_by_worker(task, placements)
    ranked = [
        ScoredCandidate(
            other_rack=_in_other_rack(task, candidate.worker),
            failed_there=candidate.instance in task.failed_at,
            free_cpu=candidate.free.cpu,
            worker_id=candidate.worker.worker_id,
            candidate=candidate,
        )
        for candidate in candidates
        if candidate.free.can_fit(resources)
        and not _runs_at(task, candidate.instance)
        and _meets_constraints(
            task,
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


def _runs_at(task: Task, instance: WorkerInstance) -> bool:
    """Return whether another run of the task is at this worker."""
    return any(
        attempt.instance == instance for attempt in task.attempts.values()
    )


def _meets_constraints(task: Task, worker: Worker, assigned: int) -> bool:
    step = task.step
    if step.required_label and step.required_label not in worker.labels:
        return False
    return not step.worker_limit or assigned < step.worker_limit


def _in_other_rack(task: Task, worker: Worker) -> bool:
    preferred = task.step.preferred_rack
    return bool(preferred) and preferred != worker.rack
