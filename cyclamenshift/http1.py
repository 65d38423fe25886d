"""
cyclamenshift.http1
===================

A small HTTP/1.1 client, for many short requests to few addresses.

httpx takes many times the CPU time for such a request; see
docs/MEASUREMENTS.md.
"""

import select
import socket
from collections.abc import Mapping
from typing import Final, NamedTuple, TypeAlias

import h11
import trio

from .clock import MS_PER_SECOND, Clock
from .httpwire import (
    ParsedResponse,
    RequestHead,
    ResponseParser,
    encode_request,
)
from .loadmetrics import LoadMetrics

#: Size of the receive buffer, bytes.
RECEIVE_BYTES: Final = 65_536
#: Time limit for a whole response while its bytes keep coming, ms.
TRANSFER_TIMEOUT_MS: Final = 10_000
#: Time after which TCP drops a connection with unacknowledged data, ms.
#: Longer than the longest request timeout.
USER_TIMEOUT_MS: Final = 3_000
#: TCP keep-alive: the idle time before the first probe, the interval between
#: probes, and their number.  A silently lost connection is detected within
#: three seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
#: Time limit for opening a connection, ms.  It leaves time for one
#: retransmission of the SYN.
CONNECT_TIMEOUT_MS: Final = 1_200
#: Maximum number of idle connections per address.
IDLE_LIMIT: Final = 4

#: The exceptions raised when a connection is lost.
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


#: The exceptions raised when no connection can be opened, also because no
#: server can have the address.
CONNECT_ERRORS: Final = (
    OSError,
    trio.TooSlowError,
    ValueError,
    OverflowError,
)
#: The exceptions raised for a request whose target or headers have characters
#: that HTTP does not allow.
ENCODING_ERRORS: Final = (h11.LocalProtocolError, UnicodeError)


class Address(NamedTuple):
    """The host and port of a server."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Request(NamedTuple):
    """
    An HTTP request.

    ``operation`` is its name in the metrics.  ``hold`` is how long the server
    may hold the response on purpose, ms; ``timeout`` limits the wait beyond,
    and then the wait for each further part of the response.  Of the idle
    connections, one to an identified process is used first if
    ``to_identified``, else last.
    """

    operation: str
    method: str
    target: str
    body: bytes
    timeout: int
    hold: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    to_identified: bool = False


class RemoteProcess:
    """
    The process at the other end of a connection, one object per connection.

    No other process receives a request that is sent on the connection.
    ``identity`` is what a caller has learned from a response, None before.
    """

    def __init__(self) -> None:
        """Start with a process that is not identified."""
        self.identity: int | None = None


class Response(NamedTuple):
    """
    A complete HTTP response; header names are in lower case.

    ``process`` is the one that alone received the request.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    process: RemoteProcess | None = None


class NotSent(NamedTuple):
    """
    The request was not sent; the server has not processed it.

    ``refused`` is whether the host refused the connection, which has no
    process at the address.
    """

    reason: str
    refused: bool = False


class NoResponse(NamedTuple):
    """
    No complete response; the server may have processed the request.

    ``process`` is the only one that can have received it.
    """

    reason: str
    process: RemoteProcess | None = None


Result: TypeAlias = Response | NotSent | NoResponse


