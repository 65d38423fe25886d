"""
cyclamenshift.controls.job_places
=================================

Finds the service that keeps a job, which is one that its queue has had.

A job stays at the service that its queue had when it was accepted.  One that
is accepted at a later service has a reference at the first one, where an entry
VM with an older configuration would store it: so only one of them can.
"""

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from ..component import Host
from ..directory import Queue
from ..job import Job, JobState
from ..jobrows import JobRow, job_key, progress_key
from ..progressrows import RecordedState
from ..queuehistory import QueueHistory
from ..queuerows import JobReference, is_reference, referenced_service
from ..refusedjobs import is_job
from ..rows import decode_row
from ..store import ABSENT, Row, Unavailable, get_store_client
from .row_writer import NotWritten, Rival, RowWriter, Written


class StoredJob(NamedTuple):
    """A job, the service that keeps it, its recorded state and its account."""

    service: str
    row: Row
    state: JobState
    account: str


class Place(NamedTuple):
    """The service at which a job is to be stored."""

    service: str


PlaceChoice: TypeAlias = Place | Rival | NotWritten


class JobPlaces:
    """Looks for jobs in the store."""

    def __init__(self, kernel: Host) -> None:
        """Look up the components that it uses."""
        self.store = get_store_client(kernel)
        self.row_writer = kernel.get(RowWriter)
        self.queue_history = kernel.get(QueueHistory)

    async def find(
        self, queue: Queue, job_id: str
    ) -> StoredJob | Unavailable | None:
        """
        Return a job of *queue*, None if there is none.

        The store is read once, unless an entry VM with a newer configuration
        has stored the job.
        """
        services = self.queue_history.services_of(queue)
        rows = await self._read(services, job_id)
        if isinstance(rows, Unavailable):
            return rows
        newer = {
            referenced_service(row) for row in rows if is_reference(row)
        }.difference(services)
        if newer:
            rows = await self._read(tuple(newer), job_id)
            if isinstance(rows, Unavailable):
                return rows
        return _find_job(queue, rows)

    async def choose(self, queue: Queue, job: Job) -> PlaceChoice:
        """
        Return where to store *job*, or the row of the job that is stored.

        A queue that has always had the same service costs no call.
        """
        first, *later = self.queue_history.records.services_of(queue.name)
        if not later:
            return Place(queue.service)
        found = await self.find(queue, job.job_id)
        if isinstance(found, Unavailable):
            return NotWritten()
        if found is not None:
            return Rival(found.row)
        if first == queue.service:
            return Place(queue.service)
        return await self._refer(first, queue.service, job.job_id)

    async def _refer(
        self, first: str, service: str, job_id: str
    ) -> PlaceChoice:
        """Store a reference to *service* at the *first* one of a queue."""
        reference = JobReference(service=service)
        result = await self.row_writer.write(
            job_key(first, job_id), ABSENT, reference
        )
        if isinstance(result, Written):
            return Place(service)
        if isinstance(result, Rival) and is_reference(result.row):
            return Place(referenced_service(result.row))
        return result

    async def _read(
        self, services: Sequence[str], job_id: str
    ) -> list[Row] | Unavailable:
        """Return the job and the progress row at each of *services*."""
        keys = [
            key_of(service, job_id)
            for service in services
            for key_of in (job_key, progress_key)
        ]
        return await self.store.read(keys)


def _find_job(queue: Queue, rows: Sequence[Row]) -> StoredJob | None:
    """Return the job of *queue* among pairs of job and progress rows."""
    pairs = zip(rows[::2], rows[1::2], strict=True)
    for job, progress in pairs:
        if job.version == ABSENT or not is_job(job):
            continue
        stored = decode_row(job, JobRow)['job']
        if stored.queue == queue.name:
            return StoredJob(
                job.key.partition, job, _state_in(progress), stored.account
            )
    return None


def _state_in(progress: Row) -> JobState:
    if progress.version == ABSENT:
        return JobState.queued
    return decode_row(progress, RecordedState)['state']
