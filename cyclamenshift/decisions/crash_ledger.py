"""
cyclamenshift.decisions.crash_ledger
====================================

Counts the crashes of workers for the tasks that ran there.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .crashes import MAX_CAUSE_AGE_MS, RunAge
from .progress import Attempt, JobProgress, Task, WorkerInstance
from .suspected_crashes import SuspectedCrash
from .tracker import UNANSWERED_PHASES, JobTracker


class WorkerCrash(NamedTuple):
    """
    The crash of a worker, last known to be alive at ``alive_at``.

    The time is in monotonic ms, None if unknown.  ``settled`` tells whether it
    had been up for long enough not to go down by itself.
    """

    alive_at: int | None
    settled: bool


class CrashLedger:
    """
    The crashes of the workers of one service.

    ``suspects`` has the tasks with a suspected crash, by the worker.
    """

    def __init__(self, tracker: JobTracker) -> None:
        """Start without suspected crashes."""
        self.tracker = tracker
        self.suspects: dict[WorkerInstance, set[Task]] = {}

    def restore(self, progress: JobProgress) -> None:
        """Add the suspected crashes that an earlier scheduler recorded."""
        for task in progress.tasks():
            for instance in task.suspected_crashes:
                self.suspects.setdefault(instance, set()).add(task)

    def record(
        self, lost: Iterable[Attempt], crash: WorkerCrash, wall_time: int
    ) -> list[Task]:
        """
        Count a proved crash for the tasks that ran there.

        Returns the tasks that are given up, which fail their jobs.
        """
        return self._count(_weigh(lost, crash), wall_time)

    def suspect(
        self,
        instance: WorkerInstance,
        lost: Iterable[Attempt],
        crash: WorkerCrash,
    ) -> list[Task]:
        """
        Record and return the tasks that may have crashed a worker.

        Those whose runs were too old to be the cause are left out.
        """
        suspected = {
            task: weighed
            for task, weighed in _weigh(lost, crash).items()
            if not _is_over(task) and weighed.age.ms <= MAX_CAUSE_AGE_MS
        }
        for task, weighed in suspected.items():
            task.suspected_crashes[instance] = weighed
            self.suspects.setdefault(instance, set()).add(task)
            self.tracker.mark_dirty(task.job)
        return list(suspected)

    def confirm(self, instance: WorkerInstance, wall_time: int) -> list[Task]:
        """
        Count a suspected crash that is proved.

        Returns the tasks that are given up, which fail their jobs.
        """
        return self._count(self._remove(instance), wall_time)

    def dismiss(self, instance: WorkerInstance) -> list[Task]:
        """Drop a suspected crash; return the tasks that had it."""
        return list(self._remove(instance))

    def _remove(self, instance: WorkerInstance) -> dict[Task, SuspectedCrash]:
        removed = {
            task: task.suspected_crashes.pop(instance)
            for task in self.suspects.pop(instance, ())
            if instance in task.suspected_crashes
        }
        for task in removed:
            self.tracker.mark_dirty(task.job)
        return removed

    def _count(
        self, crashes: Mapping[Task, SuspectedCrash], wall_time: int
    ) -> list[Task]:
        given_up: list[Task] = []
        for task, crash in crashes.items():
            if _is_over(task):
                continue
            effect = task.job.record_crash(
                task, crash.age, wall_time, alone=crash.alone
            )
            self.tracker.apply_effect(task.job, effect)
            if task.job.state.final:
                given_up.append(task)
        return given_up


def _weigh(
    lost: Iterable[Attempt], crash: WorkerCrash
) -> dict[Task, SuspectedCrash]:
    """Return what a crash tells of the tasks whose runs were *lost*."""
    ages = _ages_by_task(lost, crash.alive_at)
    causes = sum(_may_be_cause(task, age) for task, age in ages.items())
    alone = crash.settled and causes <= 1
    return {task: SuspectedCrash(age, alone) for task, age in ages.items()}


def _ages_by_task(
    lost: Iterable[Attempt], alive_at: int | None
) -> dict[Task, RunAge]:
    """Return how old the runs that were there got, by the counting task."""
    return {
        attempt.task.job.counting_task(attempt.task): attempt.age(alive_at)
        for attempt in lost
        if attempt.phase not in UNANSWERED_PHASES
    }


def _may_be_cause(task: Task, age: RunAge) -> bool:
    """Return whether a run that got to *age* may have crashed its worker."""
    return not task.step.long_running and age.ms <= MAX_CAUSE_AGE_MS


def _is_over(task: Task) -> bool:
    return task.done or task.job.state.final
