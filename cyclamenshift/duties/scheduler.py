"""
cyclamenshift.duties.scheduler
==============================

Runs the schedulers of the owned services and answers calls about jobs.
"""

from collections import Counter
from collections.abc import Iterable

from ..component import Dump, Host
from ..controls.job_storing import store_job, store_refusal
from ..controls.ownership import Ownership
from ..controls.row_writer import NotWritten, Rival, RowWriter, Written
from ..decisions.overload.admission_control import Rejected
from ..directory import Catalog, Directory
from ..duty import Duty, OwnershipTerm
from ..fleetmessages import PoolReport, Vacate, Vacated
from ..job import Job
from ..jobmessages import (
    CountAnswer,
    CountQuery,
    JobCancelled,
    JobOffer,
    JobRefused,
    JobStored,
    NotOwned,
    StateAnswer,
    StateQuery,
)
from ..peer import Peer
from ..plugin import register
from ..queuehistory import QueueHistory
from ..scheduling.details import JobDetail, detail_of
from ..scheduling.order_window import OrderWindow
from ..scheduling.service import ServiceScheduler
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
        #: The jobs that are being stored, with the number of their offers.
        self.storing: Counter[str] = Counter()
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
        load.overload.running.source = self.account_cpu
        load.overload.waiting.source = self.account_tasks_waiting
        load.overload.ejected_workers.source = self.ejected_workers

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

    def account_cpu(self) -> Counter[str]:
        """Return the cpu of the runs of each account, millicores."""
        cpu: Counter[str] = Counter()
        for scheduler in self.schedulers.values():
            used = scheduler.tracker.account_usages.used
            cpu.update({name: amount.cpu for name, amount in used.items()})
        return cpu

    def account_tasks_waiting(self) -> Counter[str]:
        """Return how many tasks of each account wait for a worker."""
        return Counter(
            task.job.job.account
            for scheduler in self.schedulers.values()
            for task in scheduler.tracker.waiting.values()
            if task.job.job.account
        )

    def ejected_workers(self) -> dict[str, int]:
        """Return how many workers are ejected, by service."""
        return {
            service: scheduler.state.health.ejected
            for service, scheduler in self.schedulers.items()
        }

    def detail_of(self, job_id: str) -> JobDetail | None:
        """Return the details of a job, None if it is not scheduled here."""
        scheduler = self.scheduler_of(job_id)
        if scheduler is None:
            return None
        return detail_of(scheduler.state, scheduler.tracker.jobs[job_id])

    def scheduler_of(self, job_id: str) -> ServiceScheduler | None:
        """Return the scheduler of a job, None if it is not scheduled here."""
        for scheduler in self.schedulers.values():
            if job_id in scheduler.tracker.jobs:
                return scheduler
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
    ) -> Written | Rival | NotWritten | NotOwned | JobRefused:
        """Store a job and add it directly, without a notification."""
        scheduler = self._loaded_scheduler(offer.service)
        if scheduler is None:
            return NotOwned()
        if offer.job.job_id not in self.storing:
            admission = scheduler.admission.decide(offer.job)
            if isinstance(admission, Rejected):
                return await self._refuse(scheduler, offer.job, admission)
        self.storing[offer.job.job_id] += 1
        try:
            result = await store_job(self.row_writer, offer.service, offer.job)
        finally:
            self.storing -= Counter((offer.job.job_id,))
        scheduler = self._loaded_scheduler(offer.service)
        if scheduler and isinstance(result, Written):
            scheduler.job_reader.add(offer.job)
        return result

    async def _refuse(
        self, scheduler: ServiceScheduler, job: Job, admission: Rejected
    ) -> Written | Rival | NotWritten | JobRefused:
        """Refuse a job once it is certain that no write of it takes effect."""
        service = scheduler.state.service
        result = await store_refusal(
            self.row_writer, service, job, self.clock.wall_time()
        )
        if not isinstance(result, Written):
            return result
        scheduler.refused_jobs.add(job.job_id)
        return JobRefused(*admission)

    async def _on_state_query(
        self,
        entry_id: str,
        query: StateQuery,
    ) -> StateAnswer:
        scheduler = self._loaded_scheduler(query.service)
        if scheduler is None:
            return STATE_NOT_OWNED
        return scheduler.job_state(query.job_id)

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