class Client:
    """Sends requests on pooled connections."""

    def __init__(self, clock: Clock, load: LoadMetrics) -> None:
        """Create a client with an empty connection pool."""
        self.clock = clock
        self.load = load
        self.idle: dict[Address, list[_Connection]] = {}
        self.opened = 0

    async def call(self, address: Address, request: Request) -> Result:
        """Send a request on an idle connection, or else on a new one."""
        connection = self._take_idle(address, request)
        if connection is None:
            connection_or_error = await self._connect(address)
            if isinstance(connection_or_error, NotSent):
                return connection_or_error
            connection = connection_or_error
        return await self._exchange_on(address, connection, request)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to *address*."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self.idle):
            self.close_idle(address)

    async def _exchange_on(
        self,
        address: Address,
        connection: '_Connection',
        request: Request,
    ) -> Result:
        head = RequestHead(
            str(address), request.method, request.target, request.headers
        )
        try:
            encoded = encode_request(head, request.body)
        except ENCODING_ERRORS as error:
            connection.close()
            return NotSent(f'not encoded: {type(error).__name__}')
        response: ParsedResponse | None = None
        reason = 'no answer in time'
        started = self.clock.now()
        parser = ResponseParser(head, request.body)
        try:
            response = await self._exchange_in_time(
                connection, request, encoded, parser
            )
        except CONNECTION_ERRORS as error:
            reason = f'connection lost: {type(error).__name__}'
        finally:
            self._measure(request, connection, started)
            self._release(address, connection, response)
        if response is None:
            return NoResponse(reason, connection.process)
        return Response(
            response.status,
            response.headers,
            response.body,
            connection.process,
        )

    async def _exchange_in_time(
        self,
        connection: '_Connection',
        request: Request,
        encoded: bytes,
        parser: ResponseParser,
    ) -> ParsedResponse | None:
        """Return the response, None once it stops coming."""
        timeout = (request.hold + request.timeout) / MS_PER_SECOND
        limit = (request.hold + TRANSFER_TIMEOUT_MS) / MS_PER_SECOND
        started = trio.current_time()
        latest = started + limit
        with trio.CancelScope(deadline=started + min(timeout, limit)) as scope:
            await connection.send(encoded)
            while True:
                response = parser.feed(await connection.receive())
                if response is not None:
                    return response
                earliest = trio.current_time() + request.timeout / MS_PER_SECOND
                scope.deadline = min(latest, max(scope.deadline, earliest))
        return None

    def _measure(
        self, request: Request, connection: '_Connection', started: int
    ) -> None:
        operation = request.operation
        if not request.hold:
            self.load.call_ms.record(self.clock.now() - started, operation)
        kind = f'http.{operation}'
        self.load.sent_bytes.increase(kind, connection.sent)
        self.load.received_bytes.increase(kind, connection.received)

    def _take_idle(
        self, address: Address, request: Request
    ) -> '_Connection | None':
        idle = self.idle.get(address, [])
        if len(idle) > 1:
            wanted = request.to_identified
            idle.sort(key=lambda each: each.is_identified is wanted)
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    def _release(
        self,
        address: Address,
        connection: '_Connection',
        response: ParsedResponse | None,
    ) -> None:
        idle = self.idle.setdefault(address, [])
        reusable = response is not None and response.reusable
        if reusable and len(idle) < IDLE_LIMIT:
            idle.append(connection)
        else:
            connection.close()

    async def _connect(self, address: Address) -> '_Connection | NotSent':
        self.opened += 1
        try:
            sock = trio.socket.socket()
        except OSError as error:
            return NotSent(f'no socket: {type(error).__name__}')
        try:
            _set_socket_options(sock)
            with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
                await sock.connect(address)
        except CONNECT_ERRORS as error:
            sock.close()
            return NotSent(
                f'not connected: {type(error).__name__}',
                refused=isinstance(error, ConnectionRefusedError),
            )
        except BaseException:
            sock.close()
            raise
        return _Connection(_detach(sock))


class _Connection:
    """
    An open connection; ``sent`` and ``received`` count bytes of a request.

    It waits for its socket itself: the sockets of trio let other tasks run
    after each call and first try to receive what can't be there yet.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.process = RemoteProcess()
        self.sent = 0
        self.received = 0
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)

    @property
    def is_identified(self) -> bool:
        return self.process.identity is not None

    async def send(self, encoded: bytes) -> None:
        """Send an encoded request, and count its bytes from 0."""
        self.sent = 0
        self.received = 0
        await trio.lowlevel.checkpoint_if_cancelled()
        view = memoryview(encoded)
        while view:
            try:
                sent = self.sock.send(view)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self.sock)
                continue
            self.sent += sent
            view = view[sent:]

    async def receive(self) -> bytes:
        """Return the next bytes, empty at the end of the stream."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                received = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            self.received += len(received)
            return received

    def is_reusable(self) -> bool:
        """Return whether there is no unread input, not even end of stream."""
        return not self.poller.poll(0)

    def close(self) -> None:
        self.sock.close()


def _detach(sock: trio.socket.SocketType) -> socket.socket:
    """Return the socket below a socket of trio; it does not block."""
    detached = socket.socket(
        sock.family, sock.type, sock.proto, fileno=sock.detach()
    )
    detached.setblocking(False)
    return detached


def _set_socket_options(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm and set the loss detection timeouts."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
