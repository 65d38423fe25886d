"""
cyclamenshift.decisions.tracker
===============================

The jobs of one service: which tasks wait, and what runs at which worker.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ..directory import Queue
from ..job import (
    NO_RESOURCES,
    Job,
    JobState,
    Resources,
    RunEnd,
    RunId,
    RunOutcome,
    RunStatus,
    Step,
    TaskId,
)
from ..jobrows import ProgressRow
from ..worker import WorkerReport
from .progress import (
    Attempt,
    JobProgress,
    Phase,
    RunEndEffect,
    Task,
    WorkerInstance,
    checkpoint_of,
)
from .records import restore

#: The endings that have to be recorded before they are acknowledged.
COUNTED: Final = frozenset((RunOutcome.done, RunOutcome.failed))


class ReportResult(NamedTuple):
    """
    What a worker's report has changed.

    ``jobs`` have to be recorded before the ends are acknowledged;
    ``orphans`` are runs that should not be at the worker.
    """

    jobs: tuple[JobProgress, ...]
    orphans: tuple[RunId, ...]


class JobTracker:
    """
    The jobs of one service.

    ``waiting`` holds the tasks to be started, the oldest first; ``dirty``
    the jobs to be recorded; ``to_stop`` the attempts to be stopped.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.jobs: dict[str, JobProgress] = {}
        self.waiting: dict[TaskId, Task] = {}
        self.timed: dict[str, JobProgress] = {}
        self.dirty: dict[str, JobProgress] = {}
        self.to_stop: dict[RunId, Attempt] = {}
        self.attempts_by_worker: dict[WorkerInstance, dict[RunId, Attempt]] = {}
        self.used: dict[WorkerInstance, Resources] = {}

    def add(self, job: Job, queue: Queue, wall_time: int) -> JobProgress | None:
        """Take a job that nobody has begun; None if it is known."""
        if job.job_id in self.jobs:
            return None
        progress = JobProgress(job, queue, version=0)
        self.jobs[job.job_id] = progress
        self.timed[job.job_id] = progress
        self.open_due(wall_time)
        return progress

    def restore(
        self,
        progress: JobProgress,
        row: ProgressRow,
        wall_time: int,
        now: int,
    ) -> None:
        """Take over a job that an earlier scheduler recorded."""
        restore(progress, row, wall_time, now)
        self.jobs[progress.job.job_id] = progress
        if progress.next_due() is not None:
            self.timed[progress.job.job_id] = progress
        for attempt in progress.attempts():
            self._put(attempt)
        self._offer(progress.tasks())

    def open_due(self, wall_time: int) -> None:
        """Let the tasks wait whose occurrence is due."""
        for job_id, progress in tuple(self.timed.items()):
            self._offer(progress.open_due(wall_time))
            if progress.next_due() is None:
                self.timed.pop(job_id)

    def next_due(self) -> int | None:
        """Return when the next occurrence is due, ms since the epoch."""
        dues = (progress.next_due() for progress in self.timed.values())
        return min((due for due in dues if due is not None), default=None)

    def plan(
        self,
        task: Task,
        instance: WorkerInstance,
        number: int,
        now: int,
    ) -> Attempt:
        """Choose a worker for a task; the attempt has to be recorded next."""
        attempt = Attempt(task, number, instance, now)
        task.last_run = number
        task.attempts[number] = attempt
        self.waiting.pop(task.task_id, None)
        if task.job.state is JobState.queued:
            task.job.state = JobState.running
        self._put(attempt)
        self.mark_dirty(task.job)
        return attempt

    def mark_running(self, attempt: Attempt, clock: int) -> None:
        """Note that the worker runs *attempt*."""
        attempt.last_seen_clock = max(attempt.last_seen_clock, clock)
        attempt.task.job.begun = True
        if attempt.phase is Phase.ordered:
            attempt.start_clock = clock
        if attempt.phase in {Phase.ordered, Phase.unsettled, Phase.inherited}:
            attempt.phase = Phase.running

    def remove(self, attempt: Attempt) -> None:
        """Note that *attempt* is over, or never was; its task may wait."""
        if attempt.task.attempts.pop(attempt.number, None) is None:
            return
        self.mark_dirty(attempt.task.job)
        self.to_stop.pop(attempt.run, None)
        there = self.attempts_by_worker[attempt.instance]
        there.pop(attempt.run)
        self.used[attempt.instance] = self.used[attempt.instance].minus(
            reserved_resources(attempt.task.step),
        )
        if not there:
            self.attempts_by_worker.pop(attempt.instance)
            self.used.pop(attempt.instance)
        self._offer((attempt.task,))
        if attempt.task.step.gang and not attempt.task.done:
            self._break_up(attempt)

    def apply_report(
        self,
        instance: WorkerInstance,
        report: WorkerReport,
        wall_time: int,
    ) -> ReportResult:
        """Bring the tracker in line with what a worker reports."""
        changed: dict[str, JobProgress] = {}
        for end in report.ended:
            for progress in self._take_end(
                instance,
                end,
                report.clock,
                wall_time,
            ):
                changed[progress.job.job_id] = progress
        orphans = tuple(
            status.run
            for status in report.running
            if not self._take_status(instance, status, report.clock)
        )
        if report.complete:
            self._drop_missing(instance, report)
        return ReportResult(tuple(changed.values()), orphans)

    def mark_unresponsive(self, instance: WorkerInstance) -> None:
        """Note that a worker does not answer."""
        for attempt in self.attempts_at(instance):
            attempt.in_touch = False

    def remove_all_at(self, instance: WorkerInstance) -> list[Attempt]:
        """Note that nothing runs at *life* any more; return what did."""
        lost = list(self.attempts_by_worker.get(instance, {}).values())
        for attempt in lost:
            self.remove(attempt)
        return lost

    def cancel(self, job_id: str, wall_time: int) -> JobProgress | None:
        """Make a job cancelled; None if it is not known, or final."""
        progress = self.jobs.get(job_id)
        if progress is None or progress.state.final:
            return None
        self._settle(progress, progress.finish(JobState.cancelled, wall_time))
        return progress

    def forget(self, job_id: str) -> None:
        """Drop a job that has been final for long."""
        self.jobs.pop(job_id, None)

    def mark_dirty(self, progress: JobProgress) -> None:
        """Note that a job has to be recorded."""
        progress.mark_dirty()
        self.dirty[progress.job.job_id] = progress

    def attempts_at(self, instance: WorkerInstance) -> list[Attempt]:
        """Return the attempts that may be at a worker."""
        return list(self.attempts_by_worker.get(instance, {}).values())

    def _offer(self, tasks: Iterable[Task]) -> None:
        for task in tasks:
            if task.waiting and not task.job.state.final:
                self.waiting[task.task_id] = task

    def _put(self, attempt: Attempt) -> None:
        instance = attempt.instance
        self.attempts_by_worker.setdefault(instance, {})[attempt.run] = attempt
        used = self.used.get(instance, NO_RESOURCES)
        self.used[instance] = used.plus(reserved_resources(attempt.task.step))

    def _break_up(self, gone: Attempt) -> None:
        """Let the other members of a gang stop, so that all start anew."""
        for sibling in gone.task.job.siblings(gone.task):
            attempt = sibling.attempts.get(gone.number)
            if attempt:
                self.to_stop[attempt.run] = attempt

    def _settle(self, progress: JobProgress, ended: RunEndEffect) -> None:
        self._offer(ended.opened)
        for attempt in ended.to_stop:
            self.to_stop[attempt.run] = attempt
        if progress.state.final:
            for task in progress.tasks():
                self.waiting.pop(task.task_id, None)
        self.mark_dirty(progress)

    def _take_end(
        self,
        instance: WorkerInstance,
        end: RunEnd,
        clock: int,
        wall_time: int,
    ) -> list[JobProgress]:
        attempt = self.attempts_by_worker.get(instance, {}).get(end.run)
        if attempt is None:
            return self._unrecorded(end)
        task = attempt.task
        task.checkpoint = checkpoint_of(end, task)
        over = task.done or task.job.state.final
        counted = end.outcome in COUNTED and not over
        if counted and end.outcome is RunOutcome.failed:
            self._settle(task.job, task.job.record_failure(attempt, wall_time))
        elif counted and not task.step.long_running:
            task.run_time = attempt.run_time(clock)
            self._settle(task.job, task.job.complete_task(task, wall_time))
        self.remove(attempt)
        return [task.job] if counted else []

    def _unrecorded(self, end: RunEnd) -> list[JobProgress]:
        """Return the job of an end taken before, while that is not recorded."""
        progress = self.jobs.get(end.run.task.job_id)
        if progress is None or progress.recorded >= progress.generation:
            return []
        return [progress]

    def _take_status(
        self,
        instance: WorkerInstance,
        status: RunStatus,
        clock: int,
    ) -> bool:
        attempt = self.attempts_by_worker.get(instance, {}).get(status.run)
        if attempt is None:
            attempt = self._adopt(instance, status)
        if attempt is None:
            return False
        self.mark_running(attempt, clock)
        attempt.in_touch = True
        attempt.percent = status.percent
        attempt.usage = status.usage
        attempt.task.checkpoint = status.checkpoint or attempt.task.checkpoint
        return True

    def _adopt(
        self,
        instance: WorkerInstance,
        status: RunStatus,
    ) -> Attempt | None:
        task_id, number = status.run
        progress = self.jobs.get(task_id.job_id)
        task = progress.task(task_id) if progress else None
        if task is None or not task.waiting or task.job.state.final:
            return None
        attempt = Attempt(task, number, instance, 0)
        attempt.phase = Phase.running
        task.attempts[number] = attempt
        task.last_run = max(task.last_run, number)
        self.waiting.pop(task_id, None)
        self._put(attempt)
        self.mark_dirty(task.job)
        return attempt

    def _drop_missing(
        self,
        instance: WorkerInstance,
        report: WorkerReport,
    ) -> None:
        listed = {status.run for status in report.running}
        for attempt in self.attempts_at(instance):
            if attempt.run in listed:
                continue
            known_there = attempt.phase in {Phase.running, Phase.stopping}
            later = report.clock > attempt.last_seen_clock
            if attempt.phase is Phase.inherited or (known_there and later):
                self.remove(attempt)


def reserved_resources(step: Step) -> Resources:
    """Return what a task of *step* takes from its worker's room."""
    return (
        step.resources._replace(cpu=0) if step.best_effort else step.resources
    )
