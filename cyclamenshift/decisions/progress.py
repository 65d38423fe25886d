"""
cyclamenshift.decisions.progress
================================

The state of one job: its open steps, their tasks and their attempts.
"""

import enum
import sys
from collections.abc import Iterator
from functools import cached_property
from typing import Final, NamedTuple, TypeAlias

from ..directory import Queue
from ..job import Job, JobState, RunEnd, RunId, RunOutcome, Step, TaskId
from .crashes import Crashes, KnownAge, MinimumAge, RunAge, count_crash
from .overload.run_times import RunTimeModel
from .schedules import schedule_of
from .start_orders import StartOrders
from .suspected_crashes import SuspectedCrash, assume

#: The id and the start time of a worker process.
WorkerInstance: TypeAlias = tuple[str, int]

#: Stands for a queue that is not configured.
UNKNOWN_QUEUE: Final = Queue(
    name='',
    host='',
    prefix='',
    service='',
    priority=0,
    attempts=sys.maxsize,
    stretch=0,
    allowance=0,
)


class Phase(enum.StrEnum):
    """The phase of an attempt."""

    #: A worker is chosen; the attempt is not recorded or not ordered yet.
    planned = 'planned'
    #: The worker was ordered to start it and has not answered yet.
    ordered = 'ordered'
    #: Recorded by an earlier scheduler; the worker has not reported yet.
    inherited = 'inherited'
    #: The order got no answer; it may be running, or may still start.
    unsettled = 'unsettled'
    running = 'running'
    #: The worker was ordered to stop it and it has not ended yet.
    stopping = 'stopping'


class ClockSpan(NamedTuple):
    """The worker's clock at the first and the last moment of a time, ms."""

    first: int
    last: int


class Confirmation(NamedTuple):
    """
    The answers of a worker instance that told of a run.

    The last one came at ``position``, as the ``CallOrder`` of the session with
    that instance counts.  ``reported`` tells whether a report of the instance
    has listed the run.
    """

    position: int
    reported: bool


UNCONFIRMED: Final = Confirmation(0, reported=False)


class Attempt:
    """One run of a task at a worker, from placement until it ends."""

    def __init__(
        self,
        task: 'Task',
        number: int,
        instance: WorkerInstance,
        now: int | None,
    ) -> None:
        """
        Create an attempt that is planned or restored at *now*, monotonic ms.

        None stands for a run that was first known by a report.
        ``ordered_at`` is when its start was ordered, None if this scheduler
        has not ordered it, and ``orders`` are its start orders.
        ``confirmation`` describes the answers that told of the run.
        ``seen`` spans the worker's clock while the run was known to be there,
        None if it never was; ``start_clock`` is its clock when the order to
        start was accepted, None if unknown.  ``evicted`` is set once the run
        is to be stopped and restarted elsewhere, ``in_touch`` while its
        worker reports it.
        """
        self.task = task
        self.number = number
        self.instance = instance
        self.phase = Phase.planned
        self.planned_at = now
        self.ordered_at: int | None = None
        self.orders = StartOrders()
        self.confirmation = UNCONFIRMED
        self.seen: ClockSpan | None = None
        self.start_clock: int | None = None
        self.evicted = False
        self.in_touch = False
        self.percent = 0
        self.usage = 0

    @cached_property
    def run(self) -> RunId:
        """The id of this run."""
        return RunId(self.task.task_id, self.number)

    @property
    def current(self) -> bool:
        """
        Whether its task has this attempt.

        The same run may have another attempt, adopted after this one's loss.
        """
        return self.task.attempts.get(self.number) is self

    @property
    def is_located(self) -> bool:
        """Whether it is confined, and every order for it has an answer."""
        return self.is_confined and not self.orders.unanswered

    @property
    def is_confined(self) -> bool:
        """Whether no process but that of its instance can have the run."""
        orders = self.orders
        listed = self.confirmation.reported and not orders.unanswered
        return listed or (orders.located and not orders.unlocated)

    @property
    def may_be_elsewhere(self) -> bool:
        """
        Whether another process than its instance's may have started it.

        Its order may be under way, or not settled.
        """
        if self.confirmation.reported or self.phase is Phase.stopping:
            return False
        is_lost = self.phase is Phase.unsettled and not self.is_confined
        return self.orders.unlocated > 0 or is_lost

    @property
    def seen_for(self) -> int:
        """For how long the run was seen at work, by the worker's clock, ms."""
        return self.seen.last - self.seen.first if self.seen else 0

    def see(self, clock: int) -> None:
        """Record that the run was there at *clock* of its worker."""
        seen = self.seen
        if seen is None:
            self.seen = ClockSpan(clock, clock)
        elif clock > seen.last:
            self.seen = ClockSpan(seen.first, clock)

    def confirm(self, position: int, *, reported: bool) -> None:
        """Record an answer that told of the run, a report if *reported*."""
        if reported:
            self.orders.record_listed()
        self.confirmation = Confirmation(
            position, reported or self.confirmation.reported
        )

    def elapsed(self, now: int) -> int:
        """
        Return the time since the run was planned or restored, ms.

        For a run that was first known by a report it is a lower bound: the
        time for which the run was seen at work.
        """
        if self.planned_at is None:
            return self.seen_for
        return now - self.planned_at

    def age(self, alive_at: int | None) -> RunAge:
        """
        Return how old the run was at *alive_at*, monotonic ms.

        None stands for a time that is not known.  The age is not known
        either where the worker was last alive before the order, and the run
        was not seen at work: the worker may have ended before it came.
        """
        if self.ordered_at is None or alive_at is None:
            return MinimumAge(self.seen_for)
        if self.seen is None and alive_at < self.ordered_at:
            return MinimumAge(0)
        return KnownAge(max(0, alive_at - self.ordered_at))

    def run_time(self, clock: int) -> int | None:
        """Return the run time by the worker's *clock*, ms, None if unknown."""
        return None if self.start_clock is None else clock - self.start_clock


