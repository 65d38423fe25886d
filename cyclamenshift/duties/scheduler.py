"""
cyclamenshift.duties.scheduler
==============================

Runs the schedulers of the owned services and answers calls about jobs.
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
from ..queuehistory import QueueHistory
from ..scheduling.details import JobDetail, detail_of
from ..scheduling.order_window import OrderWindow
from ..scheduling.service import ServiceScheduler
from ..store import ABSENT
from .fleet import FLEET_DOMAIN

STATE_NOT_OWNED = StateAnswer(owned=False, queue='', state=None)


@register
class SchedulerDuty(Duty):
    """Runs one scheduler for each service that this entry VM owns."""

    name = 'scheduler'

    def __init__(self, kernel: Host) -> None:
        """Register the handlers of the messages about jobs."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.row_writer = kernel.get(RowWriter)
        self.queue_history = kernel.get(QueueHistory)
        self.order_window = OrderWindow(kernel.clock)
        self.schedulers: dict[str, ServiceScheduler] = {}
        peer = kernel.get(Peer)
        peer.add_listener(JobStored, self._on_job_stored)
        peer.add_listener(JobCancelled, self._on_job_cancelled)
        peer.add_call_handler(JobOffer, self._on_job_offer)
        peer.add_call_handler(StateQuery, self._on_state_query)
        peer.add_call_handler(CountQuery, self._on_count_query)
        peer.add_call_handler(Vacate, self._on_vacate)
        load = kernel.metrics.load
        load.tasks_waiting.source = self.tasks_waiting
        load.orders_in_flight.source = self.orders_in_flight
        load.jobs_left_out.source = self.jobs_left_out
        load.ejected_workers.source = self.ejected_workers

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the services that have queues, or have had some."""
        with_queues = {queue.service for queue in catalog.queues.values()}
        earlier = self.queue_history.records.services()
        return with_queues | (earlier & catalog.services.keys())

    async def serve(self, term: OwnershipTerm) -> None:
        """Run the scheduler of a service until cancelled."""
        scheduler = ServiceScheduler(
            self.kernel,
            term,
            self.order_window,
            self._report_to_manager,
        )
        self.schedulers[term.domain] = scheduler
        self.order_window.open(term.domain)
        self.directory.watch_workers(term.domain, wanted=True)
        try:
            await scheduler.run()
        finally:
            self.schedulers.pop(term.domain)
            self.order_window.close(term.domain)
            self.directory.watch_workers(term.domain, wanted=False)

    def dump(self) -> Dump:
        """Return a summary of each scheduler."""
        return {
            service: scheduler.dump()
            for service, scheduler in self.schedulers.items()
        }

    def tasks_waiting(self) -> dict[str, int]:
        """Return how many tasks wait for a worker, by service."""
        return {
            service: len(scheduler.tracker.waiting)
            for service, scheduler in self.schedulers.items()
        }

    def orders_in_flight(self) -> dict[str, int]:
        """Return how many runs have an unsettled order, by service."""
        return {
            service: scheduler.count_unsettled()
            for service, scheduler in self.schedulers.items()
        }

    def jobs_left_out(self) -> dict[str, int]:
        """Return how many jobs the store does not record, by service."""
        return {
            service: len(scheduler.state.recorder.rejected_until)
            for service, scheduler in self.schedulers.items()
        }

    def ejected_workers(self) -> dict[str, int]:
        """Return how many workers are ejected, by service."""
        return {
            service: scheduler.state.health.ejected
            for service, scheduler in self.schedulers.items()
        }

    def detail_of(self, job_id: str) -> JobDetail | None:
        """Return the details of a job, None if it is not scheduled here."""
        for scheduler in self.schedulers.values():
            progress = scheduler.tracker.jobs.get(job_id)
            if progress:
                return detail_of(scheduler.state, progress)
        return None

    def _on_job_stored(self, entry_id: str, message: JobStored) -> None:
        scheduler = self._loaded_scheduler(message.service)
        if scheduler:
            scheduler.job_reader.add(message.job)

    def _on_job_cancelled(self, entry_id: str, message: JobCancelled) -> None:
        scheduler = self._loaded_scheduler(message.service)
        if scheduler:
            scheduler.job_reader.cancel(message.job_id)

    async def _on_job_offer(
        self,
        entry_id: str,
        offer: JobOffer,
    ) -> Written | Rival | NotWritten | NotOwned:
        """Store a job and add it directly, without a notification."""
        if self._loaded_scheduler(offer.service) is None:
            return NotOwned()
        result = await self.row_writer.write(
            job_key(offer.service, offer.job.job_id),
            ABSENT,
            JobRow(job=offer.job),
        )
        scheduler = self._loaded_scheduler(offer.service)
        if scheduler and isinstance(result, Written):
            scheduler.job_reader.add(offer.job)
        return result

    async def _on_state_query(
        self,
        entry_id: str,
        query: StateQuery,
    ) -> StateAnswer:
        scheduler = self._loaded_scheduler(query.service)
        if scheduler is None:
            return STATE_NOT_OWNED
        return StateAnswer(True, *scheduler.job_state(query.job_id))

    async def _on_count_query(
        self,
        entry_id: str,
        query: CountQuery,
    ) -> CountAnswer:
        scheduler = self._loaded_scheduler(query.service)
        if scheduler is None:
            return CountAnswer(owned=False, waiting=0)
        return CountAnswer(True, scheduler.count_waiting(query.queue))

    async def _on_vacate(self, entry_id: str, request: Vacate) -> Vacated:
        scheduler = self._loaded_scheduler(request.service)
        if scheduler is None:
            return Vacated(empty=False)
        empty = await scheduler.vacate(request.vm_id, request.wait)
        return Vacated(empty)

    def _report_to_manager(self, report: PoolReport) -> None:
        self.kernel.get(Ownership).notify_owner(FLEET_DOMAIN, report)

    def _loaded_scheduler(self, service: str) -> ServiceScheduler | None:
        """Return the scheduler of a service once it has loaded its jobs."""
        scheduler = self.schedulers.get(service)
        return scheduler if scheduler and scheduler.loaded else None
