"""
cyclamenshift.peers.stream
==========================

Peer messages over TCP, with one task for each peer and each connection.

An entry VM connects to the peers that it watches, and to others while it has
something to send.  On the connection that it opened it sends its calls and
receives the replies and the status updates.
"""

from collections.abc import Callable, Mapping
from functools import partial

import trio
from trio.abc import Stream

from ..component import Dump, Host
from ..controls.membership import Membership
from ..decisions.heartbeats import Watch
from ..errors import ProtocolError, StartError
from ..model import EntryVm
from ..peer import CallHandler, Listener, NoReply, Payload, Peer, Reporter
from ..plugin import register
from .calls import NOT_CONNECTED, TIMED_OUT
from .connection import CONNECTION_ERRORS, KIND_PREFIX
from .context import PeerContext
from .inbound import InboundSession
from .keepalive import send_heartbeats
from .link import Link
from .links import LinkTable


@register
class StreamPeer(Peer):
    """Accepts connections, and keeps a link to each registered peer."""

    name = 'stream'

    def __init__(self, kernel: Host) -> None:
        """Start without links to peers."""
        super().__init__(kernel)
        self.settings = kernel.settings['peers']
        self.membership = kernel.get(Membership)
        self.context = PeerContext(kernel, self.membership.own, self.log)
        self.table = LinkTable(self.context, self.open_stream)
        self.sessions: set[InboundSession] = set()

    @property
    def links(self) -> Mapping[str, Link]:
        """The links to the registered peers by id."""
        return self.table.by_id

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and run one task for each peer that is connected."""
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()
            nursery.start_soon(
                send_heartbeats,
                self.clock,
                self.settings['heartbeat'],
                self.links,
                self.sessions,
            )
            await self.table.track(self.membership, nursery)

    async def listen(self, nursery: trio.Nursery) -> None:
        """
        Accept connections, each in a task of *nursery*.

        Raises StartError if the address is not available.
        """
        server = partial(
            trio.serve_tcp,
            self.accept,
            self.settings['port'],
            host=self.settings['host'],
        )
        try:
            await nursery.start(server)
        except OSError as error:
            raise StartError(
                f'peers: cannot listen: {error}.',
                'Free the port, or set another peers.port.',
            ) from error

    async def open_stream(self, entry: EntryVm) -> Stream:
        """Return a new stream to a peer; raises OSError."""
        try:
            return await trio.open_tcp_stream(entry.host, entry.port)
        except OSError as error:
            if _is_refused(error.__cause__):
                raise ConnectionRefusedError(str(error)) from error
            raise

    async def accept(self, stream: Stream) -> None:
        """Serve one connection of a peer until it is lost."""
        connection = self.context.make_connection(stream)
        session = InboundSession(self.context, connection)
        self.sessions.add(session)
        try:
            with connection.lifetime:
                async with connection:
                    await self._greet(session)
                    await session.run()
        except* CONNECTION_ERRORS:
            self.log.debug('The connection from a peer has ended.')
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.log.error(
                    'Protocol error on a peer connection.',
                    problem=str(error),
                )
        finally:
            session.calls_ended.set()
            self.sessions.discard(session)
            self.context.remove_inbound(session.peer_process, connection)

    async def announce_leaving(self) -> None:
        """Ask every peer to send no more calls."""
        for session in tuple(self.sessions):
            session.send_leaving()

    async def drain(self) -> None:
        """Return when no peer waits for a reply any more."""
        for session in tuple(self.sessions):
            await session.drain()

    def reachable(self) -> set[str]:
        """Return the ids of the connected peers that are not leaving."""
        return {
            entry_id for entry_id, link in self.links.items() if link.usable
        }

    def alive(self) -> set[str]:
        """Return the ids of the peers not known to be down or leaving."""
        return {
            entry_id
            for entry_id, link in self.links.items()
            if link.alive and not link.leaving
        }

    def responding(self) -> set[str]:
        """Return the ids of the peers whose hosts can be reached."""
        return {
            entry_id
            for entry_id, link in self.links.items()
            if link.connection or link.attempts.refused
        }

    def tried(self) -> set[str]:
        """Return the ids of the peers that were tried to be reached."""
        return {
            entry_id
            for entry_id, link in self.links.items()
            if link.connection or link.attempts.failed_lately
        }

    def watch(self, watched: Mapping[str, Watch]) -> None:
        """Watch the peers in *watched*, and connect to others on demand."""
        self.table.watch(watched)

    async def contact(self, entry_id: str, timeout: int) -> bool:
        """Return whether a peer answers within *timeout* ms."""
        link = self.links.get(entry_id)
        return await link.contact(timeout) if link else False

    def last_heard(self, entry_id: str) -> int | None:
        """Return when data last came from a peer, monotonic ms."""
        link = self.links.get(entry_id)
        return link.last_heard() if link else None

    async def call(
        self,
        entry_id: str,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """Call a peer, or this entry VM itself, and return the reply."""
        if entry_id == self.membership.own.entry_id:
            return await _call_self(self.context, payload, timeout)
        link = self.links.get(entry_id)
        return await link.call(payload, timeout) if link else NOT_CONNECTED

    def notify(self, entry_id: str, payload: Payload) -> bool:
        """Send a notification; return whether there is a connection."""
        if entry_id == self.membership.own.entry_id:
            self.context.dispatch_payload(entry_id, payload)
            return True
        link = self.links.get(entry_id)
        return link.notify(payload) if link else False

    def add_call_handler(
        self,
        payload_type: type[Payload],
        call_handler: CallHandler,
    ) -> None:
        """Let *call_handler* answer calls with payloads of *payload_type*."""
        self.context.call_handlers[payload_type] = call_handler

    def add_listener(
        self, payload_type: type[Payload], listener: Listener
    ) -> None:
        """Pass notifications and updates of *payload_type* to *listener*."""
        self.context.listeners.setdefault(payload_type, []).append(listener)

    def add_reporter(self, factory: Callable[[], Reporter]) -> None:
        """Add the updates of a reporter, made for each connection."""
        self.context.reporters.append(factory)

    def add_watcher(self, watcher: Callable[[str], None]) -> None:
        """Call *watcher* with the id of a peer that connects or goes away."""
        self.context.watchers.append(watcher)

    def flush_updates(self) -> None:
        """Send the status updates now instead of at the next heartbeat."""
        for session in self.sessions:
            session.flush_updates()

    def dump(self) -> Dump:
        """Return the state of each peer's connection and its open calls."""
        now = self.clock.now()
        peers = {
            entry_id: {
                'connected': link.connection is not None,
                'leaving': link.leaving,
                'calls': len(link.calls.by_number),
                'lost_connections': link.attempts.lost_connections,
                'watch': link.keepalive.watch.name,
                'heard_ms_ago': (
                    now - link.connection.last_received_at
                    if link.connection
                    else None
                ),
            }
            for entry_id, link in self.links.items()
        }
        load = self.kernel.metrics.load
        bytes_sent = sum(
            total
            for kind, total in load.sent_bytes.totals.items()
            if kind.startswith(KIND_PREFIX)
        )
        return {'bytes_sent': bytes_sent, 'peers': peers}

    async def _greet(self, session: InboundSession) -> None:
        hello = await session.handshake()
        self.membership.refresh_if_unknown(hello.entry_id, hello.incarnation)
        link = self.table.find(hello.entry_id, hello.incarnation)
        if link:
            link.attempts.retry.set()


async def _call_self(
    context: PeerContext,
    payload: Payload,
    timeout: int,
) -> Payload | NoReply:
    call_handler = context.get_call_handler(payload)
    reply: Payload | NoReply = TIMED_OUT
    with context.clock.move_on_after(timeout):
        reply = await call_handler(context.own.entry_id, payload)
    return reply


def _is_refused(cause: BaseException | None) -> bool:
    """Return whether all attempts to connect were refused."""
    if not isinstance(cause, BaseExceptionGroup):
        return False
    _refused, others = cause.split(ConnectionRefusedError)
    return others is None
