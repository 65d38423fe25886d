"""
cyclamenshift.peers.stream
==========================

Peer messages over TCP: one task for each peer and each connection.

Every entry VM dials every other one.  What it forwards goes out on the
connection that it dialled, and the answers come back on it.
"""

from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import trio

from ..clock import SECOND_MS
from ..component import Dump
from ..controls.configuration import Configuration
from ..controls.dispatcher import Dispatcher
from ..controls.membership import Membership
from ..decisions.routing import reserve
from ..errors import ProtocolError, StartError
from ..model import (
    EntryVm,
    Load,
    NotRun,
    Outcome,
    Reason,
    Request,
    Unknown,
)
from ..peer import (
    PROTOCOL_VERSION,
    Answer,
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    Forward,
    Greeting,
    Heartbeat,
    Leaving,
    Message,
    Peer,
    Withdraw,
)
from ..plugin import register
from .connection import LOST, Connection, out_of_turn, outcome_of

if TYPE_CHECKING:
    from ..kernel import Kernel

#: The wait before a lost peer is dialled again, ms.
REDIAL_MS = 200
#: How much longer than the deadline an answer may take on its way, ms.
ANSWER_ALLOWANCE_MS = 100

PEER_LOST = Unknown(
    Reason.peer_lost,
    'Ask for the outcome by its idempotency key before trying again.',
)


