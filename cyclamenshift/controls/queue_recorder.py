"""
cyclamenshift.controls.queue_recorder
=====================================

Records under which services the queues have been configured.
"""

from collections.abc import Collection, Iterable
from typing import ClassVar, Final

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions.queue_records import (
    QueuePlace,
    QueueRecord,
    QueueRecords,
    places_in,
)
from ..directory import Directory, Queue
from ..errors import ProtocolError
from ..plugin import register
from ..queuehistory import QueueHistory
from ..queuerows import QUEUE_TABLE, QueueRow
from ..rows import decode_row
from ..store import Committed, Row, Unavailable, get_store_client

#: The most queues in one transaction.  Each needs a check and a write, and
#: the store accepts 100 entries a call.
MAX_BATCH_QUEUES: Final = 50
#: The delay before a failed call is retried, ms.
RETRY_DELAY_MS: Final = 100


@register
class QueueRecorder(Control, QueueHistory):
    """Reads the records with each configuration, and adds what they lack."""

    name = 'queues'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 7

    def __init__(self, kernel: Host) -> None:
        """Start without records."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.directory = kernel.get(Directory)
        self.required: set[QueuePlace] = set()
        self._records = QueueRecords()
        self._changed = trio.Event()

    @property
    def records(self) -> QueueRecords:
        """The records that have been read."""
        return self._records

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the configuration until cancelled."""
        task_status.started()
        synced: set[QueuePlace] = set()
        while True:
            places = self.required | places_in(self.directory.catalog)
            if places == synced:
                await self.directory.wait_for_change()
            elif await self._sync(places):
                synced = places
            else:
                await self.clock.sleep(RETRY_DELAY_MS)

    def require(self, name: str, service: str) -> None:
        """Record with the next change that a queue has jobs at *service*."""
        place = QueuePlace(name, service)
        if not self.records.has(place):
            self.required.add(place)

    async def wait_for(self, queue: Queue, wait: int) -> bool:
        """Wait until the service of *queue* is recorded, at most *wait* ms."""
        place = QueuePlace(queue.name, queue.service)
        with self.clock.move_on_after(wait):
            while not self.records.has(place):
                await self._changed.wait()
        return self.records.has(place)

    def dump(self) -> Dump:
        """Return the queues with more than one service."""
        services = {
            key.name: record.row['services']
            for key, record in self.records.by_key.items()
        }
        return {
            'recorded': len(services),
            'moved': {
                name: names
                for name, names in services.items()
                if len(names) > 1
            },
        }

    async def _sync(self, places: Iterable[QueuePlace]) -> bool:
        """Read the records and add *places*; return whether all are there."""
        scanned = await self.store.scan(QUEUE_TABLE)
        if isinstance(scanned, Unavailable):
            return False
        self.records.by_key = {
            row.key: self._decode(row) for row in scanned.rows
        }
        batch = self.records.missing(places)[:MAX_BATCH_QUEUES]
        recorded = not batch or await self._record(batch)
        self._changed.set()
        self._changed = trio.Event()
        return recorded and not self.records.missing(places)

    async def _record(self, places: Collection[QueuePlace]) -> bool:
        result = await self.store.commit(self.records.transaction(places))
        self.log.note(
            'Services of queues recorded.',
            queues=[place.queue for place in places],
            result=type(result).__name__,
        )
        if not isinstance(result, Committed):
            return False
        self.records.add(places, result.version)
        return True

    def _decode(self, row: Row) -> QueueRecord:
        """Return the record of a row; one that is invalid is replaced."""
        try:
            fields = decode_row(row, QueueRow)
        except ProtocolError as error:
            self.log.error('Invalid row in the store.', problem=str(error))
            return QueueRecord(QueueRow(services=[]), row.version)
        return QueueRecord(fields, row.version)
