"""
cyclamenshift.decisions.reports
===============================

Applies the report of a worker to the jobs of its service.
"""

from typing import Final, NamedTuple

from ..job import RunEnd, RunId, RunOutcome, RunStatus
from ..worker import WorkerReport
from .call_order import ReportTiming
from .evidence import Ended, Unlisted
from .overload.run_samples import StepSample
from .progress import (
    Attempt,
    JobProgress,
    Phase,
    Task,
    WorkerInstance,
    checkpoint_of,
)
from .tracker import JobTracker
from .verdicts import Verdict

#: The run outcomes that must be recorded before the worker's report is
#: acknowledged.
RECORDED_OUTCOMES: Final = frozenset((RunOutcome.done, RunOutcome.failed))


class EndedRun(NamedTuple):
    """
    The end of a run that had an attempt.

    ``run_time`` is by its worker's clock, ms, None if it is not known or if
    the run may have resumed from a checkpoint.
    """

    task: Task
    run: RunId
    outcome: RunOutcome
    run_time: int | None


class ReportResult(NamedTuple):
    """
    The result of applying a worker's report.

    ``jobs`` must be recorded before the ended runs are acknowledged;
    ``orphans`` are runs that the worker should not be running.  ``unlisted``
    are the attempts that were removed because the worker does not list them,
    ``adopted`` those of runs that had none, and ``untracked`` the ends of runs
    without an attempt.  ``samples`` are the finished steps whose run times
    were learned, and ``ended`` the ends of runs with an attempt.
    """

    jobs: tuple[JobProgress, ...]
    orphans: tuple[RunId, ...]
    unlisted: tuple[Attempt, ...] = ()
    adopted: tuple[Attempt, ...] = ()
    untracked: tuple[RunEnd, ...] = ()
    samples: tuple[StepSample, ...] = ()
    ended: tuple[EndedRun, ...] = ()


