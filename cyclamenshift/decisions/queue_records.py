"""
cyclamenshift.decisions.queue_records
=====================================

The services that the queues have had, as far as they are recorded.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..directory import Catalog, Queue
from ..queuerows import QueueRow, QueueRules, queue_key
from ..store import ABSENT, Check, Key, Transaction, Write


class QueuePlace(NamedTuple):
    """
    A queue and a service at which it may have jobs.

    ``rules`` are those of the queue if it is configured there now.
    """

    queue: str
    service: str
    rules: QueueRules | None = None


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
        return tuple(self._record_of(name).row['services'])

    def services(self) -> set[str]:
        """Return the services that may have jobs."""
        return {
            service
            for record in self.by_key.values()
            for service in record.row['services']
        }

    def last_known(self, name: str) -> Queue | None:
        """Return a queue as it was configured last, None if unknown."""
        rules = self._record_of(name).row.get('rules')
        if rules is None:
            return None
        return Queue(
            name=name,
            host='',
            prefix='',
            service=self.services_of(name)[-1],
            priority=rules.priority,
            attempts=rules.attempts,
            stretch=rules.stretch,
            allowance=rules.allowance,
        )

    def has(self, place: QueuePlace) -> bool:
        """Return whether *place* is recorded, with rules as new as its own."""
        row = self._record_of(place.queue).row
        if place.service not in row['services']:
            return False
        return _is_as_new(row.get('rules'), place.rules)

    def missing(self, places: Iterable[QueuePlace]) -> list[QueuePlace]:
        """Return those of *places* that are not recorded, one for a queue."""
        by_queue = {
            place.queue: place for place in places if not self.has(place)
        }
        return list(by_queue.values())

    def transaction(self, places: Collection[QueuePlace]) -> Transaction:
        """Return the transaction that records *places*."""
        checks = [
            Check(queue_key(name), self._record_of(name).version)
            for name, _service, _rules in places
        ]
        writes = [
            Write(queue_key(place.queue), self._row_with(place))
            for place in places
        ]
        return Transaction(tuple(checks), tuple(writes))

    def add(self, places: Iterable[QueuePlace], version: int) -> None:
        """Add *places*, which were recorded as *version*."""
        for place in places:
            row = self._row_with(place)
            self.by_key[queue_key(place.queue)] = QueueRecord(row, version)

    def _record_of(self, name: str) -> QueueRecord:
        return self.by_key.get(queue_key(name), NO_RECORD)

    def _row_with(self, place: QueuePlace) -> QueueRow:
        earlier = self._record_of(place.queue).row
        services = dict.fromkeys((*earlier['services'], place.service))
        row = QueueRow(services=list(services))
        rules = earlier.get('rules')
        if not _is_as_new(rules, place.rules):
            rules = place.rules
        if rules is not None:
            row['rules'] = rules
        return row


def places_in(catalog: Catalog | None) -> set[QueuePlace]:
    """Return the places of the configured queues."""
    if catalog is None:
        return set()
    return {
        QueuePlace(queue.name, queue.service, _rules_of(queue, catalog.version))
        for queue in catalog.queues.values()
    }


def _rules_of(queue: Queue, version: int) -> QueueRules:
    return QueueRules(
        version,
        queue.priority,
        queue.attempts,
        queue.stretch,
        queue.allowance,
    )


def _is_as_new(recorded: QueueRules | None, rules: QueueRules | None) -> bool:
    """Return whether *recorded* rules need not be replaced by *rules*."""
    if rules is None:
        return True
    if recorded is None:
        return False
    is_same = recorded[1:] == rules[1:]
    return is_same or recorded.version > rules.version
