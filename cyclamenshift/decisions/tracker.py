"""
cyclamenshift.decisions.tracker
===============================

Tracks the jobs of one service: waiting tasks and the attempts per worker.
"""

from collections.abc import Iterable
from typing import Any, Final

from ..directory import Queue
from ..job import (
    NO_RESOURCES,
    Job,
    JobState,
    Resources,
    RunId,
    Step,
    TaskId,
)
from ..jobrows import ProgressRow
from .accounts.usage import AccountUsages
from .crashes import MAX_CAUSE_AGE_MS, Crashes
from .open_orders import OpenOrders
from .overload.run_samples import RunTimeLearner
from .progress import (
    UNCONFIRMED,
    Attempt,
    JobProgress,
    Phase,
    RunEndEffect,
    Task,
    WorkerInstance,
)
from .records import restore
from .verdicts import Verdict, judge

#: The phases before the answer to a start.  The answer tells whether the run
#: was there: a start sent after a crash is refused by the replacement.
UNANSWERED_PHASES: Final = frozenset((Phase.planned, Phase.ordered))
#: The phases that end once the worker is known to run the attempt.
STARTING_PHASES: Final = frozenset(
    (Phase.ordered, Phase.unsettled, Phase.inherited)
)


class JobTracker:
    """
    The jobs of one service and the resources that their attempts use.

    ``waiting`` holds the tasks to start, oldest first; ``scheduled`` the
    jobs with occurrences that are not due yet; ``dirty`` the jobs with
    unrecorded changes; ``to_stop`` the attempts to stop; ``to_settle`` those
    that may be at another instance of their worker.  ``used`` is the sum
    of the resources reserved at each worker, ``account_usages`` that of each
    account.  ``open_orders`` are the start orders without an answer.
    ``learner`` learns the run times, and ``run_times`` predicts
    them, both None if they are not learned.
    """

    def __init__(self, learner: RunTimeLearner | None = None) -> None:
        """Create a tracker without jobs."""
        self.learner = learner
        self.run_times = learner.model if learner else None
        self.jobs: dict[str, JobProgress] = {}
        self.waiting: dict[TaskId, Task] = {}
        self.scheduled: dict[str, JobProgress] = {}
        self.dirty: dict[str, JobProgress] = {}
        self.to_stop: dict[RunId, Attempt] = {}
        self.to_settle: dict[RunId, Attempt] = {}
        self.attempts_by_worker: dict[WorkerInstance, dict[RunId, Attempt]] = {}
        self.used: dict[WorkerInstance, Resources] = {}
        self.account_usages = AccountUsages()
        self.open_orders = OpenOrders()

    def add(self, job: Job, queue: Queue, wall_time: int) -> JobProgress | None:
        """Add a new job; return None if it is already tracked."""
        if job.job_id in self.jobs:
            return None
        progress = JobProgress(job, queue, self.run_times)
        self.jobs[job.job_id] = progress
        self.scheduled[job.job_id] = progress
        self.open_due(wall_time)
        return progress

    def restore(
        self,
        progress: JobProgress,
        row: ProgressRow,
        wall_time: int,
        now: int,
    ) -> None:
        """Add a job from the row that an earlier scheduler recorded."""
        restore(progress, row, wall_time, now)
        self.jobs[progress.job.job_id] = progress
        if progress.next_due() is not None:
            self.scheduled[progress.job.job_id] = progress
        for attempt in progress.attempts():
            self.track(attempt)
            if _is_unwanted(attempt):
                self.to_stop[attempt.run] = attempt
        self._enqueue(progress.tasks())

    def resume(
        self, progress: JobProgress, queue: Queue, wall_time: int
    ) -> None:
        """Let the tasks of a suspended job start under the rules of *queue*."""
        effect = progress.resume(queue, wall_time)
        if progress.state.final:
            self.apply_effect(progress, effect)
        else:
            self._enqueue(progress.tasks())

    def open_due(self, wall_time: int) -> None:
        """Queue the first tasks of every occurrence that is due."""
        for job_id, progress in tuple(self.scheduled.items()):
            self._enqueue(progress.open_due(wall_time))
            if progress.next_due() is None:
                self.scheduled.pop(job_id)

    def next_due(self) -> int | None:
        """Return the earliest due time of an occurrence, ms since the epoch."""
        dues = (progress.next_due() for progress in self.scheduled.values())
        return min((due for due in dues if due is not None), default=None)

    def plan(
        self,
        task: Task,
        instance: WorkerInstance,
        number: int,
        now: int,
    ) -> Attempt:
        """
        Create an attempt of *task* at a worker.

        The attempt must be recorded before the worker is ordered to start it.
        """
        attempt = Attempt(task, number, instance, now)
        task.last_run = number
        task.attempts[number] = attempt
        self.waiting.pop(task.task_id, None)
        if task.job.state is JobState.queued:
            task.job.state = JobState.running
        self.track(attempt)
        self.mark_dirty(task.job)
        return attempt

    def mark_running(self, attempt: Attempt, clock: int) -> None:
        """Record that the worker runs *attempt*; *clock* is the worker's."""
        attempt.see(clock)
        if _clears_crashes(attempt):
            attempt.task.crashes = Crashes()
            attempt.task.suspected_crashes.clear()
            self.mark_dirty(attempt.task.job)
        attempt.task.job.started = True
        phase = attempt.phase
        if phase is Phase.running:
            return
        if phase is Phase.ordered:
            attempt.start_clock = clock
        if phase in STARTING_PHASES:
            attempt.phase = Phase.running

    def weigh(self, attempt: Attempt, evidence: Any) -> Verdict:
        """Remove *attempt* if *evidence* proves its run over."""
        verdict = judge(evidence, attempt)
        if verdict is Verdict.over:
            self.remove(attempt)
        return verdict

    def weigh_all_at(
        self, instance: WorkerInstance, evidence: Any
    ) -> list[Attempt]:
        """Remove and return the attempts at a worker that are proved over."""
        return [
            attempt
            for attempt in self.attempts_at(instance)
            if self.weigh(attempt, evidence) is Verdict.over
        ]

    def remove(self, attempt: Attempt) -> None:
        """
        Remove an attempt that has ended or never started.

        Unless its task is done, the task is queued again, and the other
        members of its gang are stopped.
        """
        if not attempt.current:
            return
        attempt.task.attempts.pop(attempt.number)
        self.mark_dirty(attempt.task.job)
        self.to_stop.pop(attempt.run, None)
        self.to_settle.pop(attempt.run, None)
        self._untrack(attempt)
        self._enqueue((attempt.task,))
        if attempt.task.step.gang and not attempt.task.done:
            for member in _gang_of(attempt):
                self.to_stop[member.run] = member

    def move(self, attempt: Attempt, instance: WorkerInstance) -> None:
        """
        Assign an attempt to the *instance* that may have executed its order.

        One that an earlier scheduler recorded is settled by the reports of
        the instance alone, since they fence off the orders of that scheduler.
        """
        self._untrack(attempt)
        attempt.instance = instance
        attempt.orders.move()
        attempt.confirmation = UNCONFIRMED
        attempt.seen = None
        if attempt.phase is not Phase.inherited:
            unsettled = (
                self.to_stop if _is_unwanted(attempt) else self.to_settle
            )
            unsettled[attempt.run] = attempt
            attempt.phase = Phase.unsettled
        self.track(attempt)
        self.mark_dirty(attempt.task.job)

    def mark_unresponsive(self, instance: WorkerInstance) -> None:
        """Mark the attempts at a worker that does not answer."""
        for attempt in self.attempts_at(instance):
            attempt.in_touch = False

    def cancel(self, job_id: str, wall_time: int) -> JobProgress | None:
        """Cancel a job; return None if it is unknown or already final."""
        progress = self.jobs.get(job_id)
        if progress is None or progress.state.final:
            return None
        self.apply_effect(
            progress, progress.finish(JobState.cancelled, wall_time)
        )
        return progress

    def forget(self, job_id: str) -> None:
        """Remove a final job from memory."""
        self.jobs.pop(job_id, None)

    def mark_dirty(self, progress: JobProgress) -> None:
        """Mark a job as having unrecorded changes."""
        progress.mark_dirty()
        self.dirty[progress.job.job_id] = progress

    def complete(self, task: Task, wall_time: int) -> None:
        """Complete *task*, and with it the members of its gang."""
        members = task.job.siblings(task) if task.step.gang else [task]
        self.apply_effect(task.job, task.job.complete_task(task, wall_time))
        for member in members:
            self.waiting.pop(member.task_id, None)

    def apply_effect(self, progress: JobProgress, effect: RunEndEffect) -> None:
        """Apply the effect of the end of a run, or of its job."""
        self._enqueue(effect.opened)
        for attempt in effect.to_stop:
            self.to_stop[attempt.run] = attempt
        if progress.state.final:
            for task in progress.tasks():
                self.waiting.pop(task.task_id, None)
        self.mark_dirty(progress)

    def attempts_at(self, instance: WorkerInstance) -> list[Attempt]:
        """Return the attempts that may be running at a worker."""
        return list(self.attempts_by_worker.get(instance, {}).values())

    def answered_attempts_at(self, instance: WorkerInstance) -> list[Attempt]:
        """Return the attempts that a worker has probably started."""
        return [
            attempt
            for attempt in self.attempts_at(instance)
            if attempt.phase not in UNANSWERED_PHASES
        ]

    def track(self, attempt: Attempt) -> None:
        """Reserve the resources of an attempt at its worker."""
        instance = attempt.instance
        self.attempts_by_worker.setdefault(instance, {})[attempt.run] = attempt
        used = self.used.get(instance, NO_RESOURCES)
        self.used[instance] = used.plus(reserved_resources(attempt.task.step))
        self.account_usages.add(attempt.task)

    def _untrack(self, attempt: Attempt) -> None:
        """Release the resources of an attempt at its worker."""
        self.account_usages.remove(attempt.task)
        attempts = self.attempts_by_worker[attempt.instance]
        attempts.pop(attempt.run)
        self.used[attempt.instance] = self.used[attempt.instance].minus(
            reserved_resources(attempt.task.step),
        )
        if not attempts:
            self.attempts_by_worker.pop(attempt.instance)
            self.used.pop(attempt.instance)

    def _enqueue(self, tasks: Iterable[Task]) -> None:
        for task in tasks:
            may_start = not (task.job.suspended or task.job.state.final)
            if task.waiting and may_start:
                self.waiting[task.task_id] = task


def _is_unwanted(attempt: Attempt) -> bool:
    """Return whether a run is to be stopped, or is being stopped."""
    task = attempt.task
    is_over = task.done or task.job.state.final
    return is_over or attempt.evicted or attempt.phase is Phase.stopping


def _clears_crashes(attempt: Attempt) -> bool:
    """
    Return whether a run has outlived all that crashes of its task show.

    A gang shares one count, so one of its members can't clear it.
    """
    task = attempt.task
    if not task.possible_crashes.in_a_row or task.step.gang:
        return False
    return attempt.seen_for > MAX_CAUSE_AGE_MS


def _gang_of(gone: Attempt) -> list[Attempt]:
    """Return the other members of a gang, which restart together."""
    siblings = gone.task.job.siblings(gone.task)
    members = (sibling.attempts.get(gone.number) for sibling in siblings)
    return [member for member in members if member]


def reserved_resources(step: Step) -> Resources:
    """
    Return the resources that a task of *step* reserves at its worker.

    A best-effort task reserves no cpu: it runs in the processor time that
    the other tasks leave.
    """
    return (
        step.resources._replace(cpu=0) if step.best_effort else step.resources
    )