class Task:
    """
    One task of a step, with its current attempts.

    ``run_time`` is the duration of the run that completed it, ms, None if
    unknown; ``learned_run_time`` is the same if the run was a usual one.
    ``failed_at`` are the workers where a run of it failed;
    ``failed_runs`` has the numbers of the runs counted in ``failures``, unless
    the task is long-running, and ``crashes`` tells of workers that crashed
    while it ran there.  ``suspected_crashes`` has those that are not proved.
    """

    def __init__(self, job: 'JobProgress', task_id: TaskId, step: Step) -> None:
        """Create a task without attempts."""
        self.job = job
        self.task_id = task_id
        self.step = step
        self.last_run = 0
        self.failures = 0
        self.failed_runs: set[int] = set()
        self.crashes = Crashes()
        self.suspected_crashes: dict[WorkerInstance, SuspectedCrash] = {}
        self.checkpoint = ''
        self.done = False
        self.run_time: int | None = None
        self.learned_run_time: int | None = None
        self.attempts: dict[int, Attempt] = {}
        self.failed_at: set[WorkerInstance] = set()

    @property
    def waiting(self) -> bool:
        """Whether the task is ready to be started."""
        return not self.done and not self.attempts

    @property
    def possible_crashes(self) -> Crashes:
        """The crashes with those that are only suspected."""
        if not self.suspected_crashes:
            return self.crashes
        return assume(self.crashes, self.suspected_crashes.values())

    @property
    def on_hold(self) -> bool:
        """
        Whether it waits until suspected crashes are proved or disproved.

        They would prove that it crashes its workers.  The members of a gang
        share a count.
        """
        counting = self.job.counting_task(self) if self.step.gang else self
        return (
            bool(counting.suspected_crashes)
            and counting.possible_crashes.proved
        )

    def position(self) -> tuple[int, int, int]:
        """Return the occurrence, step and ordinal of the task."""
        return (
            self.task_id.occurrence,
            self.task_id.step,
            self.task_id.ordinal,
        )


class RunEndEffect(NamedTuple):
    """
    The effect of the end of a run, or of its job.

    ``opened`` are tasks that may start now; ``to_stop`` are attempts that
    must be stopped.
    """

    opened: tuple[Task, ...] = ()
    to_stop: tuple[Attempt, ...] = ()


