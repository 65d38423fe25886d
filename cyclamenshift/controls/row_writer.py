"""
cyclamenshift.controls.row_writer
=============================

Writes rows, many in one transaction, until the result is certain.
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
    Check,
    CommitResult,
    Committed,
    Conflict,
    Fields,
    Key,
    Row,
    Transaction,
    Uncertain,
    Write,
    get_store_client,
)

#: The wait before a lost answer is asked for again, ms, and how long it may
#: grow: a slow store is not to be flooded.
SETTLE_DELAY_MS = 100
LONGEST_SETTLE_DELAY_MS = 400


@register_payload
class Written(NamedTuple):
    """The row is in the table, under this version."""

    version: int


@register_payload
class Rival(NamedTuple):
    """Another row stands there, or none where one was expected."""

    row: Row


@register_payload
class NotWritten(NamedTuple):
    """The row was certainly not written."""


class Entry:
    """One row to write, and its result once that is certain."""

    def __init__(self, key: Key, version: int, row: Fields) -> None:
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
class RowWriter(Control):
    """
    Commits, for each part, what has gathered while the last commit ran.

    Two commits of a part start at least ``store.claim_interval`` apart, so
    that many entry VMs together stay within what the table can write.
    """

    name = 'ledger'
    stage: ClassVar[int] = 6

    def __init__(self, kernel: Host) -> None:
        """Start with nothing to write."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.lanes: dict[str, deque[Entry]] = {}
        self.interval = kernel.settings['store']['claim_interval']
        self.next_at: dict[str, int] = {}
        self.batches = 0
        self.rows_written = 0
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Hold the tasks that commit, one for each part in use."""
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
        """Write *row* and return the certain result, however long it takes."""
        entry = Entry(key, version, row)
        lane = self.lanes.get(key.partition)
        if lane is None:
            self.lanes[key.partition] = deque((entry,))
            nursery = cast(trio.Nursery, self.nursery)
            nursery.start_soon(self._commit_lane, key.partition)
        else:
            lane.append(entry)
        await entry.settled.wait()
        return entry.result

    def dump(self) -> Dump:
        """Return counts of transactions and rows."""
        return {
            'batches': self.batches,
            'rows_written': self.rows_written,
        }

    async def _commit_lane(self, partition: str) -> None:
        """Commit batch after batch of *part*, until nothing waits."""
        while self.lanes[partition]:
            pause = self.clock.remaining(self.next_at.get(partition, 0))
            await self.clock.sleep(pause)
            self.next_at[partition] = self.clock.now() + self.interval
            batch = self._gather(self.lanes[partition])
            result = await self._commit(batch)
            if isinstance(result, (Conflict, Uncertain)):
                nursery = cast(trio.Nursery, self.nursery)
                nursery.start_soon(self._resolve, batch, result)
            else:
                self._tell(batch, result)
        self.lanes.pop(partition)

    def _gather(self, lane: deque[Entry]) -> list[Entry]:
        limit = self.kernel.settings['store']['claim_batch']
        return [lane.popleft() for _taken in range(min(limit, len(lane)))]

    async def _commit(self, batch: list[Entry]) -> CommitResult:
        if not batch:
            return Committed(ABSENT)
        self.batches += 1
        return await self.store.commit(
            Transaction(
                tuple(Check(entry.key, entry.version) for entry in batch),
                tuple(Write(entry.key, entry.row) for entry in batch),
            ),
        )

    async def _resolve(self, batch: list[Entry], result: CommitResult) -> None:
        """Find out what became of a batch, and commit what is left of it."""
        while isinstance(result, (Conflict, Uncertain)):
            if isinstance(result, Conflict):
                batch = _settle_moved(batch, result)
                result = await self._commit(batch)
            else:
                result = await self._insist(batch)
        self._tell(batch, result)

    async def _insist(self, batch: list[Entry]) -> Committed | Conflict:
        """
        Try the same writes again until it is certain what became of them.

        They take effect now, or meet rows, which then show whose they are.
        An Unavailable settles nothing: the first try may have worked.
        """
        pause = SETTLE_DELAY_MS
        while True:
            await self.clock.sleep(pause)
            pause = min(pause * 2, LONGEST_SETTLE_DELAY_MS)
            result = await self._commit(batch)
            if isinstance(result, (Committed, Conflict)):
                return result

    def _tell(self, batch: list[Entry], result: CommitResult) -> None:
        for entry in batch:
            if isinstance(result, Committed):
                self.rows_written += 1
                entry.settle(Written(result.version))
            else:
                entry.settle(NotWritten())


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