class ReportApplication:
    """Applies one report of a worker instance."""

    def __init__(
        self,
        tracker: JobTracker,
        instance: WorkerInstance,
        report: WorkerReport,
        timing: ReportTiming,
        wall_time: int,
    ) -> None:
        """Apply *report* to the jobs of *tracker* when ``run`` is called."""
        self.tracker = tracker
        self.instance = instance
        self.report = report
        self.timing = timing
        self.wall_time = wall_time
        self.unlisted: list[Attempt] = []
        self.adopted: list[Attempt] = []
        self.untracked: list[RunEnd] = []
        self.samples: list[StepSample] = []
        self.ended: list[EndedRun] = []

    def run(self) -> ReportResult:
        """Apply the ended and the running runs."""
        changed: dict[str, JobProgress] = {}
        for end in self.report.ended:
            for progress in self._apply_end(end):
                changed[progress.job.job_id] = progress
        orphans = tuple(
            status.run
            for status in self.report.running
            if not self._apply_status(status)
        )
        if self.report.complete:
            self._drop_missing()
        return ReportResult(
            tuple(changed.values()),
            orphans,
            tuple(self.unlisted),
            tuple(self.adopted),
            tuple(self.untracked),
            tuple(self.samples),
            tuple(self.ended),
        )

    def _find_attempt(self, run: RunId) -> Attempt | None:
        attempts = self.tracker.attempts_by_worker.get(self.instance, {})
        return attempts.get(run)

    def _apply_end(self, end: RunEnd) -> list[JobProgress]:
        attempt = self._find_attempt(end.run)
        if attempt is None:
            return self._apply_untracked_end(end)
        task = attempt.task
        task.job.started = True
        self.ended.append(self._ended_run(attempt, end))
        task.checkpoint = checkpoint_of(end, task)
        over = task.done or task.job.state.final
        counted = end.outcome in RECORDED_OUTCOMES and not over
        if counted and end.outcome is RunOutcome.failed:
            self._record_failure(task, end)
        elif counted and not task.step.long_running:
            task.run_time = attempt.run_time(self.report.clock)
            self._learn(attempt)
            self.tracker.complete(task, self.wall_time)
        self.tracker.weigh(attempt, Ended(end.outcome))
        return [task.job] if counted else []

    def _learn(self, attempt: Attempt) -> None:
        learner = self.tracker.learner
        sample = learner and learner.observe(attempt, self.report.clock)
        if sample:
            self.samples.append(sample)

    def _ended_run(self, attempt: Attempt, end: RunEnd) -> EndedRun:
        task = attempt.task
        resumed = task.step.saves_checkpoints and attempt.number > 1
        run_time = None if resumed else attempt.run_time(self.report.clock)
        return EndedRun(task, end.run, end.outcome, run_time)

    def _apply_untracked_end(self, end: RunEnd) -> list[JobProgress]:
        """
        Count the end of a run that has no attempt any more.

        Its worker was given up, or an earlier scheduler started it.  Work
        that was done is not done again.
        """
        self.untracked.append(end)
        progress = self.tracker.jobs.get(end.run.task.job_id)
        task = progress.task(end.run.task) if progress else None
        if task is not None and _counts_as_failure(end, task):
            self._record_failure(task, end)
            return [task.job]
        if task is not None and _completes(end, task):
            self.tracker.complete(task, self.wall_time)
            return [task.job]
        return self._unrecorded_jobs(end)

    def _record_failure(self, task: Task, end: RunEnd) -> None:
        effect = task.job.record_failure(
            task, end.run.number, self.instance, self.wall_time
        )
        self.tracker.apply_effect(task.job, effect)

    def _unrecorded_jobs(self, end: RunEnd) -> list[JobProgress]:
        """Return the job if an end that was applied before is unrecorded."""
        progress = self.tracker.jobs.get(end.run.task.job_id)
        if progress is None or progress.recorded >= progress.generation:
            return []
        return [progress]

    def _apply_status(self, status: RunStatus) -> bool:
        attempt = self._find_attempt(status.run)
        if attempt is None and self.timing.overtaken:
            # A later report has told of its end.
            return True
        attempt = attempt or self._adopt(status)
        if attempt is None:
            return False
        self.tracker.mark_running(attempt, self.report.clock)
        attempt.confirm(self.timing.received, reported=True)
        attempt.in_touch = True
        attempt.percent = status.percent
        attempt.usage = status.usage
        attempt.task.checkpoint = status.checkpoint or attempt.task.checkpoint
        return True

    def _adopt(self, status: RunStatus) -> Attempt | None:
        """
        Return a new attempt for a run that has none, None if nobody waits.

        Beside another attempt of its task the run is to be stopped, and the
        task does not start again before that.
        """
        task_id, number = status.run
        progress = self.tracker.jobs.get(task_id.job_id)
        task = progress.task(task_id) if progress else None
        if task is None or task.done or task.job.state.final:
            return None
        if number in task.attempts:
            return None
        attempt = Attempt(task, number, self.instance, now=None)
        attempt.phase = Phase.running
        if task.attempts:
            self.tracker.to_stop[attempt.run] = attempt
        task.attempts[number] = attempt
        task.last_run = max(task.last_run, number)
        self.tracker.waiting.pop(task_id, None)
        self.tracker.track(attempt)
        self.tracker.mark_dirty(task.job)
        self.adopted.append(attempt)
        return attempt

    def _drop_missing(self) -> None:
        listed = {status.run for status in self.report.running}
        unlisted = Unlisted(self.timing)
        for attempt in self.tracker.attempts_at(self.instance):
            if attempt.run in listed:
                continue
            if self.tracker.weigh(attempt, unlisted) is Verdict.over:
                self.unlisted.append(attempt)


def _counts_as_failure(end: RunEnd, task: Task) -> bool:
    """Return whether the end of an untracked run was not counted before."""
    counted = task.job.counting_task(task).failed_runs
    is_new = end.run.number not in counted
    return end.outcome is RunOutcome.failed and is_new and _is_open(task)


def _completes(end: RunEnd, task: Task) -> bool:
    """Return whether the end of an untracked run completes its task."""
    return end.outcome is RunOutcome.done and _is_open(task)


def _is_open(task: Task) -> bool:
    """Return whether the end of a run can decide the state of its task."""
    is_over = task.done or task.job.state.final
    return not is_over and not task.step.long_running
