"""
cyclamenshift.decisions.progress
================================

How far one job is: its steps, their tasks and the runs of these.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

from ..directory import Queue
from ..job import Job, JobState, RunEnd, RunId, RunOutcome, Step, TaskId
from .schedules import schedule_of

#: The id of a worker and the start of its life.
WorkerInstance: TypeAlias = tuple[str, int]


class Phase(enum.StrEnum):
    """Where an attempt stands."""

    #: Chosen, not recorded or not ordered yet.
    planned = 'planned'
    #: Ordered, and not answered yet.
    ordered = 'ordered'
    #: Recorded by an earlier scheduler; its worker has not been asked yet.
    inherited = 'inherited'
    #: The order got no answer; it may run, or may still be carried out.
    unsettled = 'unsettled'
    running = 'running'
    #: It was told to stop and has not ended yet.
    stopping = 'stopping'


class Attempt:
    """One run of a task at a worker, from the choice to the end."""

    def __init__(
        self,
        task: 'Task',
        number: int,
        instance: WorkerInstance,
        now: int,
    ) -> None:
        """
        Start planned at *now*, monotonic ms.

        ``last_seen_clock`` is the worker's time when it was last known there,
        ``start_clock`` when it was told to start, 0 if that is not known;
        ``evicted`` tells whether it is being stopped to start elsewhere,
        ``in_touch`` whether its worker answers.
        """
        self.task = task
        self.number = number
        self.instance = instance
        self.phase = Phase.planned
        self.planned_at = now
        self.last_seen_clock = 0
        self.start_clock = 0
        self.evicted = False
        self.in_touch = False
        self.percent = 0
        self.usage = 0

    @property
    def run(self) -> RunId:
        """The run that this is."""
        return RunId(self.task.task_id, self.number)

    def run_time(self, clock: int) -> int:
        """Return how long it ran by the worker's *clock*, 0 if not known."""
        return clock - self.start_clock if self.start_clock else 0


class Task:
    """
    One task of a step, with its attempts that are not over.

    ``run_time`` is how long the run took that has done it, ms, 0 if that is
    not known.
    """

    def __init__(self, job: 'JobProgress', task_id: TaskId, step: Step) -> None:
        """Start without an attempt."""
        self.job = job
        self.task_id = task_id
        self.step = step
        self.last_run = 0
        self.failures = 0
        self.failed_run = 0
        self.checkpoint = ''
        self.done = False
        self.run_time = 0
        self.attempts: dict[int, Attempt] = {}
        self.failed_at: set[WorkerInstance] = set()

    @property
    def waiting(self) -> bool:
        """Whether the task wants to be started."""
        return not self.done and not self.attempts

    def position(self) -> tuple[int, int, int]:
        """Return occurrence, step and ordinal."""
        return (
            self.task_id.occurrence,
            self.task_id.step,
            self.task_id.ordinal,
        )


class RunEndEffect(NamedTuple):
    """What an end of a run brings about."""

    opened: tuple[Task, ...] = ()
    to_stop: tuple[Attempt, ...] = ()


