"""
cyclamenshift.decisions.queue_records
=====================================

The services that the queues have had, as far as they are recorded.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..queuerows import QueueRow, queue_key
from ..store import ABSENT, Check, Key, Transaction, Write


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
    """The rows of all queues."""

    def __init__(self) -> None:
        """Start without rows."""
        self.by_key: dict[Key, QueueRecord] = {}

    def services_of(self, name: str) -> tuple[str, ...]:
        """Return the services of a queue, the first one first."""
        record = self.by_key.get(queue_key(name), NO_RECORD)
        return tuple(record.row['services'])

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
                Check(key, self.by_key.get(key, NO_RECORD).version)
                for key in map(_key_of, places)
            ),
            tuple(
                Write(_key_of(place), self._row_with(place)) for place in places
            ),
        )

    def add(self, places: Iterable[QueuePlace], version: int) -> None:
        """Add *places*, which were recorded as *version*."""
        for place in places:
            row = self._row_with(place)
            self.by_key[_key_of(place)] = QueueRecord(row, version)

    def _row_with(self, place: QueuePlace) -> QueueRow:
        earlier = self.services_of(place.queue)
        return QueueRow(services=[*earlier, place.service])


def _key_of(place: QueuePlace) -> Key:
    return queue_key(place.queue)
