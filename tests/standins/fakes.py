"""
tests.standins.fakes
====================

Fakes at the interfaces, for several entry VMs in one trio run.

They follow virtual time and fail by a script: the store client loses
or refuses the calls that the script names, the network cuts or silences
streams, and the workers keep a ledger of what they ran.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Generic, NamedTuple, Protocol, TypeVar

import trio
from trio.abc import Stream
from trio.testing import (
    MemoryReceiveStream,
    MemorySendStream,
    memory_stream_pair,
)

from cyclamenshift import kernel, startup
from cyclamenshift.clock import Clock
from cyclamenshift.component import Component
from cyclamenshift.control import Control
from cyclamenshift.controls.claims import Claims
from cyclamenshift.controls.configuration import Configuration
from cyclamenshift.controls.dispatcher import Dispatcher
from cyclamenshift.controls.pools import PoolOperations
from cyclamenshift.endpoint import Endpoint
from cyclamenshift.frontends.callers import CallerFrontend
from cyclamenshift.model import (
    Done,
    EntryVm,
    NotRun,
    Outcome,
    Reason,
    Request,
    Unknown,
    Vm,
)
from cyclamenshift.peers.stream import StreamPeer
from cyclamenshift.store import (
    CommitResult,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
)
from cyclamenshift.table import Table

from ..builders import WALL_START, entry_settings, fleet_texts

MemoryStream = trio.StapledStream[MemorySendStream, MemoryReceiveStream]
ReadType = TypeVar('ReadType')

#: The most checks and writes in one transaction; the platform's limit.
ENTRY_LIMIT = 100
#: How long a lost answer of the store is waited for, ms.
LOST_WAIT_MS = 2_000
#: How long the transactions of a partition may wait for their turn, ms.
PART_QUEUE_MS = 1_000
#: How long one call of the store takes, ms.
STORE_CALL_MS = 3
#: How long a worker runs a request that does not say, ms.
DEFAULT_RUN_MS = 10
#: How long a message takes from one entry VM to another, ms.
HOP_MS = 2


class SharedStore:
    """The store behind every client: its rows, and how it fails."""

    def __init__(self) -> None:
        """Start empty and up."""
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.delay = STORE_CALL_MS
        self.transaction_ms = 0
        self.cut_off: set[str] = set()
        self.hung_tables: set[str] = set()
        self._busy_until: dict[str, float] = {}

    def queue_up(self, partition: str) -> float | None:
        """Return when a transaction on *part* ends, s; None if it is full."""
        now = trio.current_time()
        begins = max(now, self._busy_until.get(partition, now))
        if begins - now > PART_QUEUE_MS / 1000:
            return None
        self._busy_until[partition] = begins + self.transaction_ms / 1000
        return self._busy_until[partition]


class FakeStore(Store):
    """A client of the store that all entry VMs share."""

    name = 'fake'
    store: SharedStore

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        return await self._guard(lambda: self.store.table.read(keys))

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one part of a table."""
        return await self._guard(
            lambda: self.store.table.scan(table, partition),
        )

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the changed rows; looks again with each call's time."""
        if table in self.store.hung_tables:
            await self.clock.sleep(LOST_WAIT_MS)
            return Unavailable('no answer')
        until = self.clock.now() + wait
        changes = partial(self.store.table.changes, table, version)
        result = await self._guard(changes)
        while _is_empty(result) and self.clock.now() < until:
            result = await self._guard(changes)
        return result

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction*; its answer may be lost by the script."""
        await self.clock.sleep(self.store.delay)
        if self._unreachable():
            return Unavailable('down')
        if len(transaction.checks) + len(transaction.writes) > ENTRY_LIMIT:
            return Unavailable('too many entries')
        if not await self._take_turn(transaction):
            return Unavailable('busy')
        result = self.store.table.commit(transaction)
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            await self.clock.sleep(LOST_WAIT_MS)
            return Uncertain('lost')
        return result

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*."""
        await self.clock.sleep(self.store.delay)
        if self._unreachable():
            return False
        self.store.objects[name] = body
        return True

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object."""
        return await self._guard(lambda: self.store.objects[name])

    async def _take_turn(self, transaction: Transaction) -> bool:
        """Wait for the transactions before; return whether there was room."""
        entries = transaction.writes or transaction.checks
        ends = self.store.queue_up(entries[0].key.partition)
        if ends is None:
            return False
        await trio.sleep_until(ends)
        return True

    async def _guard(
        self,
        reader: Callable[[], ReadType],
    ) -> ReadType | Unavailable:
        await self.clock.sleep(self.store.delay)
        return Unavailable('down') if self._unreachable() else reader()

    def _unreachable(self) -> bool:
        entry_id = self.kernel.settings['entry']['id']
        return self.store.down or entry_id in self.store.cut_off


class Run(NamedTuple):
    """One run of a request at a worker."""

    worker: str
    request_id: str
    key: str
    kind: str
    started_at: float


class RequestWorkers:
    """The workers behind every endpoint client, and their ledger."""

    def __init__(self) -> None:
        """Start with healthy, idle workers."""
        self.runs: list[Run] = []
        self.running: Counter[str] = Counter()
        self.run_ms: dict[str, int] = {}
        self.modes: dict[str, str] = {}
        self.refusals = 0

    def count_runs(self, key: str) -> int:
        """Return how often the work with this idempotency key ran."""
        return sum(1 for run in self.runs if run.key == key)


class FakeEndpoint(Endpoint):
    """Runs requests at the shared workers."""

    name = 'fake'
    workers: RequestWorkers

    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Run *request* as the mode of *worker* says."""
        remaining = self.clock.remaining(request.deadline)
        outcome: Outcome = Unknown(Reason.deadline, 'ask')
        with self.clock.move_on_after(remaining):
            outcome = await self._run(worker, request)
        return outcome

    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return how many requests *worker* runs."""
        return self.workers.running[worker.vm_id]

    async def _run(self, worker: Vm, request: Request) -> Outcome:
        workers = self.workers
        mode = workers.modes.get(worker.vm_id, 'ok')
        if mode == 'gone':
            return NotRun(Reason.unreachable, 'try again')
        if workers.running[worker.vm_id] >= worker.slots:
            workers.refusals += 1
            return NotRun(Reason.refused, 'try again')
        workers.runs.append(
            Run(
                worker.vm_id,
                request.request_id,
                request.key,
                request.kind,
                trio.current_time(),
            ),
        )
        if mode == 'fail':
            return Done(500, '', b'failed')
        workers.running[worker.vm_id] += 1
        try:
            await self.clock.sleep(
                workers.run_ms.get(request.kind, DEFAULT_RUN_MS)
            )
        finally:
            workers.running[worker.vm_id] -= 1
        if mode == 'silent':
            await trio.sleep_forever()
        if mode == 'lost':
            return Unknown(Reason.answer_lost, 'ask')
        return Done(200, request.content_type, request.body)


class Network:
    """Connects the entry VMs of one trio run, and can cut them apart."""

    def __init__(self) -> None:
        """Start whole."""
        self.peers: dict[str, 'FakePeer'] = {}
        self.silenced: set[str] = set()
        self.disconnected: set[str] = set()

    def silent(self, entry_id: str) -> bool:
        """Return whether the open connections of *entry_id* are lost."""
        return entry_id in self.silenced


class FakePeer(StreamPeer):
    """Peer streams in memory; everything above the stream is real."""

    name = 'fake'
    network: Network

    async def listen(self, nursery: trio.Nursery) -> None:
        """Let the others reach this entry VM through the network."""
        self.nursery = nursery
        self.network.peers[self.membership.own.entry_id] = self

    @property
    def ended(self) -> bool:
        """Whether its process takes no connection any more."""
        return self.nursery.cancel_scope.cancel_called

    async def open_stream(self, entry: EntryVm) -> Stream:
        """Return a stream to *entry*; raises OSError when it is cut off."""
        await self.clock.sleep(HOP_MS)
        target = self.network.peers.get(entry.entry_id)
        ends = {entry.entry_id, self.membership.own.entry_id}
        if target is None or target.ended or ends & self.network.disconnected:
            raise OSError('no route')
        near, far = memory_stream_pair()
        self._delay(near, target)
        self._delay(far, target)
        target.nursery.start_soon(target.accept, far)
        return near

    def _delay(self, stream: MemoryStream, target: 'FakePeer') -> None:
        pump = stream.send_stream.send_all_hook
        pump_close = stream.send_stream.close_hook
        network = self.network
        ends = {
            target.membership.own.entry_id,
            self.membership.own.entry_id,
        }
        opened_silenced = ends & network.silenced

        async def deliver() -> None:
            await self.clock.sleep(HOP_MS)
            if ends & network.disconnected:
                raise trio.BrokenResourceError
            if ends & network.silenced - opened_silenced:
                return
            if pump is not None:
                await pump()

        def close() -> None:
            lost = ends & (
                network.disconnected | network.silenced - opened_silenced
            )
            if pump_close is not None and not lost:
                pump_close()

        stream.send_stream.send_all_hook = deliver
        stream.send_stream.close_hook = close


class RequestEntry(NamedTuple):
    """One entry VM of a cluster, with the components that tests use."""

    kernel: kernel.Kernel
    callers: CallerFrontend
    claims: Claims
    configuration: Configuration
    dispatcher: Dispatcher
    pools: PoolOperations
    scope: trio.CancelScope


class Scoped(Protocol):
    """An entry VM that a test can end."""

    @property
    def scope(self) -> trio.CancelScope:
        """The scope that its process runs in."""
        raise NotImplementedError


EntryType = TypeVar('EntryType', bound=Scoped)


class EntryGroup(Generic[EntryType]):
    """Several entry VMs over one store and one network."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without an entry VM."""
        self.nursery = nursery
        self.store = SharedStore()
        self.network = Network()
        self.entries: dict[str, EntryType] = {}

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Let virtual time pass until *condition* holds."""
        with trio.fail_after(600):
            while not condition():
                await trio.sleep(0.01)

    def kill(self, entry_id: str) -> None:
        """End an entry VM at once, as if its machine were gone."""
        self.network.peers.pop(entry_id, None)
        self.entries.pop(entry_id).scope.cancel()


class RequestCluster(EntryGroup[RequestEntry]):
    """Several entry VMs over one store, one network and one set of workers."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without an entry VM."""
        super().__init__(nursery)
        self.workers = RequestWorkers()

    async def start(
        self, entry_id: str, **changes: dict[str, object]
    ) -> RequestEntry:
        """Start one entry VM and return it when it has started."""
        kernel.load_plugins()
        process = kernel.build(
            entry_settings(entry_id, **changes),
            Clock(WALL_START),
            self._members(),
        )
        scope = trio.CancelScope()
        await self.nursery.start(run_in, scope, process.run)
        entry = RequestEntry(
            process,
            process.get(CallerFrontend),
            process.get(Claims),
            process.get(Configuration),
            process.get(Dispatcher),
            process.get(PoolOperations),
            scope,
        )
        self.entries[entry_id] = entry
        return entry

    async def start_all(
        self,
        count: int,
        pools: dict[str, int] | None = None,
    ) -> list[RequestEntry]:
        """Start *count* entry VMs with a fleet, and let them meet."""
        entries = [
            await self.start(f'entry-{number}')
            for number in range(1, count + 1)
        ]
        await startup.apply_initial_config(
            entries[0].kernel,
            fleet_texts(pools),
        )
        await self.wait_until(lambda: self.all_connected(count))
        return entries

    def all_connected(self, count: int) -> bool:
        """Return whether all know the fleet and each other."""
        return all(
            entry.configuration.ready
            and len(entry.dispatcher.peer.reachable()) == count - 1
            for entry in self.entries.values()
        )

    def _members(self) -> list[type[Component]]:
        cluster = self

        class BoundStore(FakeStore):
            store = cluster.store

        class BoundEndpoint(FakeEndpoint):
            workers = cluster.workers

        class BoundPeer(FakePeer):
            network = cluster.network

        class BoundCallers(CallerFrontend):
            async def run(
                self,
                task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
            ) -> None:
                await Component.run(self, task_status)

            async def drain(self) -> None:
                """Close at once; nothing listens."""

        return [
            BoundStore,
            BoundEndpoint,
            BoundPeer,
            BoundCallers,
            *startup.components_for(Control, 'requests'),
        ]


async def run_in(
    scope: trio.CancelScope,
    run: Callable[..., Awaitable[None]],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run something inside a scope that a test can cancel."""
    with scope:
        await run(task_status)


def _is_empty(result: Snapshot | HistoryLost | Unavailable) -> bool:
    return isinstance(result, Snapshot) and not result.rows
