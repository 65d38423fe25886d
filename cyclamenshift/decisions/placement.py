"""
cyclamenshift.decisions.placement
=================================

Assigns waiting tasks to workers.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from ..job import NO_RESOURCES, Resources, Step
from .accounts.allotments import NO_LIMITS, StartBudget
from .candidates import (
    Candidate,
    Placement,
    RackOf,
    best_candidate,
    reserve,
)
from .demands import Demand, demand_of
from .progress import Task, WorkerInstance
from .tracker import reserved_resources


class PlacementRules(NamedTuple):
    """
    What bounds placements besides the room at the workers.

    ``budget`` tells what may start for the accounts with a limit.  With
    ``rack_of``, copies and long-running tasks are kept apart by rack if there
    is room.
    """

    budget: StartBudget = NO_LIMITS
    rack_of: RackOf | None = None


NO_RULES: Final = PlacementRules()


class TaskKind(NamedTuple):
    """What decides which candidate is the best for a task."""

    resources: Resources
    required_label: str
    preferred_rack: str
    long_running: bool


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
    rules: PlacementRules = NO_RULES,
) -> list[Placement]:
    """
    Return the placements of *tasks*, which are sorted by urgency.

    *earlier* are those of other tasks that have not started yet.

    Placement is best fit: a task gets the worker with the least free cpu
    that can hold it, in its preferred rack if possible.  A task that fits
    nowhere stays queued and does not block those after it.  Placement stops
    after *limit* tasks, but a gang is never split.
    """
    placer = _Placer(candidates.values(), earlier, rules.rack_of)
    skipped: set[Demand] = set()
    for task in rules.budget.select(tasks):
        if len(placer.placements) >= limit:
            break
        demand = demand_of(task)
        placed = len(placer.placements)
        if demand not in skipped and not placer.place(task):
            skipped.add(demand)
        added = placer.placements[placed:]
        rules.budget.spend(placement.task for placement in added)
    return placer.placements


class _Placer:
    """
    Places the tasks of one call of ``place``.

    The candidate of the last task stays the best one for an equal task while
    it can hold it: no other has changed, and it has become fuller.  So the
    candidates are ranked once for each worker that equal tasks fill, instead
    of once for each task.
    """

    def __init__(
        self,
        candidates: Collection[Candidate],
        earlier: Collection[Placement],
        rack_of: RackOf | None,
    ) -> None:
        """Place at *candidates*, beside the *earlier* placements."""
        self.candidates = candidates
        self.earlier = earlier
        self.rack_of = rack_of
        self.has_single = any(each.single for each in candidates)
        self.placements: list[Placement] = []
        self.last_kind: TaskKind | None = None
        self.last_candidate: Candidate | None = None

    def place(self, task: Task) -> bool:
        """
        Place *task*, or the gang that it is of.

        Returns whether another task with its demand may start.
        """
        if task.step.gang:
            self.last_kind = None
            self.placements.extend(place_gang(task, self.candidates))
            return False
        candidate = self._choose(task)
        if candidate is not None:
            placement = reserve(task, candidate, task.last_run + 1)
            self.placements.append(placement)
        # A single candidate may accept another task that has not failed.
        may_differ = self.has_single and bool(task.failures)
        return candidate is not None or may_differ

    def _choose(self, task: Task) -> Candidate | None:
        kind = self._kind_of(task)
        last = self.last_candidate
        if kind and kind == self.last_kind and last:
            if last.free.can_fit(kind.resources):
                return last
        self.last_kind = kind
        self.last_candidate = best_candidate(
            task, self.candidates, self._known_for(task), self.rack_of
        )
        return self.last_candidate

    def _known_for(self, task: Task) -> Collection[Placement]:
        """Return the other placements if that of *task* depends on them."""
        step = task.step
        if not step.worker_limit and not step.long_running:
            return ()
        return (*self.earlier, *self.placements)

    def _kind_of(self, task: Task) -> TaskKind | None:
        """Return the kind of *task*, None if its placement depends on more."""
        step = task.step
        if task.attempts or task.failed_at or step.worker_limit:
            return None
        if task.failures or task.possible_crashes.in_a_row:
            return None
        if step.long_running and self.rack_of:
            return None
        return TaskKind(
            reserved_resources(step),
            step.required_label,
            step.preferred_rack,
            step.long_running,
        )


def place_gang(
    task: Task,
    candidates: Collection[Candidate],
) -> list[Placement]:
    """
    Return placements for the whole gang of *task*, or none at all.

    All members start under the same run number.
    """
    members = task.job.siblings(task)
    if not all(member.waiting for member in members):
        return []
    number = max(member.last_run for member in members) + 1
    for group in _rack_groups(task.step, candidates):
        placements = _place_all(members, group, number)
        if placements:
            return placements
    return []


def share_checkpoint(task: Task) -> None:
    """Let the gang of *task*, which is about to start, resume from one."""
    members = task.job.siblings(task)
    checkpoints = (member.checkpoint for member in members)
    checkpoint = next(filter(None, checkpoints), '')
    for member in members:
        member.checkpoint = checkpoint


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
) -> list[Placement]:
    """Place every member, or restore the free resources."""
    saved_free = [(candidate, candidate.free) for candidate in candidates]
    placements: list[Placement] = []
    for member in members:
        candidate = best_candidate(member, candidates, placements)
        if candidate is None:
            for each, free in saved_free:
                each.free = free
            return []
        placements.append(reserve(member, candidate, number))
    return placements
