"""
cyclamenshift.peers.stream
==========================

Peer messages over TCP, with one task for each peer and each connection.

Every entry VM connects to every other one.  On the connection that it opened
it sends its calls and receives the replies and the status updates.
"""

from collections.abc import Callable
from functools import partial

import trio
from trio.abc import Stream

from ..component import Dump, Host
from ..controls.membership import Membership
from ..errors import ProtocolError, StartError
from ..model import EntryVm
from ..peer import CallHandler, Listener, NoReply, Payload, Peer, Reporter
from ..plugin import register
from .connection import CONNECTION_ERRORS, KIND_PREFIX
from .context import PeerContext
from .inbound import InboundSession
from .link import NOT_CONNECTED, TIMED_OUT, Link


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
        self.links: dict[str, Link] = {}
        self.sessions: set[InboundSession] = set()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and run one task for each registered peer."""
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()
            await self._track_members(nursery)

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
            async with connection:
                hello = await session.handshake()
                self.membership.refresh_if_unknown(
                    hello.entry_id,
                    hello.incarnation,
                )
                await session.run()
        except* CONNECTION_ERRORS:
            self.log.debug('The connection from a peer has ended.')
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.log.error(
                    'Protocol error on a peer connection.',
                    problem=str(error),
                )
        except* Exception as unexpected:
            self.log.exception(
                'Failed to serve a peer.', unexpected, peer=session.entry_id
            )
        finally:
            session.calls_ended.set()
            self.sessions.discard(session)
            self.context.remove_inbound(session.peer_process, connection)

    async def announce_leaving(self) -> None:
        """Ask every peer to send no more calls."""
        # A connection that is silent must not delay the stop.
        self.context.rates.resize(0)
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
            if link.connection or link.refused
        }

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
            return await self._call_self(payload, timeout)
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

    def change_rate(self, entry_id: str, *, full: bool) -> None:
        """Set whether the loss of a peer must be found soon."""
        link = self.links.get(entry_id)
        if link:
            # The process of a peer that is leaving may end at any time.
            self.context.rates.change_rate(
                link.process, full=full or link.leaving
            )

    def flush_updates(self) -> None:
        """Send the status updates now instead of at the next heartbeat."""
        for session in self.sessions:
            session.connection.timer.request()

    def dump(self) -> Dump:
        """Return the state of each peer's connection and its open calls."""
        now = self.clock.now()
        peers = {
            entry_id: {
                'connected': link.connection is not None,
                'leaving': link.leaving,
                'calls': len(link.pending_calls),
                'lost_connections': link.lost_connections,
                'heartbeat_factor': (
                    link.connection.silence.factor if link.connection else None
                ),
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

    async def _call_self(
        self,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        call_handler = self.context.get_call_handler(payload)
        reply: Payload | NoReply = TIMED_OUT
        with self.clock.move_on_after(timeout):
            reply = await call_handler(self.membership.own.entry_id, payload)
        return reply

    async def _track_members(self, nursery: trio.Nursery) -> None:
        links: dict[EntryVm, Link] = {}
        while True:
            changed = self.membership.changed
            members = set(self.membership.registered.values())
            if not self.kernel.draining:
                self.context.rates.resize(len(members))
            for removed in links.keys() - members:
                links.pop(removed).retire()
            for added in members - links.keys():
                links[added] = Link(self.context, added, self.open_stream)
                nursery.start_soon(self._run_link, links[added])
            await changed.wait()

    async def _run_link(self, link: Link) -> None:
        entry_id = link.entry.entry_id
        self.links[entry_id] = link
        await link.run()
        if self.links.get(entry_id) is link:
            self.links.pop(entry_id)


def _is_refused(cause: BaseException | None) -> bool:
    """Return whether all attempts to connect were refused."""
    if not isinstance(cause, BaseExceptionGroup):
        return False
    _refused, others = cause.split(ConnectionRefusedError)
    return others is None
