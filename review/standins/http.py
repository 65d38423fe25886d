"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, urlsplit

#: The reason phrases are not read by anyone; one serves for all.
REASON: Final = 'Status'
#: The most bytes of a body.
BODY_LIMIT: Final = 4_000_000


class Call(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body, an empty object without one."""
        return json.loads(self.body) if self.body else {}


class Answer(NamedTuple):
    """The response of a stand-in; no status closes the connection."""

    status: int = 200
    body: Any = None


#: Closes the connection without a response.
DROP: Final = Answer(0)
Handler = Callable[[Call], Awaitable[Answer]]


class Server:
    """Serves one address; ``stop`` resets its connections."""

    def __init__(self, host: str, handler: Handler) -> None:
        self.host = host
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port, or again on the port of before."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=BODY_LIMIT
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                call = await read_call(reader)
                if call is None:
                    break
                answer = await self.handler(call)
                if not answer.status:
                    break
                writer.write(encode_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Return the next request on a connection, None at its end."""
    head = await read_head(reader)
    if not head:
        return None
    method, target, _version = head[0].split(' ', 2)
    headers = parse_headers(head[1:])
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    parts = urlsplit(target)
    query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
    return Call(method, parts.path, query, headers, body)


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Return the lines of a head, none at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return []
    return raw.decode('latin-1').split('\r\n')[:-2]


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers by their name in lower case."""
    pairs = (line.split(':', 1) for line in lines)
    return {name.strip().lower(): value.strip() for name, value in pairs}


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of a response."""
    body = b'' if answer.body is None else json.dumps(answer.body).encode()
    head = (
        f'HTTP/1.1 {answer.status} {REASON}\r\n'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class Reply(NamedTuple):
    """What a client got; status 0 without a complete response."""

    status: int
    body: Any
    error: str = ''


async def request(
    address: str,
    method: str,
    target: str,
    *,
    host: str = '',
    body: Any = None,
    raw: bytes | None = None,
    deadline_ms: int = 3_000,
) -> Reply:
    """Send one request on a connection of its own."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, target, host, body, raw, deadline_ms),
            deadline_ms / 1000,
        )
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        return Reply(0, None, type(error).__name__)


async def _exchange(
    address: str,
    method: str,
    target: str,
    host: str,
    body: Any,
    raw: bytes | None,
    deadline_ms: int,
) -> Reply:
    name, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        content = raw
        if content is None:
            content = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {host or address}\r\n'
            f'Content-Type: application/json\r\n'
            f'X-Deadline-Ms: {deadline_ms}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)
        await writer.drain()
        lines = await read_head(reader)
        if not lines:
            raise EOFError
        status = int(lines[0].split(' ')[1])
        headers = parse_headers(lines[1:])
        length = int(headers.get('content-length', 0))
        received = await reader.readexactly(length)
        decoded = json.loads(received) if received.startswith(b'{') else None
        return Reply(status, decoded)
    finally:
        writer.close()
