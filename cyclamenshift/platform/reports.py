"""
cyclamenshift.platform.reports
==============================

Decodes the reports of workers; encodes and decodes task ids.
"""

import re
from functools import lru_cache
from typing import (
    Annotated,
    Any,
    Final,
    NamedTuple,
    TypeAlias,
    TypedDict,
    TypeVar,
)

import msgspec
from msgspec import Meta

from ..decoding import DECODING_ERRORS
from ..job import RunEnd, RunId, RunOutcome, RunStatus, TaskId
from ..worker import WorkerReport
from .wire import (
    MAX_INTEGER,
    Amount,
    Unreadable,
    convert,
    decode_json,
)

DetailType = TypeVar('DetailType')

#: The maximum number of run ends in one report.
ENDS_LIMIT: Final = 500

#: The name of a task: the job's id, the occurrence, the step and the ordinal.
#: A number has a single form, so that no two names are for one task.
TASK_NAME_PATTERN: Final = re.compile(
    r'([^.]+)\.(0|[1-9]\d{0,14})\.(0|[1-9]\d{0,14})\.(0|[1-9]\d{0,14})',
    re.ASCII,
)
#: The number of a run or of an end.
Number: TypeAlias = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
#: The longest checkpoint, characters: as many as a job's specification has.
CHECKPOINT_LIMIT: Final = 4_000
#: A checkpoint.  A longer one is left out, since the row of its task could not
#: be stored; the task resumes from an earlier one.
Checkpoint: TypeAlias = Annotated[str, Meta(max_length=CHECKPOINT_LIMIT)]

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
#: The entry of an active run and that of an end, with all of their details.
RunEntry: TypeAlias = tuple[str, Number, Checkpoint, Amount, Amount]
EndEntry: TypeAlias = tuple[Number, str, Number, RunOutcome, Checkpoint]
#: A report whose entries are all valid.  It is decoded at once, which takes a
#: fraction of the time of decoding each detail by itself.
ValidReportBody = TypedDict(
    'ValidReportBody',
    {
        'clockMs': Amount,
        'born': Amount,
        'running': list[RunEntry],
        'ended': list[EndEntry],
    },
)

#: How many names of tasks are kept.  Each report lists all runs of a worker.
KEPT_NAMES: Final = 4_096

#: Stands for the run of an end that names none.
UNNAMED_RUN: Final = RunId(TaskId('', 0, 0, 0), 0)


class RunName(NamedTuple):
    """What names a run in an entry of ``running`` or ``ended``."""

    task: str
    run: Number


def parse_report(raw: bytes) -> ReportBody | ValidReportBody | Unreadable:
    """Decode the JSON of a report, whose entries may be odd."""
    valid = decode_json(raw, ValidReportBody)
    if isinstance(valid, Unreadable):
        return decode_json(raw, ReportBody)
    return valid


def decode_report(
    body: ReportBody | ValidReportBody,
) -> WorkerReport | Unreadable:
    """
    Return the report; Unreadable if an end can't be acknowledged.

    It is incomplete if further ends may have been omitted, and if an entry
    names no run that is there: no run is missing then, since the entry may be
    that of any.
    """
    running = tuple(map(_decode_run_status, body['running']))
    try:
        ended = tuple(map(_decode_run_end, body['ended']))
    except DECODING_ERRORS as error:
        return Unreadable(str(error))
    return WorkerReport(
        clock=body['clockMs'],
        started_at=body['born'],
        running=tuple(status for status in running if status is not None),
        ended=ended,
        complete=None not in running and len(ended) < ENDS_LIMIT,
    )


def count_unnamed(
    body: ReportBody | ValidReportBody, report: WorkerReport
) -> int:
    """Return how many entries of *body* name no run."""
    left_out = len(body['running']) - len(report.running)
    return left_out + sum(end.run == UNNAMED_RUN for end in report.ended)


def encode_task_id(task: TaskId) -> str:
    """Return the form of a task id that workers use."""
    return '.'.join(map(str, task))


@lru_cache(KEPT_NAMES)
def _decode_task_id(name: str) -> TaskId:
    matched = TASK_NAME_PATTERN.fullmatch(name)
    if matched is None:
        raise ValueError(f'no name of a task: {name}')
    job_id, occurrence, step, ordinal = matched.groups()
    return TaskId(job_id, int(occurrence), int(step), int(ordinal))


def _decode_run_status(entry: list[Any] | RunEntry) -> RunStatus | None:
    """Return the status of a run, with defaults for odd details."""
    if isinstance(entry, tuple):
        named = _find_run(entry[0], entry[1])
        return RunStatus(named, *entry[2:]) if named else None
    run = _decode_run(entry[:2])
    if run is None:
        return None
    return RunStatus(
        run,
        _decode_detail(entry[2:3], Checkpoint, ''),
        _decode_detail(entry[3:4], Amount, 0),
        _decode_detail(entry[4:5], Amount, 0),
    )


def _decode_run_end(entry: list[Any] | EndEntry) -> RunEnd:
    """
    Return the end of a run.

    Its number must be readable.  An outcome that isn't known is that of a run
    which ended without a success and without a failure.
    """
    if isinstance(entry, tuple):
        named = _find_run(entry[1], entry[2])
        return RunEnd(entry[0], named or UNNAMED_RUN, *entry[3:])
    return RunEnd(
        msgspec.convert(entry[0] if entry else None, Number),
        _decode_run(entry[1:3]) or UNNAMED_RUN,
        _decode_detail(entry[3:4], RunOutcome, RunOutcome.lease_expired),
        _decode_detail(entry[4:5], Checkpoint, ''),
    )


def _find_run(name: str, number: int) -> RunId | None:
    """Return the run of the task *name*, None if that is no name."""
    try:
        return RunId(_decode_task_id(name), number)
    except ValueError:
        return None


def _decode_run(entry: list[Any]) -> RunId | None:
    """Return the run that is named, None if it can't be read."""
    try:
        name = msgspec.convert(entry, RunName)
        return RunId(_decode_task_id(name.task), name.run)
    except DECODING_ERRORS:
        return None


def _decode_detail(
    found: list[Any], detail_type: Any, default: DetailType
) -> DetailType:
    """Return the only item of *found*, *default* if there is no valid one."""
    detail = convert(found[0] if found else None, detail_type)
    return default if isinstance(detail, Unreadable) else detail