class Call:
    """A forwarded request that waits for its answer."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.outcome: Outcome = PEER_LOST
        self.settled = trio.Event()

    def settle(self, outcome: Outcome) -> None:
        """Give the answer to the task that waits."""
        self.outcome = outcome
        self.settled.set()


class Link:
    """What is known of one peer, over all connections to it."""

    def __init__(self, entry: EntryVm) -> None:
        """Start unconnected."""
        self.entry = entry
        self.connection: Connection | None = None
        self.loads: dict[str, Load] = {}
        self.calls: dict[str, Call] = {}
        self.leaving = False
        self.lost_count = 0

    def lose(self) -> None:
        """Forget the connection; nobody knows what became of its calls."""
        self.connection = None
        self.loads.clear()
        self.lost_count += 1
        for call in self.calls.values():
            call.settle(PEER_LOST)
        self.calls.clear()


class _Serving(NamedTuple):
    connection: Connection
    nursery: trio.Nursery
    running: dict[str, trio.CancelScope]


@register
class StreamPeer(Peer):
    """Dials, listens, forwards and answers."""

    name = 'stream'

    def __init__(self, kernel: 'Kernel') -> None:
        """Know no peer yet."""
        super().__init__(kernel)
        self.settings = kernel.settings['peers']
        self.configuration = kernel.get(Configuration)
        self.membership = kernel.get(Membership)
        self.links: dict[str, Link] = {}
        self.accepted: set[Connection] = set()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and keep one task for each registered peer."""
        async with trio.open_nursery() as nursery:
            try:
                await nursery.start(
                    partial(
                        trio.serve_tcp,
                        self._accept,
                        self.settings['port'],
                        host=self.settings['host'],
                    ),
                )
            except OSError as error:
                raise StartError(
                    f'peers: can not listen: {error}.',
                    'Free the port, or set another one under peers.',
                ) from error
            task_status.started()
            await self._follow_members(nursery)

    async def drain(self) -> None:
        """Tell every peer that this entry VM leaves."""
        for connection in tuple(self.accepted):
            await connection.try_send(Leaving())

    def reachable(self) -> set[str]:
        """Return the ids of the connected peers that are not leaving."""
        return {
            entry_id
            for entry_id, link in self.links.items()
            if link.connection and not link.leaving
        }

    def loads(self, pool: str) -> dict[str, Load]:
        """Return what the reachable peers' workers of *pool* offer."""
        return {
            entry_id: self.links[entry_id].loads[pool]
            for entry_id in self.reachable()
            if pool in self.links[entry_id].loads
        }

    async def forward(self, entry_id: str, request: Request) -> Outcome:
        """Let a peer's worker run *request*; return the exact outcome."""
        link = self.links.get(entry_id)
        remaining = self.clock.remaining(request.deadline)
        if link is None or link.connection is None or not remaining:
            return NotRun(Reason.peer_lost, 'Try again; an owner has left.')
        call = Call()
        link.calls[request.request_id] = call
        connection = link.connection
        try:
            await connection.send(_forward(request, remaining))
            with self.clock.move_on_after(remaining + ANSWER_ALLOWANCE_MS):
                await call.settled.wait()
        except LOST:
            return PEER_LOST
        finally:
            withdrawn = link.calls.pop(request.request_id, None)
            if withdrawn and not call.settled.is_set():
                connection.post(Withdraw(request.request_id))
        return call.outcome

    def dump(self) -> Dump:
        """Return each peer's connection and calls."""
        return {
            entry_id: {
                'connected': link.connection is not None,
                'leaving': link.leaving,
                'calls': len(link.calls),
                'lost_connections': link.lost_count,
                'heard_ms_ago': (
                    self.clock.now() - link.connection.heard_at
                    if link.connection
                    else None
                ),
            }
            for entry_id, link in self.links.items()
        }

    async def _follow_members(self, nursery: trio.Nursery) -> None:
        scopes: dict[EntryVm, trio.CancelScope] = {}
        while True:
            changed = self.membership.changed
            wanted = set(self.membership.registered.values())
            for entry in scopes.keys() - wanted:
                scopes.pop(entry).cancel()
            for entry in wanted - scopes.keys():
                scopes[entry] = trio.CancelScope()
                nursery.start_soon(self._keep_link, entry, scopes[entry])
            await changed.wait()

    async def _keep_link(self, entry: EntryVm, scope: trio.CancelScope) -> None:
        link = Link(entry)
        self.links[entry.entry_id] = link
        with scope:
            while True:
                await self._dial(link)
                await self.clock.sleep(REDIAL_MS)
        if self.links.get(entry.entry_id) is link:
            self.links.pop(entry.entry_id)

    async def _dial(self, link: Link) -> None:
        silence = self.settings['silence']
        try:
            with trio.fail_after(silence / SECOND_MS):
                stream = await trio.open_tcp_stream(
                    link.entry.host,
                    link.entry.port,
                )
        except (OSError, trio.TooSlowError):
            return
        connection = Connection(stream, self.clock, self.settings)
        try:
            async with connection:
                await self._use(link, connection)
        except* LOST:
            self.log.info('Lost the connection to %s.', link.entry.entry_id)
        except* ProtocolError as errors:
            self._report(errors, link.entry.entry_id)
        finally:
            link.lose()
            self._dispatcher.reconcile()

    async def _use(self, link: Link, connection: Connection) -> None:
        await connection.send(self._greeting())
        _check_greeting(await connection.receive(), link.entry)
        link.connection = connection
        link.leaving = False
        self.log.info('Connected to %s.', link.entry.entry_id)
        self._dispatcher.reconcile()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat, connection, False)
            while True:
                self._take(await connection.receive(), link)

    @singledispatchmethod
    def _take(self, message: Message, link: Link) -> None:
        """Act on a message on a connection that this entry VM dialled."""
        raise out_of_turn(message)

    @_take.register(AnswerDone)
    @_take.register(AnswerNotRun)
    @_take.register(AnswerUnknown)
    def _take_answer(self, message: Answer, link: Link) -> None:
        outcome = outcome_of(message)
        call = link.calls.pop(message.request_id, None)
        if call is None:
            self.kernel.metrics.late_answers.inc(
                {
                    'from': link.entry.entry_id,
                }
            )
        else:
            call.settle(outcome)

    @_take.register
    def _take_heartbeat(self, message: Heartbeat, link: Link) -> None:
        link.loads = {load.pool: load for load in message.loads}
        self.configuration.hint(message.number, message.changes)

    @_take.register
    def _take_leaving(self, message: Leaving, link: Link) -> None:
        link.leaving = True
        self.log.info('%s is leaving.', link.entry.entry_id)
        self._dispatcher.reconcile()

    async def _beat(self, connection: Connection, offer: bool) -> None:
        while True:
            loads = self._dispatcher.loads() if offer else ()
            await connection.send(
                Heartbeat(
                    self.configuration.number,
                    self.configuration.changes_version,
                    loads,
                ),
            )
            await self.clock.sleep(self.settings['heartbeat'])

    async def _accept(self, stream: trio.SocketStream) -> None:
        connection = Connection(stream, self.clock, self.settings)
        try:
            async with connection:
                await self._answer(connection)
        except* LOST:
            self.log.debug('A peer has closed its connection.')
        except* ProtocolError as errors:
            self._report(errors, 'A peer')
        finally:
            self.accepted.discard(connection)

    async def _answer(self, connection: Connection) -> None:
        _check_greeting(await connection.receive(), None)
        await connection.send(self._greeting())
        self.accepted.add(connection)
        if self.kernel.draining:
            await connection.send(Leaving())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat, connection, True)
            serving = _Serving(connection, nursery, {})
            while True:
                self._obey(await connection.receive(), serving)

    @singledispatchmethod
    def _obey(self, message: Message, serving: _Serving) -> None:
        """Act on a message on a connection that this entry VM accepted."""
        raise out_of_turn(message)

    @_obey.register
    def _obey_heartbeat(self, message: Heartbeat, serving: _Serving) -> None:
        self.configuration.hint(message.number, message.changes)

    @_obey.register
    def _obey_forward(self, message: Forward, serving: _Serving) -> None:
        serving.nursery.start_soon(self._run_forward, message, serving)

    @_obey.register
    def _obey_withdraw(self, message: Withdraw, serving: _Serving) -> None:
        scope = serving.running.get(message.request_id)
        if scope:
            scope.cancel()

    async def _run_forward(self, forward: Forward, serving: _Serving) -> None:
        request = Request(
            request_id=forward.request_id,
            service=forward.service,
            work=forward.work,
            body=forward.body,
            content_type=forward.content_type,
            deadline=self.clock.now() + forward.remaining,
            repeatable=forward.repeatable,
            key=forward.key,
        )
        with trio.CancelScope() as scope:
            serving.running[request.request_id] = scope
            try:
                outcome = await self._dispatcher.serve(request)
            finally:
                serving.running.pop(request.request_id)
            await serving.connection.send_answer(request, outcome)

    def _report(self, errors: BaseExceptionGroup[Any], peer: str) -> None:
        for error in errors.exceptions:
            self.log.error('%s: %s', peer, error)

    def _greeting(self) -> Greeting:
        own = self.membership.own
        return Greeting(PROTOCOL_VERSION, own.entry_id, own.incarnation)

    @property
    def _dispatcher(self) -> Dispatcher:
        return self.kernel.get(Dispatcher)


def _forward(request: Request, remaining: int) -> Forward:
    return Forward(
        request_id=request.request_id,
        service=request.service,
        work=request.work,
        body=request.body,
        content_type=request.content_type,
        remaining=remaining,
        repeatable=request.repeatable,
        key=request.key,
    )


def _check_greeting(message: Message, expected: EntryVm | None) -> None:
    greeting = cast(Greeting, message)
    if not isinstance(message, Greeting):
        raise ProtocolError('A peer did not greet.', 'Check peers.port.')
    if greeting.version != PROTOCOL_VERSION:
        raise ProtocolError(
            f'A peer speaks version {greeting.version}.',
            f'Upgrade both entry VMs to version {PROTOCOL_VERSION}.',
        )
    if expected and greeting.incarnation != expected.incarnation:
        raise ProtocolError(
            f'{expected.entry_id} is another process now.',
            'Nothing to do; its new registration is read soon.',
        )