class JobProgress:
    """
    One job, as its scheduler knows it.

    Tasks exist from when their step may begin.  ``generation`` grows with
    each change that has to be recorded; ``recorded`` is the one last
    written, under ``version``.  ``end_logged`` tells whether the end was
    logged.
    """

    def __init__(self, job: Job, queue: Queue, version: int) -> None:
        """Start with no task; ``open_due`` opens the first steps."""
        self.job = job
        self.queue = queue
        self.state = JobState.queued
        self.begun = False
        self.schedule = schedule_of(job, queue)
        self.steps: dict[tuple[int, int], list[Task]] = {}
        self.finished: set[int] = set()
        self.next_occurrence = 0
        self.ended = 0
        self.version = version
        self.generation = 0
        self.recorded = 0
        self.final_generation = 0
        self.end_logged = False

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.job.occurrences)

    def due(self, occurrence: int) -> int:
        """Return when an occurrence may begin, ms since the epoch."""
        if not self.job.occurrences:
            return 0
        return self.job.first_due + occurrence * self.job.interval

    def next_due(self) -> int | None:
        """Return when the next occurrence may begin, None for none."""
        if self.state.final or self.next_occurrence >= self.occurrences:
            return None
        return self.due(self.next_occurrence)

    def open_due(self, wall_time: int) -> list[Task]:
        """Open the occurrences that are due; return their first tasks."""
        opened: list[Task] = []
        while True:
            due = self.next_due()
            if due is None or due > wall_time:
                return opened
            if self.next_occurrence not in self.finished:
                opened.extend(self.open_ready_steps(self.next_occurrence))
            self.next_occurrence += 1

    def open_ready_steps(self, occurrence: int) -> list[Task]:
        """Open the steps whose earlier ones are done; return their tasks."""
        opened = []
        for number, step in enumerate(self.job.steps):
            if (occurrence, number) in self.steps:
                continue
            if all(
                self.step_done(occurrence, before)
                for before in step.dependencies
            ):
                opened.extend(self.open_step(occurrence, number))
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
        """Return a task whose step is open, None otherwise."""
        tasks = self.steps.get((task_id.occurrence, task_id.step), ())
        return tasks[task_id.ordinal] if task_id.ordinal < len(tasks) else None

    def siblings(self, task: Task) -> list[Task]:
        """Return the tasks of the same step and occurrence, *task* too."""
        step_key = (task.task_id.occurrence, task.task_id.step)
        return self.steps.get(step_key, [task])

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of the open steps."""
        for tasks in self.steps.values():
            yield from tasks

    def attempts(self) -> list[Attempt]:
        """Return the attempts that are not over."""
        return [
            attempt
            for task in self.tasks()
            for attempt in task.attempts.values()
        ]

    @property
    def reported_state(self) -> JobState:
        """The state that callers may be told: a final one once recorded."""
        if not self.state.final:
            return JobState.running if self.begun else JobState.queued
        told = self.recorded >= self.final_generation
        return self.state if told else JobState.running

    def mark_dirty(self) -> None:
        """Note that the row has to be written again."""
        self.generation += 1

    def complete_task(self, task: Task, wall_time: int) -> RunEndEffect:
        """Mark *task* as done; of a gang, one end stands for all."""
        step_number = task.task_id.step
        occurrence = task.task_id.occurrence
        for member in self.siblings(task) if task.step.gang else (task,):
            member.done = True
        to_stop = tuple(task.attempts.values()) if task.step.speculative else ()
        if not self.step_done(occurrence, step_number):
            return RunEndEffect(to_stop=to_stop)
        opened = tuple(self.open_ready_steps(occurrence))
        self._finish_occurrence(occurrence, wall_time)
        return RunEndEffect(opened, to_stop)

    def record_failure(self, attempt: Attempt, wall_time: int) -> RunEndEffect:
        """
        Count a failure; a task that used up its attempts fails the job.

        The members of a gang have their attempts in common.
        """
        task, number, instance = attempt.task, attempt.number, attempt.instance
        task.failed_at.add(instance)
        counted = self.siblings(task)[0] if task.step.gang else task
        if counted.failed_run < number:
            counted.failed_run = number
            counted.failures += 1
        spent = counted.failures >= self.queue.attempts
        if spent and not task.step.long_running:
            return self.finish(JobState.failed, wall_time)
        return RunEndEffect()

    def finish(self, state: JobState, wall_time: int) -> RunEndEffect:
        """Make the job final; return the attempts to stop."""
        self.state = state
        self.ended = wall_time
        self.final_generation = self.generation + 1
        return RunEndEffect(to_stop=tuple(self.attempts()))

    def ensure_open(self, occurrence: int, number: int) -> list[Task]:
        """Return the tasks of a step, which is opened if it was not."""
        tasks = self.steps.get((occurrence, number))
        return tasks or self.open_step(occurrence, number)

    def _finish_occurrence(self, occurrence: int, wall_time: int) -> None:
        steps = range(len(self.job.steps))
        if not all(self.step_done(occurrence, number) for number in steps):
            return
        self.finished.add(occurrence)
        for number in steps:
            self.steps.pop((occurrence, number))
        if len(self.finished) == self.occurrences:
            self.finish(JobState.completed, wall_time)


def checkpoint_of(end: RunEnd, task: Task) -> str:
    """Return where *task* may go on after *end*."""
    if end.outcome is RunOutcome.done:
        return ''
    return end.checkpoint or task.checkpoint
