"""
cyclamenshift.platform.reports
==============================

Workers' reports, and the names by which they know tasks.
"""

from typing import Any, Final, TypedDict

from ..job import RunEnd, RunId, RunOutcome, RunStatus, TaskId
from ..worker import WorkerReport

#: The most ends in one report.
ENDS_LIMIT: Final = 500

#: A worker's answer to a hold.
ReportBody = TypedDict(
    'ReportBody',
    {
        'clockMs': int,
        'born': int,
        # [task, run, checkpoint, percent, usage]
        'running': list[list[Any]],
        # [number, task, run, how, checkpoint]
        'ended': list[list[Any]],
    },
)


def report_of(body: ReportBody) -> WorkerReport:
    """Return a worker's report."""
    return WorkerReport(
        clock=body['clockMs'],
        started_at=body['born'],
        running=tuple(_status_of(*entry) for entry in body['running']),
        ended=tuple(_end_of(*entry) for entry in body['ended']),
        complete=len(body['ended']) < ENDS_LIMIT,
    )


def task_name(task: TaskId) -> str:
    """Return the name that workers know a task by."""
    return '.'.join(map(str, task))


def _task_of(name: str) -> TaskId:
    job_id, occurrence, step, ordinal = name.split('.')
    return TaskId(job_id, int(occurrence), int(step), int(ordinal))


def _status_of(
    name: str,
    number: int,
    checkpoint: str,
    percent: int,
    usage: int = 0,
) -> RunStatus:
    run = RunId(_task_of(name), number)
    return RunStatus(run, checkpoint, percent, usage)


def _end_of(
    number: int,
    name: str,
    run_number: int,
    how: str,
    checkpoint: str,
) -> RunEnd:
    run = RunId(_task_of(name), run_number)
    return RunEnd(number, run, RunOutcome(how), checkpoint)
