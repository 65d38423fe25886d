"""
cyclamenshift.duties.scheduler
==============================

Schedules the services that this entry VM owns, and answers for their jobs.
"""

from collections.abc import Iterable

from ..component import Dump, Host
from ..directory import Catalog, Directory
from ..duty import Duty, Tenure
from ..jobmessages import (
    CountAnswer,
    CountQuery,
    JobCancelled,
    JobStored,
    StateAnswer,
    StateQuery,
)
from ..peer import Peer
from ..plugin import register
from ..scheduling.service import ServiceScheduler

NOT_OWNED = StateAnswer(owned=False, queue='', state=None)


@register
class SchedulerDuty(Duty):
    """Runs one scheduler for each service that is owned here."""

    name = 'scheduler'

    def __init__(self, kernel: Host) -> None:
        """Own no service yet."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.schedulers: dict[str, ServiceScheduler] = {}
        peer = kernel.get(Peer)
        peer.listen_to(JobStored, self._take_stored)
        peer.listen_to(JobCancelled, self._take_cancelled)
        peer.answer(StateQuery, self._answer_state)
        peer.answer(CountQuery, self._answer_count)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the services that any queue names."""
        return {queue.service for queue in catalog.queues.values()}

    async def serve(self, tenure: Tenure) -> None:
        """Schedule a service until cancelled."""
        scheduler = ServiceScheduler(self.kernel, tenure)
        self.schedulers[tenure.domain] = scheduler
        self.directory.watch(tenure.domain, wanted=True)
        try:
            await scheduler.run()
        finally:
            self.schedulers.pop(tenure.domain)
            self.directory.watch(tenure.domain, wanted=False)

    def take(self, told: JobStored) -> None:
        """Take a job of a service that is owned here."""
        scheduler = self.schedulers.get(told.service)
        if scheduler and scheduler.loaded:
            scheduler.add(told.job)

    def cancel(self, told: JobCancelled) -> None:
        """Take a cancel for a service that is owned here."""
        scheduler = self.schedulers.get(told.service)
        if scheduler and scheduler.loaded:
            scheduler.cancel(told.job_id)

    def state_of(self, query: StateQuery) -> StateAnswer:
        """Return how a job stands, if its service is owned here."""
        scheduler = self.schedulers.get(query.service)
        if scheduler is None or not scheduler.loaded:
            return NOT_OWNED
        return StateAnswer(True, *scheduler.state_of(query.job_id))

    def count(self, query: CountQuery) -> CountAnswer:
        """Return how many jobs wait, if their service is owned here."""
        scheduler = self.schedulers.get(query.service)
        if scheduler is None or not scheduler.loaded:
            return CountAnswer(owned=False, waiting=0)
        return CountAnswer(True, scheduler.waiting(query.queue))

    def dump(self) -> Dump:
        """Return each scheduler in short."""
        return {
            service: scheduler.dump()
            for service, scheduler in self.schedulers.items()
        }

    def _take_stored(self, entry_id: str, told: JobStored) -> None:
        self.take(told)

    def _take_cancelled(self, entry_id: str, told: JobCancelled) -> None:
        self.cancel(told)

    async def _answer_state(
        self,
        entry_id: str,
        query: StateQuery,
    ) -> StateAnswer:
        return self.state_of(query)

    async def _answer_count(
        self,
        entry_id: str,
        query: CountQuery,
    ) -> CountAnswer:
        return self.count(query)
