"""
cyclamenshift.scheduling.details
================================

The details of one job, as shown to operators.
"""

from typing import TypedDict

from ..decisions.progress import Attempt, JobProgress, Task
from .state import ServiceState


class RunDetail(TypedDict):
    """An active run; ``age`` is for how long it is known here, ms."""

    number: int
    worker: str
    phase: str
    in_touch: bool
    percent: int
    age: int


class TaskDetail(TypedDict):
    """A task; ``occurrence``, ``step`` and ``ordinal`` are zero-based."""

    occurrence: int
    step: int
    ordinal: int
    state: str
    last_run: int
    failures: int
    crashes: int
    runs: list[RunDetail]


class JobDetail(TypedDict):
    """
    A job and the tasks of its open steps.

    ``recorded`` tells whether the store holds the latest progress.
    ``accepted`` and ``ended`` are timestamps in ms since the epoch; ``ended``
    is 0 until the job is final.
    """

    job: str
    service: str
    queue: str
    epoch: int
    state: str
    recorded: bool
    accepted: int
    ended: int
    tasks: list[TaskDetail]


def detail_of(state: ServiceState, progress: JobProgress) -> JobDetail:
    """Build the details of a job from its scheduler's state."""
    now = state.clock.now()
    return JobDetail(
        job=progress.job.job_id,
        service=state.service,
        queue=progress.job.queue,
        epoch=state.term.epoch,
        state=str(progress.state),
        recorded=progress.recorded >= progress.generation,
        accepted=progress.job.accepted,
        ended=progress.ended,
        tasks=[_task_detail(task, now) for task in progress.tasks()],
    )


def _task_detail(task: Task, now: int) -> TaskDetail:
    occurrence, step, ordinal = task.position()
    return TaskDetail(
        occurrence=occurrence,
        step=step,
        ordinal=ordinal,
        state=_task_state(task),
        last_run=task.last_run,
        failures=task.failures,
        crashes=task.crashes.in_a_row,
        runs=[_run_detail(each, now) for each in task.attempts.values()],
    )


def _run_detail(attempt: Attempt, now: int) -> RunDetail:
    return RunDetail(
        number=attempt.number,
        worker=attempt.instance[0],
        phase=str(attempt.phase),
        in_touch=attempt.in_touch,
        percent=attempt.percent,
        age=attempt.elapsed(now),
    )


def _task_state(task: Task) -> str:
    if task.done:
        return 'done'
    return 'started' if task.attempts else 'waiting'
