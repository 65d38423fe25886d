"""
cyclamenshift.scheduling.details
================================

What operators are told of one job.
"""

from typing import TypedDict

from ..decisions.progress import Attempt, JobProgress, Task
from .state import ServiceState


class RunDetail(TypedDict):
    """A run that is not over; ``age`` is the time since its choice, ms."""

    number: int
    worker: str
    phase: str
    in_touch: bool
    percent: int
    age: int


class TaskDetail(TypedDict):
    """A task; occurrence, step and ordinal count from 0."""

    occurrence: int
    step: int
    ordinal: int
    state: str
    last_run: int
    failures: int
    runs: list[RunDetail]


class JobDetail(TypedDict):
    """
    A job and the tasks of its open steps.

    ``recorded`` tells whether the store has all of this; ``accepted`` and
    ``ended`` are ms since the epoch, ``ended`` 0 while the job is not final.
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
    """Return what the scheduler of a service knows of a job."""
    now = state.clock.now()
    return JobDetail(
        job=progress.job.job_id,
        service=state.service,
        queue=progress.job.queue,
        epoch=state.tenure.epoch,
        state=str(progress.state),
        recorded=progress.recorded >= progress.generation,
        accepted=progress.job.accepted,
        ended=progress.ended,
        tasks=[_task_detail(task, now) for task in progress.tasks()],
    )


def _task_detail(task: Task, now: int) -> TaskDetail:
    occurrence, step, ordinal = task.place()
    return TaskDetail(
        occurrence=occurrence,
        step=step,
        ordinal=ordinal,
        state=_task_state(task),
        last_run=task.last_run,
        failures=task.failures,
        runs=[_run_detail(each, now) for each in task.attempts.values()],
    )


def _run_detail(attempt: Attempt, now: int) -> RunDetail:
    return RunDetail(
        number=attempt.number,
        worker=attempt.life[0],
        phase=str(attempt.phase),
        in_touch=attempt.in_touch,
        percent=attempt.percent,
        age=now - attempt.since,
    )


def _task_state(task: Task) -> str:
    if task.done:
        return 'done'
    return 'started' if task.attempts else 'waiting'
