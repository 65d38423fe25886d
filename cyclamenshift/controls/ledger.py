"""
cyclamenshift.controls.ledger
=============================

Writes claim rows, many in one transaction, until the result is certain.
"""

from typing import ClassVar, NamedTuple

import trio

from ..component import Dump, Host
from ..control import Control
from ..store import (
    ABSENT,
    Check,
    Committed,
    CommitResult,
    Conflict,
    Key,
    Store,
    Row,
    Transaction,
    Uncertain,
    Write,
)
from ..plugin import register
from ..rows import ClaimRow

#: The wait before a lost answer is asked for again, ms.
SETTLE_DELAY_MS = 100
#: How many writes may wait for the next transaction.
BACKLOG = 10_000


class Written(NamedTuple):
    """The row is in the table, under this version."""

    version: int


class Rival(NamedTuple):
    """Another row stands there, or none where one was expected."""

    row: Row


class NotWritten(NamedTuple):
    """The row was certainly not written."""


class Entry:
    """One row to write, and its result once that is certain."""

    def __init__(self, key: Key, version: int, row: ClaimRow) -> None:
        """Write *row* at *key* if its version is still *version*."""
        self.key = key
        self.version = version
        self.row = row
        self.result: Written | Rival | NotWritten = NotWritten()
        self.settled = trio.Event()

    def settle(self, result: Written | Rival | NotWritten) -> None:
        """Give the certain result to whoever waits."""
        self.result = result
        self.settled.set()


@register
class Ledger(Control):
    """
    One task commits what has gathered while the last commit ran.

    Two commits start at least ``store.claim_interval`` apart, so that
    many entry VMs together stay within what the table can write.
    """

    name = 'ledger'
    stage: ClassVar[int] = 2

    def __init__(self, kernel: Host) -> None:
        """Start with nothing to write."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        channel = trio.open_memory_channel[Entry](BACKLOG)
        self.pending = channel[0]
        self._entries = channel[1]
        self.interval = kernel.settings['store']['claim_interval']
        self.next_at = 0
        self.batches = 0
        self.rows_written = 0
        self.unsettled = 0

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Commit batch after batch; lost answers are settled aside."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            async for first in self._entries:
                await self.clock.sleep(self.clock.remaining(self.next_at))
                self.next_at = self.clock.now() + self.interval
                batch = self._gather(first)
                result = await self._commit(batch)
                if isinstance(result, (Conflict, Uncertain)):
                    nursery.start_soon(self._resolve, batch, result)
                else:
                    self._tell(batch, result)

    async def write(
        self,
        key: Key,
        version: int,
        row: ClaimRow,
    ) -> Written | Rival | NotWritten:
        """Write *row* and return the certain result, however long it takes."""
        entry = Entry(key, version, row)
        await self.pending.send(entry)
        await entry.settled.wait()
        return entry.result

    def dump(self) -> Dump:
        """Return counts of transactions and rows."""
        return {
            'batches': self.batches,
            'rows_written': self.rows_written,
            'unsettled': self.unsettled,
        }

    def _gather(self, first: Entry) -> list[Entry]:
        batch = [first]
        limit = self.kernel.settings['store']['claim_batch']
        while len(batch) < limit:
            try:
                batch.append(self._entries.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

    async def _commit(self, batch: list[Entry]) -> CommitResult:
        self.batches += 1
        return await self.store.commit(
            Transaction(
                tuple(Check(entry.key, entry.version) for entry in batch),
                tuple(Write(entry.key, entry.row) for entry in batch),
            ),
        )

    async def _resolve(self, batch: list[Entry], result: CommitResult) -> None:
        while isinstance(result, Conflict):
            batch = _settle_moved(batch, result)
            if not batch:
                return
            result = await self._commit(batch)
        if isinstance(result, Uncertain):
            await self._settle(batch)
        else:
            self._tell(batch, result)

    def _tell(self, batch: list[Entry], result: CommitResult) -> None:
        for entry in batch:
            if isinstance(result, Committed):
                self.rows_written += 1
                entry.settle(Written(result.version))
            else:
                entry.settle(NotWritten())

    async def _settle(self, batch: list[Entry]) -> None:
        """
        Find out what became of a transaction whose answer was lost.

        The same writes are tried again one by one: each either takes
        effect now, or meets a row, which then shows whose it is.  An
        Unavailable settles nothing here: the first try may have worked.
        """
        self.unsettled += len(batch)
        for entry in batch:
            await self._settle_one(entry)
            self.unsettled -= 1

    async def _settle_one(self, entry: Entry) -> None:
        while not entry.settled.is_set():
            await self.clock.sleep(SETTLE_DELAY_MS)
            result = await self._commit([entry])
            if isinstance(result, Committed):
                self._tell([entry], result)
            elif isinstance(result, Conflict):
                _settle_moved([entry], result)


def _settle_moved(batch: list[Entry], conflict: Conflict) -> list[Entry]:
    """Settle the entries whose rows have moved; return the others."""
    rows = {row.key: row for row in conflict.rows}
    rest = []
    for entry in batch:
        if rows[entry.key].version == entry.version:
            rest.append(entry)
        else:
            entry.settle(_verdict(entry, rows[entry.key]))
    return rest


def _verdict(entry: Entry, row: Row) -> Written | Rival:
    if row.version != ABSENT and row.fields == entry.row:
        return Written(row.version)
    return Rival(row)
