"""
cyclamenshift.duties.scheduler
==============================

Schedules the services that this entry VM owns, and answers for their jobs.
"""

from collections.abc import Iterable

from ..component import Dump, Host
from ..controls.ownership import Ownership
from ..controls.row_writer import NotWritten, Rival, RowWriter, Written
from ..directory import Catalog, Directory
from ..duty import Duty, OwnershipTerm
from ..fleetmessages import PoolReport, Vacate, Vacated
from ..jobmessages import (
    CountAnswer,
    CountQuery,
    JobCancelled,
    JobOffer,
    JobStored,
    NotOwned,
    StateAnswer,
    StateQuery,
)
from ..jobrows import JobRow, job_key
from ..peer import Peer
from ..plugin import register
from ..scheduling.details import JobDetail, detail_of
from ..scheduling.service import ServiceScheduler
from ..store import ABSENT
from .fleet import FLEET

NOT_OWNED = StateAnswer(owned=False, queue='', state=None)


@register
class SchedulerDuty(Duty):
    """Runs one scheduler for each service that is owned here."""

    name = 'scheduler'

    def __init__(self, kernel: Host) -> None:
        """Own no service yet."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.row_writer = kernel.get(RowWriter)
        self.schedulers: dict[str, ServiceScheduler] = {}
        peer = kernel.get(Peer)
        peer.add_listener(JobStored, self._take_stored)
        peer.add_listener(JobCancelled, self._take_cancelled)
        peer.add_call_handler(JobOffer, self._answer_offer)
        peer.add_call_handler(StateQuery, self._answer_state)
        peer.add_call_handler(CountQuery, self._answer_count)
        peer.add_call_handler(Vacate, self._answer_vacate)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the services that any queue names."""
        return {queue.service for queue in catalog.queues.values()}

    async def serve(self, term: OwnershipTerm) -> None:
        """Schedule a service until cancelled."""
        scheduler = ServiceScheduler(
            self.kernel,
            term,
            self._report_to_manager,
        )
        self.schedulers[term.domain] = scheduler
        self.directory.watch(term.domain, wanted=True)
        try:
            await scheduler.run()
        finally:
            self.schedulers.pop(term.domain)
            self.directory.watch(term.domain, wanted=False)

    def dump(self) -> Dump:
        """Return each scheduler in short."""
        return {
            service: scheduler.dump()
            for service, scheduler in self.schedulers.items()
        }

    def detail_of(self, job_id: str) -> JobDetail | None:
        """Return what is known of a job, None if it is not scheduled here."""
        for scheduler in self.schedulers.values():
            progress = scheduler.tracker.jobs.get(job_id)
            if progress:
                return detail_of(scheduler.state, progress)
        return None

    def _take_stored(self, entry_id: str, told: JobStored) -> None:
        scheduler = self._loaded(told.service)
        if scheduler:
            scheduler.job_reader.add(told.job)

    def _take_cancelled(self, entry_id: str, told: JobCancelled) -> None:
        scheduler = self._loaded(told.service)
        if scheduler:
            scheduler.job_reader.cancel(told.job_id)

    async def _answer_offer(
        self,
        entry_id: str,
        offer: JobOffer,
    ) -> Written | Rival | NotWritten | NotOwned:
        """Store a job and take it, so that nobody has to tell of it."""
        if self._loaded(offer.service) is None:
            return NotOwned()
        result = await self.row_writer.write(
            job_key(offer.service, offer.job.job_id),
            ABSENT,
            JobRow(job=offer.job),
        )
        scheduler = self._loaded(offer.service)
        if scheduler and isinstance(result, Written):
            scheduler.job_reader.add(offer.job)
        return result

    async def _answer_state(
        self,
        entry_id: str,
        query: StateQuery,
    ) -> StateAnswer:
        scheduler = self._loaded(query.service)
        if scheduler is None:
            return NOT_OWNED
        return StateAnswer(True, *scheduler.job_state(query.job_id))

    async def _answer_count(
        self,
        entry_id: str,
        query: CountQuery,
    ) -> CountAnswer:
        scheduler = self._loaded(query.service)
        if scheduler is None:
            return CountAnswer(owned=False, waiting=0)
        return CountAnswer(True, scheduler.waiting(query.queue))

    async def _answer_vacate(self, entry_id: str, request: Vacate) -> Vacated:
        scheduler = self._loaded(request.service)
        if scheduler is None:
            return Vacated(empty=False)
        empty = await scheduler.vacate(request.vm_id, request.wait)
        return Vacated(empty)

    def _report_to_manager(self, report: PoolReport) -> None:
        self.kernel.get(Ownership).notify_owner(FLEET, report)

    def _loaded(self, service: str) -> ServiceScheduler | None:
        """Return the scheduler of a service, once it has read its rows."""
        scheduler = self.schedulers.get(service)
        return scheduler if scheduler and scheduler.loaded else None
