"""
cyclamenshift.platform.reports
==============================

Decodes the reports of workers; encodes and decodes task ids.
"""

from typing import Any, Final, TypedDict

from ..job import RunEnd, RunId, RunOutcome, RunStatus, TaskId
from ..worker import WorkerReport

#: The maximum number of run ends in one report.
ENDS_LIMIT: Final = 500

#: The response to ``hold``, the platform's call that renews a lease.
ReportBody = TypedDict(
    'ReportBody',
    {
        'clockMs': int,
        'born': int,
        # [task, run, checkpoint, percent, usage]
        'running': list[list[Any]],
        # [number, task, run, outcome, checkpoint]
        'ended': list[list[Any]],
    },
)


def decode_report(body: ReportBody) -> WorkerReport:
    """Return the report; a full one may have omitted further ends."""
    return WorkerReport(
        clock=body['clockMs'],
        started_at=body['born'],
        running=tuple(_decode_run_status(*entry) for entry in body['running']),
        ended=tuple(_decode_run_end(*entry) for entry in body['ended']),
        complete=len(body['ended']) < ENDS_LIMIT,
    )


def encode_task_id(task: TaskId) -> str:
    """Return the form of a task id that workers use."""
    return '.'.join(map(str, task))


def _decode_task_id(name: str) -> TaskId:
    job_id, occurrence, step, ordinal = name.split('.')
    return TaskId(job_id, int(occurrence), int(step), int(ordinal))


def _decode_run_status(
    name: str,
    number: int,
    checkpoint: str,
    percent: int,
    usage: int = 0,
) -> RunStatus:
    run = RunId(_decode_task_id(name), number)
    return RunStatus(run, checkpoint, percent, usage)


def _decode_run_end(
    number: int,
    name: str,
    run_number: int,
    outcome: str,
    checkpoint: str,
) -> RunEnd:
    run = RunId(_decode_task_id(name), run_number)
    return RunEnd(number, run, RunOutcome(outcome), checkpoint)
