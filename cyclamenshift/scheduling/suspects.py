"""
cyclamenshift.scheduling.suspects
=================================

Keeps the tasks that may crash their workers apart from the other ones.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..decisions.accounts.allotments import NO_LIMITS, StartBudget
from ..decisions.candidates import Candidate, Placement
from ..decisions.crashes import MAX_CAUSE_AGE_MS, probation_limit
from ..decisions.demands import Demand, demand_of
from ..decisions.isolation import (
    MAX_ISOLATION_WAIT_MS,
    IsolationChoice,
    IsolationWaits,
    Occupancy,
    choose_worker,
)
from ..decisions.overload.worker_states import Rank
from ..decisions.placement import PlacementRules, place
from ..decisions.progress import Attempt, Task, WorkerInstance
from ..decisions.tracker import reserved_resources
from ..decisions.urgency import most_urgent_first
from ..job import NO_RESOURCES, Resources
from .state import ServiceState


class SuspectKind(NamedTuple):
    """
    What the choice of a worker depends on, which many suspects share.

    ``patient`` ones have not waited for long enough to share a worker.
    """

    demand: Demand
    crashes: int
    patient: bool


class WorkerRuns(NamedTuple):
    """
    The runs at a worker: the young and the old short ones, and the lasting.

    ``settles_in`` is the time until the last young one is old, ms, and
    ``young_resources`` what the young ones use.
    """

    young: int
    old: int
    lasting: int
    settles_in: int
    young_resources: Resources


class SharedPlacement(NamedTuple):
    """A suspect that starts beside old runs or other suspects."""

    task: Task
    worker: str
    old_runs: int
    suspects: int


class Suspects:
    """
    The waiting tasks of one scheduling pass that have to run apart.

    ``others`` are the tasks that may share a worker.  ``placements`` are those
    of the suspects; ``probation`` has the suspects by their worker, and
    ``held`` is the worker that is kept free of new runs for the next one.
    """

    def __init__(
        self,
        state: ServiceState,
        waits: IsolationWaits,
        now: int,
        budget: StartBudget = NO_LIMITS,
    ) -> None:
        """Sort the tasks that wait at *now*, monotonic ms."""
        self.state = state
        self.budget = budget
        self.waits = waits
        self.now = now
        self.tasks: list[Task] = []
        self.others: list[Task] = []
        self.placements: list[Placement] = []
        self.held: WorkerInstance | None = None
        for task in state.tracker.waiting.values():
            if task.on_hold:
                continue
            apart = task.possible_crashes.suspicious and not task.step.gang
            (self.tasks if apart else self.others).append(task)
        waits.update(self.tasks, now)
        self.shared_placements: list[SharedPlacement] = []
        self.probation: dict[WorkerInstance, list[Task]] = {}
        self.runs: dict[WorkerInstance, WorkerRuns] = {}

    def place(
        self, candidates: dict[WorkerInstance, Candidate]
    ) -> list[Placement]:
        """
        Place each suspect apart from the tasks that are none.

        The workers with a suspect are taken out of *candidates*, and so is
        the one that is held for the next suspect, if any has to be.  Single
        candidates get no suspects.
        """
        single = _take_single(candidates)
        self._find_runs_on_probation()
        if self.tasks:
            self.runs = {
                instance: self._runs_at(instance) for instance in candidates
            }
            self._place_all(candidates)
        for instance in (*self.probation, self.held):
            if instance is not None:
                candidates.pop(instance, None)
        candidates.update(
            (instance, candidate)
            for instance, candidate in single.items()
            if instance not in self.probation
        )
        return self.placements

    def log_shared_placements(self) -> None:
        """Log the suspects that start beside other short runs."""
        for shared in self.shared_placements:
            self.state.log.note(
                'Suspect placed beside other runs.',
                task=shared.task.task_id,
                crashes=shared.task.possible_crashes.in_a_row,
                worker=shared.worker,
                waited_ms=self.waits.waited(shared.task, self.now),
                old_runs=shared.old_runs,
                suspects=shared.suspects,
            )

    def _place_all(self, candidates: dict[WorkerInstance, Candidate]) -> None:
        urgent = most_urgent_first(self.tasks, self.state.clock.wall_time())
        window = self.state.order_window.free(self.state.service)
        without_worker: set[SuspectKind] = set()
        for task in self.budget.select(sorted(urgent, key=_count_crashes)):
            if len(self.placements) >= window:
                break
            kind = self._kind_of(task)
            if kind not in without_worker and not self._place(task, candidates):
                without_worker.add(kind)

    def _kind_of(self, task: Task) -> SuspectKind:
        return SuspectKind(
            demand_of(task),
            task.possible_crashes.in_a_row,
            self.waits.waited(task, self.now) < MAX_ISOLATION_WAIT_MS,
        )

    def _place(
        self, task: Task, candidates: dict[WorkerInstance, Candidate]
    ) -> bool:
        """Place *task* or hold a worker for it; return whether it may start."""
        shared = [each for each in candidates.values() if not each.single]
        choice = self._choose(task, shared)
        if choice is None and len(shared) < len(candidates):
            choice = self._choose(task, candidates.values())
        if choice is None:
            return False
        instance = choice.instance
        if choice.held:
            self.held = self.held or instance
            return False
        chosen = {instance: candidates[instance]}
        rules = PlacementRules(self.budget)
        self.placements.extend(
            place((task,), chosen, 1, self.placements, rules)
        )
        self.probation.setdefault(instance, []).append(task)
        self._note_shared_placement(task, instance)
        return True

    def _choose(
        self, task: Task, candidates: Iterable[Candidate]
    ) -> IsolationChoice | None:
        return choose_worker(
            task.possible_crashes,
            self.waits.waited(task, self.now),
            self._occupancies(task, candidates),
        )

    def _occupancies(
        self, task: Task, candidates: Iterable[Candidate]
    ) -> list[Occupancy]:
        """Return what the runs at the workers mean for *task*."""
        sessions = self.state.sessions.values()
        workers = sum(not session.closed for session in sessions)
        may_add = probation_limit(workers, len(self.probation)) > 0
        return [
            self._occupancy(task, candidate)
            for candidate in candidates
            if may_add or candidate.instance in self.probation
        ]

    def _occupancy(self, task: Task, candidate: Candidate) -> Occupancy:
        runs = self.runs[candidate.instance]
        suspects = self.probation.get(candidate.instance, ())
        later = candidate.free.plus(runs.young_resources)
        fits = self._fits(task, candidate, candidate.free)
        return Occupancy(
            candidate.instance,
            runs.young,
            runs.old,
            runs.lasting,
            runs.settles_in,
            fits=fits,
            fits_later=fits or self._fits(task, candidate, later),
            on_probation=bool(suspects),
            shareable=bool(suspects)
            and all(each.possible_crashes.in_a_row == 1 for each in suspects),
        )

    def _fits(self, task: Task, candidate: Candidate, free: Resources) -> bool:
        """Return whether *task* may start at a worker with *free* resources."""
        only = {candidate.instance: Candidate(candidate.worker, free)}
        return bool(place((task,), only, 1, self.placements))

    def _runs_at(self, instance: WorkerInstance) -> WorkerRuns:
        attempts = self.state.tracker.attempts_at(instance)
        short = [
            attempt
            for attempt in attempts
            if not attempt.task.step.long_running
        ]
        young = [
            attempt
            for attempt in short
            if self._age(attempt) <= MAX_CAUSE_AGE_MS
        ]
        youngest = min(map(self._age, young), default=MAX_CAUSE_AGE_MS)
        resources = NO_RESOURCES
        for attempt in young:
            resources = resources.plus(reserved_resources(attempt.task.step))
        return WorkerRuns(
            len(young),
            len(short) - len(young),
            len(attempts) - len(short),
            MAX_CAUSE_AGE_MS - youngest,
            resources,
        )

    def _find_runs_on_probation(self) -> None:
        for attempts_by_run in self.state.tracker.attempts_by_worker.values():
            for attempt in attempts_by_run.values():
                if attempt.task.possible_crashes.on_probation(
                    self._age(attempt)
                ):
                    tasks = self.probation.setdefault(attempt.instance, [])
                    tasks.append(attempt.task)

    def _age(self, attempt: Attempt) -> int:
        """Return the age up to which a run did not crash its worker, ms."""
        session = self.state.sessions.get(attempt.instance)
        alive_at = session.alive_at(self.now) if session else None
        return attempt.age(alive_at).ms

    def _note_shared_placement(
        self, task: Task, instance: WorkerInstance
    ) -> None:
        runs = self.runs[instance]
        suspects = len(self.probation[instance]) - 1
        if runs.old or suspects:
            self.shared_placements.append(
                SharedPlacement(task, instance[0], runs.old, suspects)
            )


def _take_single(
    candidates: dict[WorkerInstance, Candidate],
) -> dict[WorkerInstance, Candidate]:
    """Remove and return the candidates that get no suspects."""
    single = {
        instance: candidate
        for instance, candidate in candidates.items()
        if candidate.single and candidate.rank is not Rank.last_probe
    }
    for instance in single:
        candidates.pop(instance)
    return single


def _count_crashes(task: Task) -> int:
    return task.possible_crashes.in_a_row
