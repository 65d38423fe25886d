"""
cyclamenshift.decisions.overload.run_samples
============================================

Selects the runs whose run times are learned.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from ..leases import REPORT_WAIT_MS
from ..progress import Attempt, Task, WorkerInstance, refresh_schedule
from .run_times import RunTimeModel

#: The longest time between the last sight of a run and the report of its end,
#: ms: that for which a worker may hold a report, and a lost call with its
#: repetition.  A run that ended while its worker was out of reach for longer
#: seems to have taken until the report.
MAX_UNSEEN_MS: Final = REPORT_WAIT_MS * 3 // 2
#: The minimum time between two refreshes of the schedules of all waiting jobs,
#: ms: short against the objective of a job, and long against a pass.
REFRESH_INTERVAL_MS: Final = 500


class StepSample(NamedTuple):
    """
    A finished step from which run times were learned.

    ``predicted`` is what was predicted before, and ``actual`` the mean run
    time of its tasks, ms.
    """

    estimate: int
    predicted: int
    actual: float


class RunTimeLearner:
    """
    Learns the run times of one service, and refreshes its schedules.

    ``is_slow`` tells whether a worker is known to be slow; its run times are
    not learned.
    """

    def __init__(
        self, is_slow: Callable[[WorkerInstance], bool] | None = None
    ) -> None:
        """Start with an empty model; without *is_slow*, no worker is slow."""
        self.is_slow = is_slow or _never
        self.model = RunTimeModel()
        self.refreshed_revision = 0
        self.next_refresh = 0

    def observe(self, attempt: Attempt, clock: int) -> StepSample | None:
        """
        Consider a run that completes its task, before the task is done.

        *clock* is the worker's at the report.  Returns what was learned if
        the step is finished by it.
        """
        task = attempt.task
        if self._is_typical(attempt, clock):
            task.learned_run_time = attempt.run_time(clock)
        siblings = task.job.siblings(task)
        if not task.step.gang and not all(
            sibling.done or sibling is task for sibling in reversed(siblings)
        ):
            return None
        times = [sibling.learned_run_time or 0 for sibling in siblings]
        known = [run_time for run_time in times if run_time > 0]
        return self._learn(task, known) if known else None

    def refresh(self, waiting: Iterable[Task], now: int) -> None:
        """Refresh the schedules of waiting jobs if predictions changed."""
        is_current = self.refreshed_revision == self.model.revision
        if is_current or now < self.next_refresh:
            return
        self.refreshed_revision = self.model.revision
        self.next_refresh = now + REFRESH_INTERVAL_MS
        jobs = {task.job for task in waiting}
        for progress in jobs:
            refresh_schedule(progress)

    def _learn(self, task: Task, known: list[int]) -> StepSample:
        step = task.step
        name = (task.job.job.queue, step.image)
        predicted = self.model.predict(*name, step.estimate)
        self.model.record(*name, step.estimate, *known)
        return StepSample(step.estimate, predicted, sum(known) / len(known))

    def _is_typical(self, attempt: Attempt, clock: int) -> bool:
        """
        Return whether a run was a whole one under usual conditions.

        A run after the first may have resumed from a checkpoint, and one with
        a copy beside it was slow or its worker silent.
        """
        is_only = attempt.number == attempt.task.last_run == 1
        is_seen = attempt.seen and clock - attempt.seen.last <= MAX_UNSEEN_MS
        return bool(is_only and is_seen) and not self.is_slow(attempt.instance)


def _never(instance: WorkerInstance) -> bool:
    return False
