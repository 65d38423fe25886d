"""
cyclamenshift.controls.store_access
===================================

Access to the store, either directly or relayed by a peer.

The platform may reject some entry VMs while it serves the others.  An entry
VM that is rejected relays its store calls through a peer.  Relaying a
transaction is safe: its version checks are evaluated by the store itself.
"""

import itertools
from collections.abc import Sequence
from functools import singledispatch
from typing import ClassVar, Final, TypeVar, cast

import trio

from ..component import Dump, Host
from ..control import Control
from ..peer import ChangeReporter, NoReply, Payload, Peer, Reporter
from ..plugin import register
from ..rows import HEAD_KEY
from ..store import (
    CommitResult,
    Fields,
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
from .relayed_read import RelayedRead

#: The interval at which a lost direct path to the store is probed, ms.
PROBE_INTERVAL_MS: Final = 400
#: The timeout of a relayed store call, ms: the time that the store itself
#: may take.
PEER_TIMEOUT_MS: Final = 2_600
#: The same for the scan of a table, ms.  A relay that has gone is noticed by
#: the silence of its connection long before.
SCAN_TIMEOUT_MS: Final = 10_000
#: The most relays that are asked for one read.
MAX_RELAYS: Final = 3
#: How long a relay that gave no reply is not asked again, ms.
RELAY_PAUSE_MS: Final = 2_000

ResultType = TypeVar('ResultType')
UNREACHABLE: Final = Unavailable('neither this entry VM nor a peer reaches it')


@register
class StoreAccess(Control, StoreClient):
    """Calls the store directly, or through a peer when that fails."""

    name = 'access'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 5

    def __init__(self, kernel: Host) -> None:
        """Register with the peers; the direct path is assumed to work."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.peer = kernel.get(Peer)
        self.store_reachable = True
        self.reachable_from: dict[str, bool] = {}
        self.paused_until: dict[str, int] = {}
        self.round_robin = itertools.count()
        self.relayed_calls = 0
        self._direct_path_lost = trio.Event()
        self.peer.add_listener(StoreReach, self._on_store_reach)
        self.peer.add_reporter(self._make_reporter)
        self.peer.add_call_handler(ReadCall, self._on_read_call)
        self.peer.add_call_handler(ScanCall, self._on_scan_call)
        self.peer.add_call_handler(FollowCall, self._on_follow_call)
        self.peer.add_call_handler(CommitCall, self._on_commit_call)

    @property
    def usable(self) -> bool:
        """Whether the store is reachable directly or through a peer."""
        return self.store_reachable or bool(self._relays())

    def size_of(self, fields: Fields) -> int:
        """Return the size of a row as the store counts it, bytes."""
        return self.store.size_of(fields)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Probe the direct path while it is lost."""
        task_status.started()
        while True:
            await self._direct_path_lost.wait()
            await self.clock.sleep(PROBE_INTERVAL_MS)
            self._record_reachability(await self.store.read([HEAD_KEY]))

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        if self._use_direct_path():
            rows = self._record_reachability(await self.store.read(keys))
            if not isinstance(rows, Unavailable):
                return rows
        reply = await self._relay_read(ReadCall(tuple(keys)))
        return (
            list(reply.rows) if isinstance(reply, RowsAnswer) else UNREACHABLE
        )

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table."""
        if self._use_direct_path():
            found = self._record_reachability(
                await self.store.scan(table, partition),
            )
            if not isinstance(found, Unavailable):
                return found
        reply = await self._relay_read(ScanCall(table, partition))
        return reply if isinstance(reply, Snapshot) else UNREACHABLE

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        deadline = self.clock.now() + wait
        if self._use_direct_path():
            found = self._record_reachability(
                await self.store.follow(table, version, wait),
            )
            if not isinstance(found, Unavailable):
                return found
        remaining = self.clock.remaining(deadline)
        reply = await self._relay_read(
            FollowCall(table, version, remaining), remaining
        )
        if isinstance(reply, Snapshot | HistoryLost):
            return reply
        return UNREACHABLE

    async def commit(self, transaction: Transaction) -> CommitResult:
        """
        Apply *transaction* atomically.

        After an uncertain result the caller commits the same transaction
        again, which then takes a different path to the store.
        """
        if self._use_direct_path():
            result = self._record_reachability(
                await self.store.commit(transaction),
            )
            if not isinstance(result, Unavailable):
                return result
        reply = await self._relay(CommitCall(transaction))
        if isinstance(reply, NoReply):
            return Uncertain(reply.reason) if reply.sent else UNREACHABLE
        return cast(CommitResult, reply)

    def dump(self) -> Dump:
        """Return which entry VMs can reach the store."""
        return {
            'reached': self.store_reachable,
            'peers': self.reachable_from,
            'relayed': self.relayed_calls,
        }

    def _use_direct_path(self) -> bool:
        """Return whether to call the store directly."""
        return self.store_reachable or not self._relays()

    def _relays(self) -> list[str]:
        """Return the peers that reach the store, and did reply lately."""
        reachable = self.peer.reachable()
        relays = sorted(
            entry_id
            for entry_id, reached in self.reachable_from.items()
            if reached and entry_id in reachable
        )
        now = self.clock.now()
        rested = [
            relay for relay in relays if self.paused_until.get(relay, 0) <= now
        ]
        return rested or relays

    def _next_relays(self, count: int) -> list[str]:
        """Return at most *count* relays, each time others first."""
        relays = self._relays()
        if not relays:
            return []
        start = next(self.round_robin) % len(relays)
        return [*relays[start:], *relays[:start]][:count]

    async def _relay_read(
        self, call: Payload, wait: int = 0
    ) -> Payload | Unavailable:
        """Return the first useful reply to a read that the store may hold."""
        relayed = RelayedRead(self.clock, self._call_relay)
        relays = self._next_relays(MAX_RELAYS)
        reply = await relayed.run(relays, call, wait)
        return UNREACHABLE if reply is None else reply

    async def _relay(self, call: Payload) -> Payload | NoReply:
        relays = self._next_relays(1)
        if not relays:
            return NoReply(sent=False, reason=UNREACHABLE.reason)
        return await self._call_relay(relays[0], call, 0)

    async def _call_relay(
        self, relay: str, call: Payload, wait: int
    ) -> Payload | NoReply:
        self.relayed_calls += 1
        asked_at = self.clock.now()
        timeout = wait + _reply_timeout(call)
        reply = await self.peer.call(relay, call, timeout)
        self._record_relayed(relay, call, reply, asked_at)
        if isinstance(reply, NoReply):
            self.paused_until[relay] = self.clock.now() + RELAY_PAUSE_MS
        return reply

    def _record_relayed(
        self,
        relay: str,
        call: Payload,
        reply: Payload | NoReply,
        asked_at: int,
    ) -> None:
        """Count a relayed call, and log one that failed."""
        operation = type(call).__name__
        result = type(reply).__name__
        self.kernel.metrics.store_calls.inc(
            {'operation': f'relayed {operation}', 'result': result},
        )
        if isinstance(reply, NoReply | Unavailable):
            self.log.note(
                'Relayed store call failed.',
                relay=relay,
                call=operation,
                result=result,
                reason=reply.reason,
                took_ms=self.clock.now() - asked_at,
            )

    def _record_reachability(self, result: ResultType) -> ResultType:
        """Record whether *result* shows that the direct path works."""
        reached = not isinstance(result, Unavailable | Uncertain)
        if reached != self.store_reachable:
            self.store_reachable = reached
            self._report_reachability(result)
        return result

    def _report_reachability(self, result: object) -> None:
        if self.store_reachable:
            self._direct_path_lost = trio.Event()
            self.log.note('The store is reachable directly again.')
        else:
            self._direct_path_lost.set()
            self.log.warning(
                'The store is not reachable directly.',
                reason=str(getattr(result, 'reason', '')),
                relays=self._relays(),
            )
        self.peer.flush_updates()

    def _on_store_reach(self, entry_id: str, reach: StoreReach) -> None:
        self.reachable_from[entry_id] = reach.reached

    def _make_reporter(self) -> Reporter:
        return ChangeReporter(lambda: StoreReach(self.store_reachable))

    async def _on_read_call(self, entry_id: str, call: ReadCall) -> Payload:
        rows = self._record_reachability(await self.store.read(call.keys))
        return RowsAnswer(tuple(rows)) if isinstance(rows, list) else rows

    async def _on_scan_call(self, entry_id: str, call: ScanCall) -> Payload:
        return self._record_reachability(await self.store.scan(*call))

    async def _on_follow_call(self, entry_id: str, call: FollowCall) -> Payload:
        return self._record_reachability(await self.store.follow(*call))

    async def _on_commit_call(self, entry_id: str, call: CommitCall) -> Payload:
        return self._record_reachability(
            await self.store.commit(call.transaction),
        )


@singledispatch
def _reply_timeout(call: Payload) -> int:
    """Return how long a relay may take beyond the hold of a read, ms."""
    return PEER_TIMEOUT_MS


@_reply_timeout.register
def _scan_timeout(call: ScanCall) -> int:
    return SCAN_TIMEOUT_MS
