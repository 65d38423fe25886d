"""
cyclamenshift.decisions.isolation
=================================

Chooses the worker for a task that may crash it.

Such a task runs apart from others, so that a crash tells and hits nothing
else.  It waits for that only while waiting can help, and for a limited time.
"""

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from ..job import TaskId
from .crashes import MAX_CAUSE_AGE_MS, Crashes
from .progress import Task, WorkerInstance

#: How long a task waits for a worker without other short runs, ms: as long as
#: a run takes to become too old to be the cause of a crash.
MAX_ISOLATION_WAIT_MS: Final = MAX_CAUSE_AGE_MS


class IsolationWaits:
    """Since when the waiting suspects wait."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.since: dict[TaskId, int] = {}

    def copy(self) -> 'IsolationWaits':
        """Return a copy that can be updated on its own."""
        copied = IsolationWaits()
        copied.since = self.since.copy()
        return copied

    def update(self, suspects: Iterable[Task], now: int) -> None:
        """Keep the times of *suspects*, which all wait at *now*, ms."""
        self.since = {
            task.task_id: self.since.get(task.task_id, now) for task in suspects
        }

    def waited(self, task: Task, now: int) -> int:
        """Return how long *task* has been waiting, ms."""
        return now - self.since[task.task_id]


class Occupancy(NamedTuple):
    """
    The runs at one worker, by what they mean for a suspect.

    ``young`` short runs may cause a crash as well; ``old`` ones are past that
    age, so that they hide nothing.  In ``settles_in`` ms the last young one
    will be old.  ``fits`` tells whether there is room for the suspect,
    ``fits_later`` whether there is once the young runs have ended.
    ``on_probation`` tells whether a suspect runs there that may still crash it,
    ``shareable`` whether all of these have been at one crash only.
    """

    instance: WorkerInstance
    young: int = 0
    old: int = 0
    lasting: int = 0
    settles_in: int = 0
    fits: bool = True
    fits_later: bool = True
    on_probation: bool = False
    shareable: bool = False


class IsolationChoice(NamedTuple):
    """The worker where a suspect starts, or that is ``held`` for it."""

    instance: WorkerInstance
    held: bool


class PlacementRank(NamedTuple):
    """
    The sort key of a worker to start at; the lowest is chosen.

    Of equal ones that is the one that has been up for longest, as it is the
    least likely to go down by itself.
    """

    old: int
    lasting: int
    started_at: int
    worker_id: str


def choose_worker(
    crashes: Crashes, waited: int, workers: Collection[Occupancy]
) -> IsolationChoice | None:
    """
    Return the worker for a suspect with *crashes* that *waited* ms.

    A worker without other short runs is the first choice, then one whose short
    runs are all young: they end soon, or get old.  Once that takes too long,
    or if there is none, the suspect starts beside old runs, or, after its
    first crash, beside other suspects of that kind.  None stands for no room.
    """
    free = [worker for worker in workers if not worker.on_probation]
    calm = [worker for worker in free if worker.fits and not worker.young]
    empty = [worker for worker in calm if not worker.old]
    if empty:
        return _start_at(empty)
    is_patient = waited < MAX_ISOLATION_WAIT_MS
    emptying = [
        worker
        for worker in free
        if worker.young and not worker.old and worker.fits_later
    ]
    if is_patient and emptying:
        return _hold_one_of(emptying)
    shared = [worker for worker in workers if worker.shareable and worker.fits]
    if shared and not is_patient and crashes.in_a_row == 1:
        return _start_at(shared)
    if calm:
        return _start_at(calm)
    settling = [worker for worker in free if worker.fits]
    return _hold_one_of(settling) if settling else None


def _start_at(workers: Collection[Occupancy]) -> IsolationChoice:
    chosen = min(workers, key=_rank)
    return IsolationChoice(chosen.instance, held=False)


def _hold_one_of(workers: Collection[Occupancy]) -> IsolationChoice:
    """
    Hold the worker that settles first.

    Nothing starts there meanwhile, so none can push its time back.
    """
    chosen = min(workers, key=_settling_time)
    return IsolationChoice(chosen.instance, held=True)


def _rank(worker: Occupancy) -> PlacementRank:
    worker_id, started_at = worker.instance
    return PlacementRank(worker.old, worker.lasting, started_at, worker_id)


def _settling_time(worker: Occupancy) -> tuple[int, WorkerInstance]:
    return (worker.settles_in, worker.instance)
