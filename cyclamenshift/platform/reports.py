"""
cyclamenshift.platform.reports
==============================

Decodes the reports of workers; encodes and decodes task ids.
"""

from typing import Any, Final, NamedTuple, TypedDict

import msgspec

from ..job import RunEnd, RunId, RunOutcome, RunStatus, TaskId
from ..worker import WorkerReport
from .wire import DECODING_ERRORS, Amount, Unreadable

#: The maximum number of run ends in one report.
ENDS_LIMIT: Final = 500

#: The response to ``hold``, the platform's call that renews a lease.
ReportBody = TypedDict(
    'ReportBody',
    {
        'clockMs': Amount,
        'born': Amount,
        'running': list[list[Any]],
        'ended': list[list[Any]],
    },
)


class RunningEntry(NamedTuple):
    """An entry of ``running``; ``usage`` may be missing."""

    task: str
    run: Amount
    checkpoint: str
    percent: Amount
    usage: Amount = 0


class EndedEntry(NamedTuple):
    """An entry of ``ended``."""

    number: Amount
    task: str
    run: Amount
    outcome: RunOutcome
    checkpoint: str


def decode_report(body: ReportBody) -> WorkerReport | Unreadable:
    """Return the report; a full one may have omitted further ends."""
    try:
        return WorkerReport(
            clock=body['clockMs'],
            started_at=body['born'],
            running=tuple(map(_decode_run_status, body['running'])),
            ended=tuple(map(_decode_run_end, body['ended'])),
            complete=len(body['ended']) < ENDS_LIMIT,
        )
    except DECODING_ERRORS as error:
        return Unreadable(str(error))


def encode_task_id(task: TaskId) -> str:
    """Return the form of a task id that workers use."""
    return '.'.join(map(str, task))


def _decode_task_id(name: str) -> TaskId:
    job_id, occurrence, step, ordinal = name.split('.')
    return TaskId(job_id, int(occurrence), int(step), int(ordinal))


def _decode_run_status(entry: list[Any]) -> RunStatus:
    fields = msgspec.convert(entry, RunningEntry)
    run = RunId(_decode_task_id(fields.task), fields.run)
    return RunStatus(run, fields.checkpoint, fields.percent, fields.usage)


def _decode_run_end(entry: list[Any]) -> RunEnd:
    fields = msgspec.convert(entry, EndedEntry)
    run = RunId(_decode_task_id(fields.task), fields.run)
    return RunEnd(fields.number, run, fields.outcome, fields.checkpoint)
