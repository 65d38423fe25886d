"""
cyclamenshift.controls.row_writer
=================================

Batches row writes into transactions and retries until each result is known.
"""

from collections import deque
from typing import ClassVar, NamedTuple, cast

import trio

from ..component import Dump, Host
from ..control import Control
from ..peer import register_payload
from ..plugin import register
from ..store import (
    ABSENT,
    ROWS_SHARE,
    Check,
    CommitResult,
    Committed,
    Conflict,
    Fields,
    Key,
    Rejected,
    Row,
    Transaction,
    Uncertain,
    Write,
    get_store_client,
)

#: The first delay before a write with an uncertain result is retried, ms.  It
#: doubles up to the maximum, so that retries don't overload a slow store.
RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 400


@register_payload
class Written(NamedTuple):
    """The row is stored with this version."""

    version: int


@register_payload
class Rival(NamedTuple):
    """The key holds another row, or none where one was expected."""

    row: Row


@register_payload
class NotWritten(NamedTuple):
    """The row was definitely not written."""


class PendingWrite:
    """A row to write, and its result once that is known."""

    def __init__(self, key: Key, version: int, row: Fields) -> None:
        """Write *row* at *key* if its version is still *version*."""
        self.key = key
        self.version = version
        self.row = row
        self.result: Written | Rival | NotWritten = NotWritten()
        self.settled = trio.Event()

    def settle(self, result: Written | Rival | NotWritten) -> None:
        """Set the result and wake the caller that waits for it."""
        self.result = result
        self.settled.set()


@register
class RowWriter(Control):
    """
    Group commit: while one transaction of a partition runs, writes accumulate.

    The accumulated writes form the next transaction of that partition.  The
    commits of a partition start at least ``store.claim_interval`` apart, so
    that all entry VMs together stay within the write capacity of the table.
    """

    name = 'ledger'
    stage: ClassVar[int] = 6

    def __init__(self, kernel: Host) -> None:
        """Start with empty queues."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.queues: dict[str, deque[PendingWrite]] = {}
        self.interval = kernel.settings['store']['claim_interval']
        self.next_commit_at: dict[str, int] = {}
        self.batches = 0
        self.rows_written = 0
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the commit tasks, one for each partition with pending writes."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def write(
        self,
        key: Key,
        version: int,
        row: Fields,
    ) -> Written | Rival | NotWritten:
        """Write *row*; wait, without a time limit, for a definite result."""
        pending = PendingWrite(key, version, row)
        queue = self.queues.get(key.partition)
        if queue is None:
            self.queues[key.partition] = deque((pending,))
            nursery = cast(trio.Nursery, self.nursery)
            nursery.start_soon(self._commit_queue, key.partition)
        else:
            queue.append(pending)
        await pending.settled.wait()
        return pending.result

    def dump(self) -> Dump:
        """Return the numbers of transactions and rows written."""
        return {
            'batches': self.batches,
            'rows_written': self.rows_written,
        }

    async def _commit_queue(self, partition: str) -> None:
        """Commit the pending writes of *partition* in batches."""
        while self.queues[partition]:
            pause = self.clock.remaining(self.next_commit_at.get(partition, 0))
            await self.clock.sleep(pause)
            self.next_commit_at[partition] = self.clock.now() + self.interval
            batch = self._next_batch(self.queues[partition])
            result = await self._commit(batch)
            if isinstance(result, (Conflict, Uncertain, Rejected)):
                nursery = cast(trio.Nursery, self.nursery)
                nursery.start_soon(self._resolve, batch, result)
            else:
                self._settle_batch(batch, result)
        self.queues.pop(partition)

    def _next_batch(self, queue: deque[PendingWrite]) -> list[PendingWrite]:
        """Take as many writes as a transaction may have, at least one."""
        limits = self.kernel.settings['store']
        max_size = ROWS_SHARE * limits['transaction_limit']
        batch = [queue.popleft()]
        size = self.store.size_of(batch[0].row)
        while queue and len(batch) < limits['claim_batch']:
            size += self.store.size_of(queue[0].row)
            if size > max_size:
                break
            batch.append(queue.popleft())
        return batch

    async def _commit(self, batch: list[PendingWrite]) -> CommitResult:
        if not batch:
            return Committed(ABSENT)
        self.batches += 1
        return await self.store.commit(
            Transaction(
                tuple(Check(pending.key, pending.version) for pending in batch),
                tuple(Write(pending.key, pending.row) for pending in batch),
            ),
        )

    async def _resolve(
        self,
        batch: list[PendingWrite],
        result: CommitResult,
    ) -> None:
        """Settle conflicting writes of *batch* and commit the others again."""
        while isinstance(result, (Conflict, Uncertain)):
            if isinstance(result, Conflict):
                batch = _settle_conflicts(batch, result)
                result = await self._commit(batch)
            else:
                result = await self._retry_until_certain(batch)
        if isinstance(result, Rejected) and len(batch) > 1:
            await self._write_one_by_one(batch)
        else:
            self._settle_batch(batch, result)

    async def _write_one_by_one(self, batch: list[PendingWrite]) -> None:
        """Write what the store accepts of a *batch* that it has rejected."""
        for pending in batch:
            await self._resolve([pending], await self._commit([pending]))

    async def _retry_until_certain(
        self,
        batch: list[PendingWrite],
    ) -> Committed | Conflict | Rejected:
        """
        Commit *batch* again until the result is certain.

        The retry either takes effect or conflicts; the rows of the conflict
        then show whether an earlier attempt wrote them.  Unavailable is not
        conclusive either, since the first attempt may have taken effect.
        """
        pause = RETRY_DELAY_MS
        while True:
            await self.clock.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_DELAY_MS)
            result = await self._commit(batch)
            if isinstance(result, Committed | Conflict | Rejected):
                return result

    def _settle_batch(
        self,
        batch: list[PendingWrite],
        result: CommitResult,
    ) -> None:
        for pending in batch:
            if isinstance(result, Committed):
                self.rows_written += 1
                pending.settle(Written(result.version))
            else:
                pending.settle(NotWritten())


def _settle_conflicts(
    batch: list[PendingWrite],
    conflict: Conflict,
) -> list[PendingWrite]:
    """Settle the writes whose rows have changed; return the others."""
    rows = {row.key: row for row in conflict.rows}
    unchanged = []
    for pending in batch:
        if rows[pending.key].version == pending.version:
            unchanged.append(pending)
        else:
            pending.settle(_result_of(pending, rows[pending.key]))
    return unchanged


def _result_of(pending: PendingWrite, row: Row) -> Written | Rival:
    if row.version != ABSENT and row.fields == pending.row:
        return Written(row.version)
    return Rival(row)
