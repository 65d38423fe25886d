"""
cyclamenshift.decisions.candidates
==================================

Ranks the workers that may get a task.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final, NamedTuple, TypeAlias

from ..job import Resources, Step
from ..worker import Worker
from .overload.worker_states import Rank
from .progress import Task, WorkerInstance
from .tracker import reserved_resources

#: Returns the rack of a worker, empty if unknown.  Copies and long-running
#: tasks are spread over racks only where it is given.
RackOf: TypeAlias = Callable[[WorkerInstance], str]

#: The free resources of a worker that gets no other task.
NOTHING_FREE: Final = Resources(-1, -1, -1)
#: The ranks of workers that accept any number of tasks.
SHARED_RANKS: Final = frozenset((Rank.healthy, Rank.suspected))
#: The ranks of ejected workers that get a probe.
PROBE_RANKS: Final = frozenset((Rank.probe, Rank.late_probe, Rank.last_probe))
#: The ranks of suspected workers that get one run at a time.
TRIAL_RANKS: Final = frozenset((Rank.trial, Rank.late_trial))
#: The single ranks that accept lasting tasks.
LASTING_RANKS: Final = frozenset(
    (Rank.late_probe, Rank.late_trial, Rank.lasting)
)


class Candidate:
    """
    A worker that accepts tasks, with its free resources.

    A ``single`` one accepts one task at a time, because of its health, but a
    gang goes as a whole.
    """

    def __init__(
        self, worker: Worker, free: Resources, rank: Rank = Rank.healthy
    ) -> None:
        """Create a candidate with *free* resources."""
        self.worker = worker
        self.free = free
        self.rank = rank
        self.single = rank not in SHARED_RANKS
        #: Kept, because it is read for each task that is placed.
        self.instance: WorkerInstance = worker.instance

    def accepts(self, task: Task) -> bool:
        """Return whether a single candidate may get *task*."""
        if self.is_usual(task) or self.rank is Rank.last_probe:
            return True
        if task.step.gang or task.possible_crashes.in_a_row:
            return False
        if task.step.long_running:
            return self.rank in LASTING_RANKS
        return self.rank is Rank.late_probe and _spares_attempts(task)

    def is_usual(self, task: Task) -> bool:
        """Return whether *task* loses little if a single candidate fails it."""
        step = task.step
        if step.gang or step.long_running or task.possible_crashes.in_a_row:
            return False
        if self.rank in PROBE_RANKS:
            # It has all its attempts left.
            return not task.failures
        return self.rank in TRIAL_RANKS and self.instance not in task.failed_at

    def is_last_resort(self, task: Task) -> bool:
        """Return whether *task* should rather run at any other candidate."""
        return self.single and not self.is_usual(task)


def _spares_attempts(task: Task) -> bool:
    """Return whether *task* has an attempt left after a failure."""
    return task.failures + 1 < task.job.queue.attempts


class Placement(NamedTuple):
    """A task to start at a worker, as the run with this number."""

    task: Task
    instance: WorkerInstance
    number: int


class ScoredCandidate(NamedTuple):
    """The sort key of a candidate for one task; the lowest is chosen."""

    last_resort: bool
    other_rack: bool
    failed_there: bool
    rank: Rank
    shared_rack: bool
    free_cpu: int
    worker_id: str
    candidate: Candidate


def reserve(task: Task, candidate: Candidate, number: int) -> Placement:
    """Place *task* at *candidate*."""
    candidate.free = (
        NOTHING_FREE
        if candidate.single and not task.step.gang
        else candidate.free.minus(reserved_resources(task.step))
    )
    return Placement(task, candidate.instance, number)


def best_candidate(
    task: Task,
    candidates: Iterable[Candidate],
    placements: Collection[Placement],
    rack_of: RackOf | None = None,
) -> Candidate | None:
    """Return the best candidate for *task*, beside other *placements*."""
    resources = reserved_resources(task.step)
    assigned = _tasks_by_worker(task, placements)
    shared = _shared_rack(task, placements, rack_of) if rack_of else ''
    occupied = {attempt.instance for attempt in task.attempts.values()}
    ranked = [
        ScoredCandidate(
            candidate.is_last_resort(task),
            _in_other_rack(task, candidate.worker),
            candidate.instance in task.failed_at,
            candidate.rank,
            bool(shared) and candidate.worker.rack == shared,
            candidate.free.cpu,
            candidate.worker.worker_id,
            candidate,
        )
        for candidate in candidates
        if candidate.free.can_fit(resources)
        and candidate.instance not in occupied
        and (not candidate.single or candidate.accepts(task))
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
    return Counter(_instances_of_step(task, placements))


def _instances_of_step(
    task: Task, placements: Iterable[Placement]
) -> Iterator[WorkerInstance]:
    """Yield the worker of each run of the step, *placements* included."""
    siblings = task.job.siblings(task)
    for sibling in siblings:
        for attempt in sibling.attempts.values():
            yield attempt.instance
    for placement in placements:
        if placement.task in siblings:
            yield placement.instance


def _meets_constraints(step: Step, worker: Worker, assigned: int) -> bool:
    if step.required_label and step.required_label not in worker.labels:
        return False
    return not step.worker_limit or assigned < step.worker_limit


def _in_other_rack(task: Task, worker: Worker) -> bool:
    preferred = task.step.preferred_rack
    return bool(preferred) and preferred != worker.rack


def _shared_rack(
    task: Task, placements: Iterable[Placement], rack_of: RackOf
) -> str:
    """
    Return the rack whose loss would end all that *task* is to back up.

    That is the other run of a copy, or all others of a long-running step.
    The tasks of other steps are not spread: all of them have to be done, so
    that spread steps would have each loss of a rack delay more jobs.
    """
    step = task.step
    instances = {attempt.instance for attempt in task.attempts.values()}
    if not instances and step.long_running and not step.gang:
        instances.update(_instances_of_step(task, placements))
    racks = {rack_of(instance) for instance in instances}
    return racks.pop() if len(racks) == 1 else ''
