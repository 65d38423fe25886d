"""
cyclamenshift.http1
===================

A small HTTP/1.1 client on h11, for many short calls to few addresses.

httpx spends about five times the processor time on such a call; the
figures are in docs/MEASUREMENTS.md.
"""

import select
import socket
from collections.abc import Mapping
from typing import Final, NamedTuple, TypeAlias

import h11
import trio

from .clock import MS_PER_SECOND, Clock

#: The most bytes taken from a socket at a time.
RECEIVE_BYTES: Final = 65_536
#: How long a TCP connection may stay unacknowledged before it is dropped, ms.
#: Longer than the slowest answer that is waited for.
USER_TIMEOUT_MS: Final = 3_000
#: After so many idle seconds the kernel probes, so often, so many times; a
#: connection that was silently lost is noticed in three seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
#: How long opening a connection may take, ms; within it the opening packet
#: is sent once more.
CONNECT_TIMEOUT_MS: Final = 1_200
#: The most idle connections that are kept to one address.
IDLE_LIMIT: Final = 4

#: What a lost connection raises.
LOST = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


class Address(NamedTuple):
    """Where a server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Request(NamedTuple):
    """One request; ``wait`` is the longest time for its answer, ms."""

    method: str
    target: str
    body: bytes
    wait: int
    headers: tuple[tuple[str, str], ...] = ()


class Response(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NotSent(NamedTuple):
    """The server saw nothing of the request."""

    reason: str


class NoResponse(NamedTuple):
    """The server may have read the request."""

    reason: str


Result: TypeAlias = Response | NotSent | NoResponse


class Client:
    """Keeps connections to addresses and makes calls on them."""

    def __init__(self, clock: Clock) -> None:
        """Start without a connection."""
        self.clock = clock
        self.idle: dict[Address, list[_Connection]] = {}
        self.opened = 0

    async def call(self, address: Address, call: Request) -> Result:
        """Make one call, on a kept connection if there is a sound one."""
        connection = self._take_idle(address)
        if connection is None:
            opened = await self._open(address)
            if isinstance(opened, NotSent):
                return opened
            connection = opened
        return await self._use(address, connection, call)

    def forget(self, address: Address) -> None:
        """Close the idle connections to *address*."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self.idle):
            self.forget(address)

    async def _use(
        self,
        address: Address,
        connection: '_Connection',
        call: Request,
    ) -> Result:
        answer: Response | None = None
        reason = 'no answer in time'
        try:
            with self.clock.move_on_after(call.wait):
                answer = await connection.exchange(address, call)
        except LOST as error:
            reason = f'connection lost: {type(error).__name__}'
        finally:
            self._put_back(address, connection)
        return answer or NoResponse(reason)

    def _take_idle(self, address: Address) -> '_Connection | None':
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_quiet():
                return connection
            connection.close()
        return None

    def _put_back(self, address: Address, connection: '_Connection') -> None:
        kept = self.idle.setdefault(address, [])
        if connection.rewind() and len(kept) < IDLE_LIMIT:
            kept.append(connection)
        else:
            connection.close()

    async def _open(self, address: Address) -> '_Connection | NotSent':
        self.opened += 1
        raw = trio.socket.socket()
        try:
            _tune(raw)
            with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
                await raw.connect(address)
        except (OSError, trio.TooSlowError) as error:
            raw.close()
            return NotSent(f'not connected: {type(error).__name__}')
        except BaseException:
            raw.close()
            raise
        return _Connection(raw)


class _Connection:
    def __init__(self, raw: trio.socket.SocketType) -> None:
        self.raw = raw
        self.protocol = h11.Connection(h11.CLIENT)

    async def exchange(self, address: Address, call: Request) -> Response:
        await self._send(self._encode(address, call))
        head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise _cut_short()
        pieces = []
        event = await self._next_event()
        while isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise _cut_short()
        return _answer(head, pieces)

    def rewind(self) -> bool:
        """Get ready for another call; return whether that is possible."""
        states = {self.protocol.our_state, self.protocol.their_state}
        if states != {h11.DONE}:
            return False
        self.protocol.start_next_cycle()
        return True

    def is_quiet(self) -> bool:
        """Return whether nothing has come in, not even the end."""
        poller = select.poll()
        poller.register(self.raw, select.POLLIN)
        return not poller.poll(0)

    def close(self) -> None:
        self.raw.close()

    def _encode(self, address: Address, call: Request) -> bytes:
        head = h11.Request(
            method=call.method,
            target=call.target,
            headers=[
                ('Host', str(address)),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(call.body))),
                *call.headers,
            ],
        )
        return b''.join(
            self.protocol.send(event) or b''
            for event in (head, h11.Data(data=call.body), h11.EndOfMessage())
        )

    async def _next_event(self) -> object:
        event = self.protocol.next_event()
        while event is h11.NEED_DATA:
            received = await self.raw.recv(RECEIVE_BYTES)
            self.protocol.receive_data(received)
            event = self.protocol.next_event()
        return event

    async def _send(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self.raw.send(view) :]


def _cut_short() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError('the answer was cut short')


def _answer(head: h11.Response, pieces: list[bytes]) -> Response:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return Response(head.status_code, headers, b''.join(pieces))


def _tune(raw: trio.socket.SocketType) -> None:
    """Send at once, and let the kernel notice a silent loss."""
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
