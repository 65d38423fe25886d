"""
cyclamenshift.controls.job_storing
==================================

Stores jobs, and the refusals that keep late writes of them from taking effect.

A caller may submit a job again after an answer was lost, while the first write
may still be executed.  So a job is refused by a row in its place: a later write
under the first condition fails, and the caller is told the truth.
"""

from ..job import Job
from ..jobrows import job_key, job_row
from ..refusedjobs import RefusedJobRow, is_refusal
from ..store import ABSENT, Fields
from .row_writer import NotWritten, Rival, RowWriter, Written


async def store_job(
    row_writer: RowWriter, service: str, job: Job
) -> Written | Rival | NotWritten:
    """Store *job* at *service*, also in the place of an earlier refusal."""
    return await _write(row_writer, service, job.job_id, job_row(job))


async def store_new_job(
    row_writer: RowWriter, service: str, job: Job
) -> Written | Rival | NotWritten:
    """Store *job* at *service* unless there is a row, also of a refusal."""
    key = job_key(service, job.job_id)
    return await row_writer.write(key, ABSENT, job_row(job))


async def store_refusal(
    row_writer: RowWriter, service: str, job: Job, wall_time: int
) -> Written | Rival | NotWritten:
    """
    Store that *job* is refused, unless it is stored already.

    An earlier refusal is replaced as well, because a write of the job may be
    under way that would replace that one.
    """
    row = RefusedJobRow(refused=wall_time)
    return await _write(row_writer, service, job.job_id, row)


async def _write(
    row_writer: RowWriter, service: str, job_id: str, row: Fields
) -> Written | Rival | NotWritten:
    key = job_key(service, job_id)
    result = await row_writer.write(key, ABSENT, row)
    if isinstance(result, Rival) and is_refusal(result.row):
        return await row_writer.write(key, result.row.version, row)
    return result
