"""
cyclamenshift.peers.stream
==========================

Peer messages over TCP: one task for each peer and each connection.

Every entry VM dials every other one.  What it forwards goes out on the
connection that it dialled, and the answers come back on it.
"""

from collections.abc import Collection
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from trio.abc import Stream

from ..component import Dump
from ..controls.configuration import Configuration
from ..controls.dispatcher import Dispatcher
from ..controls.membership import Membership
from ..decisions.lanes import PoolQueue
from ..errors import ProtocolError, StartError
from ..model import EntryVm, Load, Outcome, Request
from ..peer import (
    PROTOCOL_VERSION,
    Greeting,
    Heartbeat,
    Message,
    Peer,
)
from ..plugin import register
from .connection import LOST, Connection, Meter
from .link import OWNER_LEFT, Link
from .service import Service

if TYPE_CHECKING:
    from ..kernel import Kernel


@register
class StreamPeer(Peer):
    """Listens, and keeps a link to each registered peer."""

    name = 'stream'

    def __init__(self, kernel: 'Kernel') -> None:
        """Know no peer yet."""
        super().__init__(kernel)
        self.settings = kernel.settings['peers']
        self.configuration = kernel.get(Configuration)
        self.membership = kernel.get(Membership)
        self.links: dict[str, Link] = {}
        self.meter = Meter()
        self._loads: list[Load] = []
        self._loads_moved = trio.Event()
        self._loads_at = -self.settings['heartbeat']
        self.services: set[Service] = set()

    @property
    def dispatcher(self) -> Dispatcher:
        """The component that runs what comes in; it starts later."""
        return self.kernel.get(Dispatcher)

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
        connection = self.connect(stream)
        service = Service(self, connection)
        self.services.add(service)
        try:
            async with connection:
                await service.serve()
        except* LOST:
            self.log.debug('A peer has closed its connection.')
        except* ProtocolError as errors:
            self.report(errors)
        finally:
            service.ended.set()
            self.services.discard(service)

    def connect(self, stream: Stream) -> Connection:
        """Return the connection over *stream*."""
        return Connection(stream, self.clock, self.settings, self.meter)

    async def announce(self) -> None:
        """Ask every peer to forward nothing more."""
        for service in tuple(self.services):
            await service.say_leaving()

    async def drain(self) -> None:
        """Return when no peer has a request here any more."""
        for service in tuple(self.services):
            await service.drain()

    def reachable(self) -> set[str]:
        """Return the ids of the connected peers that are not leaving."""
        return {
            entry_id for entry_id, link in self.links.items() if link.usable
        }

    def loads(self, pool: str) -> dict[str, Load]:
        """Return what the reachable peers' workers of *pool* offer."""
        return {
            entry_id: link.loads[pool]
            for entry_id, link in self.links.items()
            if link.usable and pool in link.loads
        }

    async def forward(self, entry_id: str, request: Request) -> Outcome:
        """Let a peer's worker run *request*; return the exact outcome."""
        link = self.links.get(entry_id)
        return await link.forward(request) if link else OWNER_LEFT

    def tell_loads(self) -> None:
        """Send the loads now, because the owned workers changed."""
        self._loads_at = -self.settings['heartbeat']
        self._loads_moved.set()
        self._loads_moved = trio.Event()

    def dump(self) -> Dump:
        """Return each peer's connection and calls."""
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
        return {'bytes_sent': self.meter.bytes_sent, 'peers': peers}

    def greeting(self) -> Greeting:
        """Return the first message on each connection."""
        own = self.membership.own
        return Greeting(PROTOCOL_VERSION, own.entry_id, own.incarnation)

    def check_greeting(
        self,
        message: Message,
        expected: EntryVm | None,
    ) -> Greeting:
        """Return the greeting; ProtocolError unless it is as *expected*."""
        if not isinstance(message, Greeting):
            raise ProtocolError('A peer did not greet.', 'Check peers.port.')
        if message.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f'A peer speaks version {message.version}.',
                f'Upgrade both entry VMs to version {PROTOCOL_VERSION}.',
            )
        if expected and message.incarnation != expected.incarnation:
            raise ProtocolError(
                f'{expected.entry_id} is another process now.',
                'Nothing to do; its new registration is read soon.',
            )
        return message

    def report(self, errors: BaseExceptionGroup[Any]) -> None:
        """Log each protocol error."""
        for error in errors.exceptions:
            self.log.error('%s', error)

    async def beat(
        self,
        connection: Connection,
        queues: Collection[PoolQueue],
    ) -> None:
        """Send a heartbeat now and again, with the new loads of *queues*."""
        told: dict[str, Load] = {}
        while True:
            changed = tuple(
                load
                for load in self._loads_of(queues)
                if told.get(load.pool) != load
            )
            told.update((load.pool, load) for load in changed)
            await connection.send(
                Heartbeat(
                    self.configuration.number,
                    self.configuration.changes_version,
                    changed,
                ),
            )
            with self.clock.move_on_after(self.settings['heartbeat']):
                await self._loads_moved.wait()

    def _loads_of(self, queues: Collection[PoolQueue]) -> list[Load]:
        """Return the loads, worked out once for all connections."""
        if not queues:
            return []
        now = self.clock.now()
        if now - self._loads_at >= self.settings['heartbeat'] // 2:
            self._loads = [queue.load(now) for queue in queues]
            self._loads_at = now
        return self._loads

    async def _follow_members(self, nursery: trio.Nursery) -> None:
        links: dict[EntryVm, Link] = {}
        while True:
            changed = self.membership.changed
            wanted = set(self.membership.registered.values())
            for gone in links.keys() - wanted:
                links.pop(gone).retire()
            for new in wanted - links.keys():
                links[new] = Link(self, new)
                nursery.start_soon(self._keep_link, links[new])
            await changed.wait()

    async def _keep_link(self, link: Link) -> None:
        entry_id = link.entry.entry_id
        self.links[entry_id] = link
        await link.keep()
        if self.links.get(entry_id) is link:
            self.links.pop(entry_id)
