"""
cyclamenshift.decisions.queue_records
=====================================

The services that the queues have had, as far as they are recorded.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..queuerows import QueueRow, queue_key
from ..store import ABSENT, Check, Transaction, Write


class QueuePlace(NamedTuple):
    """A queue and a service at which it may have jobs."""

    queue: str
    service: str


class QueueRecord(NamedTuple):
    """The row of a queue, and its version."""

    row: QueueRow
    version: int


NO_RECORD = QueueRecord(QueueRow(services=[]), ABSENT)


class QueueRecords:
    """The rows of all queues, by the name of the queue."""

    def __init__(self) -> None:
        """Start without rows."""
        self.by_name: dict[str, QueueRecord] = {}

    def services_of(self, name: str) -> tuple[str, ...]:
        """Return the services of a queue, the first one first."""
        return tuple(self.by_name.get(name, NO_RECORD).row['services'])

    def has(self, place: QueuePlace) -> bool:
        """Return whether *place* is recorded."""
        return place.service in self.services_of(place.queue)

    def missing(self, places: Iterable[QueuePlace]) -> list[QueuePlace]:
        """Return those of *places* that are not recorded, one for a queue."""
        by_queue = {
            place.queue: place for place in places if not self.has(place)
        }
        return list(by_queue.values())

    def transaction(self, places: Collection[QueuePlace]) -> Transaction:
        """Return the transaction that records *places*."""
        return Transaction(
            tuple(
                Check(
                    queue_key(name), self.by_name.get(name, NO_RECORD).version
                )
                for name, _service in places
            ),
            tuple(
                Write(queue_key(place.queue), self._row_with(place))
                for place in places
            ),
        )

    def add(self, places: Iterable[QueuePlace], version: int) -> None:
        """Add *places*, which were recorded as *version*."""
        for place in places:
            self.by_name[place.queue] = QueueRecord(
                self._row_with(place), version
            )

    def _row_with(self, place: QueuePlace) -> QueueRow:
        earlier = self.services_of(place.queue)
        return QueueRow(services=[*earlier, place.service])
