"""
cyclamenshift.controls.store_access
====================================

The store, reached directly or through a peer that reaches it.

The platform may turn some entry VMs away while it serves the others.  What
one of them wants of the store then goes through a peer; a transaction is
as safe there as here, because its conditions decide.
"""

import itertools
from collections.abc import Sequence
from typing import ClassVar, Final, TypeVar, cast

import trio

from ..component import Dump, Host
from ..control import Control
from ..peer import ChangeReporter, NoReply, Payload, Peer, Reporter
from ..plugin import register
from ..rows import HEAD_KEY
from ..store import (
    CommitResult,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Store,
    StoreClient,
    Transaction,
    Unavailable,
    Uncertain,
)
from ..storemessages import (
    CommitCall,
    FollowCall,
    ReadCall,
    RowsAnswer,
    ScanCall,
    StoreReach,
)

#: How often a store that was lost is tried directly, ms.
PROBE_MS: Final = 400
#: How long a peer may take for a call of the store, ms: as long as the
#: store itself may take.
PEER_WAIT_MS: Final = 2_600

ResultType = TypeVar('ResultType')
NO_PATH: Final = Unavailable('neither this entry VM nor a peer reaches it')


@register
class StoreAccess(Control, StoreClient):
    """Calls the store here, or lets a peer call it."""

    name = 'access'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 5

    def __init__(self, kernel: Host) -> None:
        """Trust the direct path until it fails."""
        super().__init__(kernel)
        self.local = kernel.get(Store)
        self.peer = kernel.get(Peer)
        self.reached = True
        self.peers: dict[str, bool] = {}
        self.turns = itertools.count()
        self.relayed = 0
        self._lost = trio.Event()
        self.peer.add_listener(StoreReach, self._take_reach)
        self.peer.add_reporter(self._news)
        self.peer.add_call_handler(ReadCall, self._answer_read)
        self.peer.add_call_handler(ScanCall, self._answer_scan)
        self.peer.add_call_handler(FollowCall, self._answer_follow)
        self.peer.add_call_handler(CommitCall, self._answer_commit)

    @property
    def usable(self) -> bool:
        """Whether the store is reached from here, or through a peer."""
        return self.reached or bool(self._relays())

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Try the direct path again while it is lost."""
        task_status.started()
        while True:
            await self._lost.wait()
            await self.clock.sleep(PROBE_MS)
            self._note(await self.local.read([HEAD_KEY]))

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        if self._direct():
            rows = self._note(await self.local.read(keys))
            if not isinstance(rows, Unavailable):
                return rows
        answer = await self._ask(ReadCall(tuple(keys)))
        return list(answer.rows) if isinstance(answer, RowsAnswer) else NO_PATH

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one part of a table."""
        if self._direct():
            found = self._note(await self.local.scan(table, partition))
            if not isinstance(found, Unavailable):
                return found
        answer = await self._ask(ScanCall(table, partition))
        return answer if isinstance(answer, Snapshot) else NO_PATH

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        if self._direct():
            found = self._note(await self.local.follow(table, version, wait))
            if not isinstance(found, Unavailable):
                return found
        answer = await self._ask(FollowCall(table, version, wait), wait)
        if isinstance(answer, Snapshot | HistoryLost):
            return answer
        return NO_PATH

    async def commit(self, transaction: Transaction) -> CommitResult:
        """
        Apply *transaction* whole, or not at all.

        After an uncertain result the caller settles it by the same
        transaction, which then goes another way.
        """
        if self._direct():
            result = self._note(await self.local.commit(transaction))
            if not isinstance(result, Unavailable):
                return result
        answer = await self._ask(CommitCall(transaction))
        if isinstance(answer, NoReply):
            return Uncertain(answer.reason) if answer.sent else NO_PATH
        return cast(CommitResult, answer)

    def dump(self) -> Dump:
        """Return who reaches the store."""
        return {
            'reached': self.reached,
            'peers': self.peers,
            'relayed': self.relayed,
        }

    def _direct(self) -> bool:
        """Return whether a call should go to the store from here."""
        return self.reached or not self._relays()

    def _relays(self) -> list[str]:
        reachable = self.peer.reachable()
        return sorted(
            entry_id
            for entry_id, reached in self.peers.items()
            if reached and entry_id in reachable
        )

    async def _ask(self, call: Payload, wait: int = 0) -> Payload | NoReply:
        relays = self._relays()
        if not relays:
            return NoReply(sent=False, reason=NO_PATH.reason)
        relay = relays[next(self.turns) % len(relays)]
        self.relayed += 1
        answer = await self.peer.call(relay, call, wait + PEER_WAIT_MS)
        if isinstance(answer, NoReply):
            self.peers[relay] = False
        return answer

    def _note(self, result: ResultType) -> ResultType:
        """Learn from *result* whether the direct path works."""
        reached = not isinstance(result, Unavailable | Uncertain)
        if reached != self.reached:
            self.reached = reached
            self._tell(result)
        return result

    def _tell(self, result: object) -> None:
        if self.reached:
            self._lost = trio.Event()
            self.log.note('Regained the store.')
        else:
            self._lost.set()
            self.log.warning(
                'Lost the store.',
                reason=str(getattr(result, 'reason', '')),
                relays=self._relays(),
            )
        self.peer.flush_updates()

    def _take_reach(self, entry_id: str, news: StoreReach) -> None:
        self.peers[entry_id] = news.reached

    def _news(self) -> Reporter:
        return ChangeReporter(lambda: StoreReach(self.reached))

    async def _answer_read(self, entry_id: str, call: ReadCall) -> Payload:
        rows = self._note(await self.local.read(call.keys))
        return RowsAnswer(tuple(rows)) if isinstance(rows, list) else rows

    async def _answer_scan(self, entry_id: str, call: ScanCall) -> Payload:
        return self._note(await self.local.scan(*call))

    async def _answer_follow(self, entry_id: str, call: FollowCall) -> Payload:
        return self._note(await self.local.follow(*call))

    async def _answer_commit(self, entry_id: str, call: CommitCall) -> Payload:
        return self._note(await self.local.commit(call.transaction))
