"""
cyclamenshift.controls.job_access
=================================

Job submission, cancellation and status at any entry VM.

A job is accepted when its row is stored.  Normally the owner of the job's
service writes the row, so that one entry VM batches the jobs submitted at all
of them.  If the owner doesn't answer, this entry VM writes the row itself: the
conditional write shows whether the owner has written it already, and if it
has not, the owner finds the row by itself.  If that write fails as well, the
row may still come from an owner that has received the job.
"""

from functools import singledispatch
from typing import ClassVar, Final, NamedTuple, TypeAlias

from ..component import Host
from ..control import Control
from ..decisions.accounts.keys import may_access
from ..directory import Directory, Queue
from ..job import Job, JobState
from ..jobmessages import (
    CountAnswer,
    CountQuery,
    JobCancelled,
    JobOffer,
    JobRefused,
    JobStored,
    StateAnswer,
    StateQuery,
)
from ..jobrows import CancelRow, JobRow, cancel_key, job_row
from ..peer import NoReply, Payload
from ..plugin import register
from ..queuehistory import QueueHistory
from ..queuerows import is_reference, referenced_service
from ..refusedjobs import is_refusal
from ..rows import decode_row
from ..store import ABSENT, Unavailable, get_store_client
from .job_counts import StoredJobCounts
from .job_places import JobPlaces, Place
from .job_storing import store_new_job
from .ownership import Ownership
from .row_writer import NotWritten, Rival, RowWriter, Written

#: The part of a caller's time that the owner of a service has to answer a
#: query; the rest is for the store.
OWNER_SHARE: Final = 0.5
#: When a caller should retry a job that could not be stored, ms.
SUBMIT_RETRY_AFTER_MS: Final = 1_000


class Stored(NamedTuple):
    """The job is stored, by this call or an earlier one."""


class Different(NamedTuple):
    """Another job was submitted under this id."""


class NotStored(NamedTuple):
    """The job was not accepted and will not run."""

    reason: str
    retry_after: int


class Unstorable(NamedTuple):
    """The job can never be stored; ``reason`` tells the caller why."""

    reason: str


class NotAdmitted(NamedTuple):
    """The job was refused for lack of capacity and will not run."""

    reason: str
    retry_after: int


class MaybeStored(NamedTuple):
    """The job may have been accepted; the caller should submit it again."""

    reason: str


class NoSuchJob(NamedTuple):
    """The queue has no job with this id."""


class LocatedJob(NamedTuple):
    """The service that has a job, and the state of the job."""

    service: str
    state: JobState


SubmitResult: TypeAlias = (
    Stored | Different | NotStored | NotAdmitted | MaybeStored | Unstorable
)
WriteResult: TypeAlias = Written | Rival | NotWritten | MaybeStored | JobRefused


