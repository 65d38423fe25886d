"""
cyclamenshift.peers.stream
==========================

Peer messages over TCP: one task for each peer and each connection.

Every entry VM dials every other one.  It sends its calls on the connection
that it dialled, and receives the replies and the peer's updates on it.
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
from .connection import LOST
from .exchange import Exchange
from .link import NOT_CONNECTED, SILENT, Link
from .service import Service


@register
class StreamPeer(Peer):
    """Listens, and keeps a link to each registered peer."""

    name = 'stream'

    def __init__(self, kernel: Host) -> None:
        """Know no peer yet."""
        super().__init__(kernel)
        self.settings = kernel.settings['peers']
        self.membership = kernel.get(Membership)
        self.exchange = Exchange(kernel, self.membership.own, self.log)
        self.links: dict[str, Link] = {}
        self.services: set[Service] = set()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and keep one task for each registered peer."""
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()
            await self._follow_members(nursery)

    async def listen(self, nursery: trio.Nursery) -> None:
        """
        Accept connections in tasks of *nursery*.

        Raises StartError when the address can't be had.
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
                f'peers: can not listen: {error}.',
                'Free the port, or set another one under peers.',
            ) from error

    async def open_stream(self, entry: EntryVm) -> Stream:
        """Return a new stream to a peer; raises OSError."""
        return await trio.open_tcp_stream(entry.host, entry.port)

    async def accept(self, stream: Stream) -> None:
        """Serve one connection of a peer until it is lost."""
        connection = self.exchange.connect(stream)
        service = Service(self.exchange, connection)
        self.services.add(service)
        try:
            async with connection:
                greeting = await service.greet()
                self.membership.refresh_if_unknown(
                    greeting.entry_id,
                    greeting.incarnation,
                )
                await service.serve()
        except* LOST:
            self.log.debug('A peer has closed its connection.')
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.log.error('A peer is not understood.', problem=str(error))
        finally:
            service.ended.set()
            self.services.discard(service)

    async def announce_leaving(self) -> None:
        """Ask every peer to ask nothing more."""
        for service in tuple(self.services):
            service.say_leaving()

    async def drain(self) -> None:
        """Return when no peer waits for an answer from here any more."""
        for service in tuple(self.services):
            await service.drain()

    def reachable(self) -> set[str]:
        """Return the ids of the connected peers that are not leaving."""
        return {
            entry_id for entry_id, link in self.links.items() if link.usable
        }

    def alive(self) -> set[str]:
        """Return the ids of the peers that were not dialled in vain."""
        return {
            entry_id
            for entry_id, link in self.links.items()
            if link.alive and not link.leaving
        }

    async def call(
        self,
        entry_id: str,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """Call a peer, or this entry VM itself, and return the reply."""
        if entry_id == self.membership.own.entry_id:
            return await self._ask_self(payload, timeout)
        link = self.links.get(entry_id)
        return await link.call(payload, timeout) if link else NOT_CONNECTED

    def notify(self, entry_id: str, payload: Payload) -> bool:
        """Send *payload*, to itself too; return whether that was possible."""
        if entry_id == self.membership.own.entry_id:
            self.exchange.take(entry_id, payload)
            return True
        link = self.links.get(entry_id)
        return link.notify(payload) if link else False

    def add_call_handler(
        self,
        shape: type[Payload],
        call_handler: CallHandler,
    ) -> None:
        """Let *call_handler* answer the calls with a payload of *shape*."""
        self.exchange.call_handlers[shape] = call_handler

    def add_listener(self, shape: type[Payload], listener: Listener) -> None:
        """Pass notifications and updates of type *shape* to *listener*."""
        self.exchange.listeners.setdefault(shape, []).append(listener)

    def add_reporter(self, factory: Callable[[], Reporter]) -> None:
        """Add the updates of a reporter, made for each connection."""
        self.exchange.reporters.append(factory)

    def add_watcher(self, watcher: Callable[[str], None]) -> None:
        """Call *watcher* with the id of a peer that connects or goes away."""
        self.exchange.watchers.append(watcher)

    def flush_updates(self) -> None:
        """Send the status updates now instead of at the next heartbeat."""
        for service in self.services:
            service.flush_requested.set()

    def dump(self) -> Dump:
        """Return the state of each peer's connection and its open calls."""
        now = self.clock.now()
        peers = {
            entry_id: {
                'connected': link.connection is not None,
                'leaving': link.leaving,
                'calls': len(link.calls),
                'lost_connections': link.lost_count,
                'heard_ms_ago': (
                    now - link.connection.heard_at if link.connection else None
                ),
            }
            for entry_id, link in self.links.items()
        }
        return {'bytes_sent': self.exchange.meter.bytes_sent, 'peers': peers}

    async def _ask_self(
        self,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        call_handler = self.exchange.call_handler(payload)
        answer: Payload | NoReply = SILENT
        with self.clock.move_on_after(timeout):
            answer = await call_handler(self.membership.own.entry_id, payload)
        return answer

    async def _follow_members(self, nursery: trio.Nursery) -> None:
        links: dict[EntryVm, Link] = {}
        while True:
            changed = self.membership.changed
            wanted = set(self.membership.registered.values())
            for gone in links.keys() - wanted:
                links.pop(gone).retire()
            for new in wanted - links.keys():
                links[new] = Link(self.exchange, new, self.open_stream)
                nursery.start_soon(self._keep_link, links[new])
            await changed.wait()

    async def _keep_link(self, link: Link) -> None:
        entry_id = link.entry.entry_id
        self.links[entry_id] = link
        await link.keep()
        if self.links.get(entry_id) is link:
            self.links.pop(entry_id)
