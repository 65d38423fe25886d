"""
cyclamenshift.decisions.placement
=================================

Which waiting task starts at which worker.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from ..job import Resources, Step, StepId
from ..worker import Worker
from .progress import Task, WorkerInstance
from .tracker import reserved_resources


class Candidate:
    """A worker that may take tasks, and the room that it has left."""

    def __init__(self, worker: Worker, free: Resources) -> None:
        """Start with *free* room."""
        self.worker = worker
        self.free = free

    @property
    def instance(self) -> WorkerInstance:
        """The life of the worker."""
        return self.worker.instance


class Placement(NamedTuple):
    """A task to be started as this run, at the worker with this life."""

    task: Task
    instance: WorkerInstance
    number: int


class ScoredCandidate(NamedTuple):
    """A worker that could take a task; the lowest is chosen."""

    far: bool
    failed_there: bool
    left: int
    worker_id: str
    candidate: Candidate


def place(
    tasks: Iterable[Task],
    candidates: Mapping[WorkerInstance, Candidate],
) -> list[Placement]:
    """
    Return where the *tasks*, the most urgent first, start now.

    A task takes the fullest worker that has room for it, near its data if
    it can.  What does not fit waits, and does not hold up what comes after.
    """
    placements: list[Placement] = []
    seen: set[StepId] = set()
    for task in tasks:
        if task.step.gang:
            key = task.task_id.step_id
            if key not in seen:
                seen.add(key)
                placements.extend(place_gang(task, candidates.values()))
            continue
        candidate = _choose(task, candidates.values(), placements)
        if candidate is not None:
            placements.append(_put(task, candidate, task.last_run + 1))
    return placements


def place_gang(
    task: Task,
    candidates: Collection[Candidate],
) -> list[Placement]:
    """
    Return where all members of the gang of *task* start, or nothing.

    They start as one run, and go on from one checkpoint.
    """
    members = task.job.siblings(task)
    if not all(member.waiting for member in members):
        return []
    number = max(member.last_run for member in members) + 1
    checkpoints = (member.checkpoint for member in members)
    checkpoint = next(filter(None, checkpoints), '')
    for group in _within(task.step, candidates):
        placements = _place_all(members, group, number)
        if placements:
            for member in members:
                member.checkpoint = checkpoint
            return placements
    return []


def _within(
    step: Step,
    candidates: Collection[Candidate],
) -> Iterator[Collection[Candidate]]:
    """Yield the groups of workers to try, those of one rack first."""
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
) -> list[Placement]:
    """Place every member, or take none of the room."""
    before = [(candidate, candidate.free) for candidate in candidates]
    placements: list[Placement] = []
    for member in members:
        candidate = _choose(member, candidates, placements)
        if candidate is None:
            for each, free in before:
                each.free = free
            return []
        placements.append(_put(member, candidate, number))
    return placements


def _put(task: Task, candidate: Candidate, number: int) -> Placement:
    candidate.free = candidate.free.minus(reserved_resources(task.step))
    return Placement(task, candidate.instance, number)


def _choose(
    task: Task,
    candidates: Iterable[Candidate],
    placements: Iterable[Placement],
) -> Candidate | None:
    resources = reserved_resources(task.step)
    taken = _taken(task, placements)
    ranked = [
        ScoredCandidate(
            far=_is_far(task, candidate.worker),
            failed_there=candidate.instance in task.failed_at,
            left=candidate.free.cpu,
            worker_id=candidate.worker.worker_id,
            candidate=candidate,
        )
        for candidate in candidates
        if candidate.free.can_fit(resources)
        and not _runs_at(task, candidate.instance)
        and _is_allowed(
            task,
            candidate.worker,
            taken.get(candidate.instance, 0),
        )
    ]
    return min(ranked)[-1] if ranked else None


def _taken(
    task: Task,
    placements: Iterable[Placement],
) -> dict[WorkerInstance, int]:
    """Return how many tasks of the step each worker has, or is to have."""
    if not task.step.worker_limit:
        return {}
    siblings = task.job.siblings(task)
    lives = [
        attempt.instance
        for sibling in siblings
        for attempt in sibling.attempts.values()
    ]
    lives.extend(
        placement.instance
        for placement in placements
        if placement.task in siblings
    )
    counts: dict[WorkerInstance, int] = {}
    for instance in lives:
        counts[instance] = counts.get(instance, 0) + 1
    return counts


def _runs_at(task: Task, instance: WorkerInstance) -> bool:
    """Return whether a task that gets a copy runs at this worker."""
    return any(
        attempt.instance == instance for attempt in task.attempts.values()
    )


def _is_allowed(task: Task, worker: Worker, taken: int) -> bool:
    step = task.step
    if step.required_label and step.required_label not in worker.labels:
        return False
    return not step.worker_limit or taken < step.worker_limit


def _is_far(task: Task, worker: Worker) -> bool:
    preferred = task.step.preferred_rack
    return bool(preferred) and preferred != worker.rack
