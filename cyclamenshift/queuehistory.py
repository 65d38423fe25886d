"""
cyclamenshift.queuehistory
==========================

The base class of the component that knows which services queues have had.
"""

import abc

from .component import Component
from .decisions.queue_records import QueueRecords
from .directory import Queue


class QueueHistory(Component):
    """
    Knows under which services the queues have been configured.

    A job stays at the service that its queue had when it was accepted.  The
    records tell where to look for it once the queue has moved, also to
    processes that never had the earlier configuration.
    """

    @property
    @abc.abstractmethod
    def records(self) -> QueueRecords:
        """The records that have been read."""

    @abc.abstractmethod
    def require(self, name: str, service: str) -> None:
        """Record later that the queue *name* has jobs at *service*."""

    @abc.abstractmethod
    async def wait_for(self, queue: Queue, wait: int) -> bool:
        """Wait until the service of *queue* is recorded, at most *wait* ms."""

    def services_of(self, queue: Queue) -> tuple[str, ...]:
        """Return the current service of *queue*, then its other ones."""
        recorded = self.records.services_of(queue.name)
        return tuple(dict.fromkeys((queue.service, *recorded)))
