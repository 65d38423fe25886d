"""
cyclamenshift.decisions.placement
=================================

Which waiting task starts at which worker.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from ..job import Resources, Step, StepId
from ..worker import Worker
from .book import room_of
from .progress import Life, Task


class Bench:
    """A worker that may take tasks, and the room that it has left."""

    def __init__(self, worker: Worker, free: Resources) -> None:
        """Start with *free* room."""
        self.worker = worker
        self.free = free

    @property
    def life(self) -> Life:
        """The life of the worker."""
        return self.worker.life


class Placement(NamedTuple):
    """A task to be started as this run, at the worker with this life."""

    task: Task
    life: Life
    number: int


class Ranked(NamedTuple):
    """A worker that could take a task; the lowest is chosen."""

    far: bool
    failed_there: bool
    left: int
    worker_id: str
    bench: Bench


def place(
    tasks: Iterable[Task],
    benches: Mapping[Life, Bench],
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
                placements.extend(place_gang(task, benches.values()))
            continue
        bench = _choose(task, benches.values(), placements)
        if bench is not None:
            placements.append(_put(task, bench, task.last_run + 1))
    return placements


def place_gang(task: Task, benches: Collection[Bench]) -> list[Placement]:
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
    for candidates in _within(task.step, benches):
        placements = _place_all(members, candidates, number)
        if placements:
            for member in members:
                member.checkpoint = checkpoint
            return placements
    return []


def _within(
    step: Step,
    benches: Collection[Bench],
) -> Iterator[Collection[Bench]]:
    """Yield the groups of workers to try, those of one rack first."""
    if step.single_rack:
        for rack in sorted({bench.worker.rack for bench in benches}):
            yield [bench for bench in benches if bench.worker.rack == rack]
    yield benches


def _place_all(
    members: Iterable[Task],
    benches: Collection[Bench],
    number: int,
) -> list[Placement]:
    """Place every member, or take none of the room."""
    before = [(bench, bench.free) for bench in benches]
    placements: list[Placement] = []
    for member in members:
        bench = _choose(member, benches, placements)
        if bench is None:
            for each, free in before:
                each.free = free
            return []
        placements.append(_put(member, bench, number))
    return placements


def _put(task: Task, bench: Bench, number: int) -> Placement:
    bench.free = bench.free.minus(room_of(task.step))
    return Placement(task, bench.life, number)


def _choose(
    task: Task,
    benches: Iterable[Bench],
    placements: Iterable[Placement],
) -> Bench | None:
    resources = room_of(task.step)
    taken = _taken(task, placements)
    ranked = [
        Ranked(
            far=_is_far(task, bench.worker),
            failed_there=bench.life in task.failed_at,
            left=bench.free.cpu,
            worker_id=bench.worker.worker_id,
            bench=bench,
        )
        for bench in benches
        if bench.free.can_fit(resources)
        and not _runs_at(task, bench.life)
        and _is_allowed(task, bench.worker, taken.get(bench.life, 0))
    ]
    return min(ranked)[-1] if ranked else None


def _taken(task: Task, placements: Iterable[Placement]) -> dict[Life, int]:
    """Return how many tasks of the step each worker has, or is to have."""
    if not task.step.worker_limit:
        return {}
    siblings = task.job.siblings(task)
    lives = [
        attempt.life
        for sibling in siblings
        for attempt in sibling.attempts.values()
    ]
    lives.extend(
        placement.life for placement in placements if placement.task in siblings
    )
    counts: dict[Life, int] = {}
    for life in lives:
        counts[life] = counts.get(life, 0) + 1
    return counts


def _runs_at(task: Task, life: Life) -> bool:
    """Return whether a task that gets a copy runs at this worker."""
    return any(attempt.life == life for attempt in task.attempts.values())


def _is_allowed(task: Task, worker: Worker, taken: int) -> bool:
    step = task.step
    if step.required_label and step.required_label not in worker.labels:
        return False
    return not step.worker_limit or taken < step.worker_limit


def _is_far(task: Task, worker: Worker) -> bool:
    preferred = task.step.preferred_rack
    return bool(preferred) and preferred != worker.rack