@register
class JobAccess(Control):
    """Stores jobs and cancellations, and queries owners for job states."""

    name = 'desk'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 9

    def __init__(self, kernel: Host) -> None:
        """Look up the components that it uses."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.row_writer = kernel.get(RowWriter)
        self.directory = kernel.get(Directory)
        self.ownership = kernel.get(Ownership)
        self.queue_history = kernel.get(QueueHistory)
        self.places = JobPlaces(kernel)
        self.row_limit = kernel.settings['store']['row_limit']
        self.stored_counts = StoredJobCounts(self.clock, self.store)

    async def submit(self, queue: Queue, job: Job, wait: int) -> SubmitResult:
        """Store *job* within *wait* ms; log any other result than Stored."""
        result = await self._submit(queue, job, wait)
        if not isinstance(result, Stored):
            self.log.note(
                'Job not confirmed as stored.',
                job=job.job_id,
                queue=queue.name,
                result=type(result).__name__,
                reason=getattr(result, 'reason', ''),
                owner=self.ownership.owner_of(queue.service),
                store_usable=self.store.usable,
            )
        return result

    async def state_of(
        self,
        queue: Queue,
        job_id: str,
        wait: int,
        account: str | None = None,
    ) -> JobState | NoSuchJob | Unavailable:
        """
        Return the state of a job, from its owner or from the store.

        A caller with an *account* finds its own jobs only; None stands for a
        caller of a queue with open access.
        """
        located = await self._locate(queue, job_id, wait, account)
        return located.state if isinstance(located, LocatedJob) else located

    async def cancel(
        self,
        queue: Queue,
        job_id: str,
        wait: int,
        account: str | None = None,
    ) -> Stored | NoSuchJob | Unavailable:
        """Store the cancellation of a job, and notify the owner."""
        deadline = self.clock.now() + wait
        located = await self._locate(queue, job_id, wait, account)
        if not isinstance(located, LocatedJob):
            return located
        if located.state.final:
            return Stored()
        key = cancel_key(located.service, job_id)
        row = CancelRow(asked=self.clock.wall_time())
        result: Written | Rival | NotWritten | None = None
        with self.clock.move_on_after(self.clock.remaining(deadline)):
            result = await self.row_writer.write(key, ABSENT, row)
        if result is None or isinstance(result, NotWritten):
            return Unavailable('The cancel could not be stored.')
        notification = JobCancelled(located.service, job_id)
        self.ownership.notify_owner(located.service, notification)
        return Stored()

    async def count_waiting(
        self,
        queue: Queue,
        wait: int,
    ) -> int | Unavailable:
        """Return the number of jobs of *queue* that have not started."""
        deadline = self.clock.now() + wait
        total = 0
        for service in self.queue_history.services_of(queue):
            remaining = self.clock.remaining(deadline)
            count = await self._count_at(service, queue.name, remaining)
            if isinstance(count, Unavailable):
                return count
            total += count
        return total

    async def _count_at(
        self, service: str, queue_name: str, wait: int
    ) -> int | Unavailable:
        """
        Return how many jobs of a queue have not started at *service*.

        The store is scanned only where no owner is known.  A scan is large,
        and scans by many entry VMs would slow down a busy owner further.
        """
        if self.ownership.owner_of(service) is None:
            with self.clock.move_on_after(wait):
                return await self.stored_counts.count_waiting(
                    service, queue_name
                )
            return Unavailable('The jobs could not be read in time.')
        query = CountQuery(service, queue_name)
        reply = await self.ownership.call_owner(service, query, wait)
        if isinstance(reply, CountAnswer) and reply.owned:
            return reply.waiting
        return Unavailable('The owner of the service did not answer.')

    async def _submit(
        self,
        queue: Queue,
        job: Job,
        wait: int,
    ) -> SubmitResult:
        if self.store.size_of(job_row(job)) > self.row_limit:
            return Unstorable('too large to be stored; use several jobs')
        if not self.store.usable:
            return NotStored(
                'the store can not be reached',
                SUBMIT_RETRY_AFTER_MS,
            )
        deadline = self.clock.now() + wait
        if not await self.queue_history.wait_for(queue, wait):
            return NotStored(
                'the queue is not recorded yet', SUBMIT_RETRY_AFTER_MS
            )
        remaining = self.clock.remaining(deadline)
        with self.clock.move_on_after(remaining):
            return _submit_result(await self._store(queue, job, remaining), job)
        return MaybeStored('the store did not answer in time')

    async def _store(self, queue: Queue, job: Job, wait: int) -> WriteResult:
        """Store *job* at the service of *queue*, unless another one has it."""
        place = await self.places.choose(queue, job)
        if not isinstance(place, Place):
            return place
        result = await self._write(place.service, job, wait)
        if isinstance(result, Rival) and is_reference(result.row):
            service = referenced_service(result.row)
            return await self._write(service, job, wait)
        return result

    async def _write(
        self,
        service: str,
        job: Job,
        wait: int,
    ) -> WriteResult:
        """
        Have the owner of *service* write the row, or else write it here.

        That the write here failed tells nothing of the owner's.  It never
        replaces a refusal, which the owner may have made after this call.
        """
        offer = JobOffer(service, job)
        reply = await self.ownership.call_owner(service, offer, wait)
        if isinstance(reply, Written | Rival | NotWritten | JobRefused):
            return reply
        result: WriteResult = await store_new_job(self.row_writer, service, job)
        if isinstance(result, Written):
            self.ownership.notify_owner(service, JobStored(service, job))
        elif isinstance(result, NotWritten) and _may_be_written(reply):
            return MaybeStored('the owner of the service did not answer')
        return result

    async def _locate(
        self,
        queue: Queue,
        job_id: str,
        wait: int,
        account: str | None,
    ) -> LocatedJob | NoSuchJob | Unavailable:
        """Find a job at the owner of its queue's service, or in the store."""
        reply = await self.ownership.call_owner(
            queue.service,
            StateQuery(queue.service, job_id),
            round(wait * OWNER_SHARE),
        )
        if isinstance(reply, StateAnswer) and reply.state:
            if reply.queue == queue.name:
                if may_access(reply.account, account):
                    return LocatedJob(queue.service, reply.state)
                return NoSuchJob()
        found = await self.places.find(queue, job_id)
        if isinstance(found, Unavailable):
            return found
        if found is None or not may_access(found.account, account):
            return NoSuchJob()
        return LocatedJob(found.service, found.state)


def _may_be_written(reply: Payload | NoReply) -> bool:
    """Return whether an owner that gave *reply* may write the row."""
    return isinstance(reply, NoReply) and reply.sent


@singledispatch
def _submit_result(result: WriteResult, job: Job) -> SubmitResult:
    """Return what the caller is told of the write of the row of *job*."""
    raise NotImplementedError(type(result).__qualname__)


@_submit_result.register
def _written(result: Written, job: Job) -> SubmitResult:
    return Stored()


@_submit_result.register
def _rival(result: Rival, job: Job) -> SubmitResult:
    if is_reference(result.row):
        return MaybeStored('another service may have the job')
    if is_refusal(result.row):
        return MaybeStored('the job was refused by a call at the same time')
    existing = decode_row(result.row, JobRow)['job']
    return Stored() if existing.same_as(job) else Different()


@_submit_result.register
def _not_written(result: NotWritten, job: Job) -> SubmitResult:
    return NotStored('the store can not be reached', SUBMIT_RETRY_AFTER_MS)


@_submit_result.register
def _refused(result: JobRefused, job: Job) -> SubmitResult:
    return NotAdmitted(*result)


@_submit_result.register
def _uncertain(result: MaybeStored, job: Job) -> SubmitResult:
    return result
