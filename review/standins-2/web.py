"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

#: The longest body that a stand-in reads, bytes.
BODY_LIMIT = 4_000_000


class Request(NamedTuple):
    """A request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response; status 0 stands for a connection that ended before it."""

    status: int
    body: bytes = b''

    def value(self) -> Any:
        """Return the decoded body, None if there is none."""
        return json.loads(self.body) if self.body else None


#: Answers a request; None closes the connection without a response.
Handler = Callable[[Request], Awaitable[Response | None]]

NO_RESPONSE = Response(0)


def answer(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


class Server:
    """Serves requests on one loopback address until it is closed."""

    def __init__(self, handler: Handler) -> None:
        """Answer with *handler*."""
        self.handler = handler
        self.port = 0
        self.host = '127.0.0.1'
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen, on the same port as before if it has one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset the open connections."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in tuple(self._open):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                response = await self.handler(request)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._open.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _version = line.decode('latin-1').split()
    headers = await _read_headers(reader)
    length = min(int(headers.get('content-length', '0')), BODY_LIMIT)
    body = await reader.readexactly(length)
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            return headers
        name, _colon, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()


def _encode_response(response: Response) -> bytes:
    head = (
        f'HTTP/1.1 {response.status} x\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(response.body)}\r\n\r\n'
    )
    return head.encode() + response.body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    host: str = '',
    value: Any = None,
    timeout_s: float = 3.0,
) -> Response:
    """Send one request on a connection of its own."""
    body = b'' if value is None else json.dumps(value).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host or address[0]}\r\n'
        f'X-Deadline-Ms: {round(timeout_s * 1000)}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, head.encode() + body)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return NO_RESPONSE


async def _exchange(address: tuple[str, int], request: bytes) -> Response:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        status = int((await reader.readline()).split()[1])
        headers = await _read_headers(reader)
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        else:
            body = await reader.read()
        return Response(status, body)
    except IndexError:
        return NO_RESPONSE
    finally:
        writer.close()
