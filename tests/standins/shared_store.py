"""
tests.standins.shared_store
===========================

A store that all entry VMs of a trio run share, with its failures and limits.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

import trio

from cyclamenshift.platform.rows import size_of_value
from cyclamenshift.store import (
    CommitResult,
    HistoryLost,
    Key,
    Rejected,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
)
from cyclamenshift.table import Table

from .store_limits import find_excess

ReadType = TypeVar('ReadType')

#: The time after which a client gives up on a lost response, ms.
RESPONSE_TIMEOUT_MS = 2_000
#: The longest that a transaction is queued behind others of its partition, ms.
MAX_QUEUE_MS = 1_000
#: The duration of a store call, ms.
STORE_CALL_MS = 3


class SharedStore:
    """
    The data behind all store clients, and the failures to simulate.

    The responses of the next ``lose_answers`` commits are lost.  Calls fail if
    the store is ``down`` or the entry VM is in ``cut_off``; those of an entry
    VM in ``silent_to`` get no answer, and those that follow a table in
    ``hung_tables`` time out.  A call takes ``delay`` ms, and a
    transaction keeps its partition busy for ``transaction_ms``.  ``scans``
    counts the scans by table; the next ``failing_scans`` of a table fail, and
    each takes ``scan_ms`` to return what it has read.
    """

    def __init__(self) -> None:
        """Start empty and without a failure."""
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.delay = STORE_CALL_MS
        self.transaction_ms = 0
        self.cut_off: set[str] = set()
        self.silent_to: set[str] = set()
        self.hung_tables: set[str] = set()
        self.scans: Counter[str] = Counter()
        self.failing_scans: Counter[str] = Counter()
        self.scan_ms = 0
        self._busy_until: dict[str, float] = {}

    def write_row(self, write: Write) -> None:
        """Write a row without a condition, as another program would."""
        self.table.commit(Transaction((), (write,)))

    def keep_busy(self, partition: str, duration: float) -> None:
        """Let other transactions keep *partition* busy for *duration* s."""
        self._busy_until[partition] = trio.current_time() + duration

    def enqueue(self, partition: str) -> float | None:
        """
        Queue a transaction on *partition* and return its end, seconds.

        Returns None if it would have to wait longer than ``MAX_QUEUE_MS``.
        """
        now = trio.current_time()
        start = max(now, self._busy_until.get(partition, now))
        if start - now > MAX_QUEUE_MS / 1000:
            return None
        self._busy_until[partition] = start + self.transaction_ms / 1000
        return self._busy_until[partition]


class FakeStore(Store):
    """A client of the store that all entry VMs share."""

    name = 'fake'
    store: SharedStore

    @property
    def entry_id(self) -> str:
        """The id of the entry VM that calls."""
        return self.kernel.settings['entry']['id']

    size_of = staticmethod(size_of_value)

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        return await self._call(lambda: self.store.table.read(keys))

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table."""
        self.store.scans[table] += 1
        scanned = await self._call(
            lambda: self.store.table.scan(table, partition),
        )
        await self.clock.sleep(self.store.scan_ms)
        if self.store.failing_scans[table]:
            self.store.failing_scans[table] -= 1
            return Unavailable('no answer')
        return scanned

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Poll for changed rows for at most *wait* ms, and return them."""
        if table in self.store.hung_tables:
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Unavailable('no answer')
        deadline = self.clock.now() + wait
        changes = partial(self.store.table.changes, table, version)
        result = await self._call(changes)
        while _is_empty(result) and self.clock.now() < deadline:
            result = await self._call(changes)
        return result

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction*; the response may be lost."""
        await self.clock.sleep(self.store.delay)
        if self._is_unreachable():
            return Unavailable('down')
        excess = find_excess(transaction)
        if excess:
            return Rejected(excess)
        if not await self._wait_for_turn(transaction):
            return Unavailable('busy')
        result = self.store.table.commit(transaction)
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Uncertain('lost')
        return result

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*."""
        await self.clock.sleep(self.store.delay)
        if self._is_unreachable():
            return False
        self.store.objects[name] = body
        return True

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object."""
        return await self._call(lambda: self.store.objects[name])

    async def _wait_for_turn(self, transaction: Transaction) -> bool:
        """Wait for earlier transactions; return False if the queue is full."""
        entries = transaction.writes or transaction.checks
        end = self.store.enqueue(entries[0].key.partition)
        if end is None:
            return False
        await trio.sleep_until(end)
        return True

    async def _call(
        self,
        read: Callable[[], ReadType],
    ) -> ReadType | Unavailable:
        await self.clock.sleep(self.store.delay)
        if self.entry_id in self.store.silent_to:
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Unavailable('no answer')
        return Unavailable('down') if self._is_unreachable() else read()

    def _is_unreachable(self) -> bool:
        return self.store.down or self.entry_id in self.store.cut_off


def _is_empty(result: Snapshot | HistoryLost | Unavailable) -> bool:
    return isinstance(result, Snapshot) and not result.rows