class JobProgress:
    """
    The state of one job at its scheduler.

    The tasks of a step are created when the step may begin.  While the queue
    is ``UNKNOWN_QUEUE`` the job is suspended: its runs go on and their ends
    count, but no task starts, and no failure is the last one.
    ``generation`` grows with each change that must be recorded; ``recorded``
    is the last generation that was recorded.
    ``end_logged`` is set once the job's final state was logged.
    ``run_times`` predicts run times, None if the estimates are taken for them.
    """

    def __init__(
        self,
        job: Job,
        queue: Queue,
        run_times: RunTimeModel | None = None,
    ) -> None:
        """Create a job without tasks; ``open_due`` opens the first steps."""
        self.job = job
        self.queue = queue
        self.state = JobState.queued
        self.started = False
        self.run_times = run_times
        self.schedule = schedule_of(job, queue, run_times)
        self.steps: dict[tuple[int, int], list[Task]] = {}
        self.finished: set[int] = set()
        self.next_occurrence = 0
        self.ended = 0
        self.generation = 0
        self.recorded = 0
        self.final_generation = 0
        self.end_logged = False

    @property
    def suspended(self) -> bool:
        """Whether no task may start because the queue is not known."""
        return self.queue is UNKNOWN_QUEUE

    def resume(self, queue: Queue, wall_time: int) -> RunEndEffect:
        """
        Set the queue of a suspended job.

        The job fails if a task has no attempts left under the queue.
        """
        self.queue = queue
        refresh_schedule(self)
        if self.state.final or not any(map(self._exhausted, self.tasks())):
            return RunEndEffect()
        return self.finish(JobState.failed, wall_time)

    @property
    def occurrences(self) -> int:
        """The number of times that the steps run."""
        return max(1, self.job.occurrences)

    def due(self, occurrence: int) -> int:
        """Return when an occurrence is due, ms since the epoch."""
        if not self.job.occurrences:
            return 0
        return self.job.first_due + occurrence * self.job.interval

    def next_due(self) -> int | None:
        """Return when the next occurrence is due, None if there is none."""
        if self.state.final or self.next_occurrence >= self.occurrences:
            return None
        return self.due(self.next_occurrence)

    def open_due(self, wall_time: int) -> list[Task]:
        """Open the occurrences that are due and return their first tasks."""
        opened: list[Task] = []
        while True:
            due = self.next_due()
            if due is None or due > wall_time:
                return opened
            if self.next_occurrence not in self.finished:
                opened.extend(self.open_ready_steps(self.next_occurrence))
            self.next_occurrence += 1

    def open_ready_steps(self, occurrence: int) -> list[Task]:
        """Open the steps whose dependencies are done; return their tasks."""
        opened = []
        for number, step in enumerate(self.job.steps):
            if (occurrence, number) in self.steps:
                continue
            if all(
                self.step_done(occurrence, earlier)
                for earlier in step.dependencies
            ):
                opened.extend(self.open_step(occurrence, number))
        if opened and self.run_times:
            refresh_schedule(self)
        return opened

    def open_step(self, occurrence: int, number: int) -> list[Task]:
        """Create and return the tasks of one step."""
        step = self.job.steps[number]
        tasks = [
            Task(
                self,
                TaskId(self.job.job_id, occurrence, number, ordinal),
                step,
            )
            for ordinal in range(step.tasks)
        ]
        self.steps[occurrence, number] = tasks
        return tasks

    def step_done(self, occurrence: int, number: int) -> bool:
        """Return whether every task of a step is done."""
        tasks = self.steps.get((occurrence, number))
        return tasks is not None and all(task.done for task in tasks)

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task by id, None if its step is not open."""
        tasks = self.steps.get((task_id.occurrence, task_id.step), ())
        return tasks[task_id.ordinal] if task_id.ordinal < len(tasks) else None

    def siblings(self, task: Task) -> list[Task]:
        """Return the tasks of the step of *task*, including *task*."""
        step_key = (task.task_id.occurrence, task.task_id.step)
        return self.steps.get(step_key, [task])

    def record_crash(
        self, task: Task, age: RunAge, wall_time: int, *, alone: bool
    ) -> RunEndEffect:
        """
        Count the crash of a worker where a run of *task* got to *age*.

        *alone* tells whether no other cause is likely.  The job fails
        once the task is proved to crash its workers, also if the task is
        long-running.
        """
        task.crashes = count_crash(age, task.crashes, alone=alone)
        if task.crashes.proved:
            return self.finish(JobState.failed, wall_time)
        return RunEndEffect()

    def counting_task(self, task: Task) -> Task:
        """Return the task that counts the failed runs of *task*."""
        return self.siblings(task)[0] if task.step.gang else task

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of the open steps."""
        for tasks in self.steps.values():
            yield from tasks

    def attempts(self) -> list[Attempt]:
        """Return the current attempts of all tasks."""
        return [
            attempt
            for task in self.tasks()
            for attempt in task.attempts.values()
        ]

    @property
    def reported_state(self) -> JobState:
        """The state shown to callers, final only once it is recorded."""
        if not self.state.final:
            return JobState.running if self.started else JobState.queued
        is_recorded = self.recorded >= self.final_generation
        return self.state if is_recorded else JobState.running

    def mark_dirty(self) -> None:
        """Count a change that must be recorded."""
        self.generation += 1

    def complete_task(self, task: Task, wall_time: int) -> RunEndEffect:
        """
        Mark *task* as done, and with it every member of its gang.

        All its attempts are to be stopped, also those of copies and those that
        followed a run that was given up and was done all the same.
        """
        step_number = task.task_id.step
        occurrence = task.task_id.occurrence
        for member in self.siblings(task) if task.step.gang else (task,):
            member.done = True
        to_stop = tuple(task.attempts.values())
        if not self.step_done(occurrence, step_number):
            return RunEndEffect(to_stop=to_stop)
        opened = tuple(self.open_ready_steps(occurrence))
        self._finish_occurrence(occurrence, wall_time)
        return RunEndEffect(opened, to_stop)

    def record_failure(
        self,
        task: Task,
        number: int,
        instance: WorkerInstance,
        wall_time: int,
    ) -> RunEndEffect:
        """
        Count a failed run; the job fails when its task has no attempts left.

        Each run counts once, in whatever order the runs end.  The members of
        a gang share one count.  A long-running task never fails its job, and
        may fail any number of times, so its runs are not remembered.
        """
        task.failed_at.add(instance)
        counted = self.counting_task(task)
        if task.step.long_running:
            counted.failures += 1
        elif number not in counted.failed_runs:
            counted.failed_runs.add(number)
            counted.failures += 1
        if self._exhausted(counted):
            return self.finish(JobState.failed, wall_time)
        return RunEndEffect()

    def finish(self, state: JobState, wall_time: int) -> RunEndEffect:
        """Set the final state of the job; return the attempts to stop."""
        self.state = state
        self.ended = wall_time
        self.final_generation = self.generation + 1
        return RunEndEffect(to_stop=tuple(self.attempts()))

    def ensure_open(self, occurrence: int, number: int) -> list[Task]:
        """Return the tasks of a step, opening it if necessary."""
        tasks = self.steps.get((occurrence, number))
        return tasks or self.open_step(occurrence, number)

    def _exhausted(self, task: Task) -> bool:
        """Return whether *task* has failed as often as its queue allows."""
        return (
            task.failures >= self.queue.attempts and not task.step.long_running
        )

    def _finish_occurrence(self, occurrence: int, wall_time: int) -> None:
        steps = range(len(self.job.steps))
        if not all(self.step_done(occurrence, number) for number in steps):
            return
        self.finished.add(occurrence)
        for number in steps:
            self.steps.pop((occurrence, number))
        if len(self.finished) == self.occurrences:
            self.finish(JobState.completed, wall_time)


def refresh_schedule(progress: JobProgress) -> None:
    """Compute the schedule of a job by what is known of run times now."""
    progress.schedule = schedule_of(
        progress.job, progress.queue, progress.run_times
    )


def checkpoint_of(end: RunEnd, task: Task) -> str:
    """Return the checkpoint from which the next run of *task* resumes."""
    if end.outcome is RunOutcome.done:
        return ''
    return end.checkpoint or task.checkpoint
