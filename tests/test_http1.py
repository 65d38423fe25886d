"""
tests.test_http1
================

The HTTP client: how long it waits for a response that comes in parts.
"""

from collections.abc import AsyncIterator
from functools import partial

import pytest
import trio
from aioprometheus import Registry

from cyclamenshift.clock import MS_PER_SECOND, Clock
from cyclamenshift.http1 import Address, Client, NoResponse, Request, Response
from cyclamenshift.loadmetrics import LoadMetrics

PARTS = 8
#: The pause between two parts of a response, and the timeout, ms.
PAUSE_MS = 100
TIMEOUT_MS = 500


class SlowServer:
    """Sends a response of ``PARTS`` bytes in as many parts, or fewer."""

    def __init__(self) -> None:
        """Send all parts."""
        self.parts_sent = PARTS
        self.address = Address('127.0.0.1', 0)

    async def answer(self, stream: trio.SocketStream) -> None:
        """Send the response to the only request of a connection."""
        await stream.receive_some()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n'
        await stream.send_all(head.encode())
        for _part in range(self.parts_sent):
            await trio.sleep(PAUSE_MS / MS_PER_SECOND)
            await stream.send_all(b'.')
        await trio.sleep_forever()


@pytest.fixture
async def server(nursery: trio.Nursery) -> AsyncIterator[SlowServer]:
    """Provide a server that listens."""
    slow_server = SlowServer()
    (listener,) = await nursery.start(
        partial(trio.serve_tcp, slow_server.answer, 0, host='127.0.0.1')
    )
    port = listener.socket.getsockname()[1]
    slow_server.address = Address('127.0.0.1', port)
    yield slow_server
    nursery.cancel_scope.cancel()


async def ask(server: SlowServer) -> object:
    """Return the result of one request."""
    client = Client(Clock(), LoadMetrics(Registry()))
    request = Request('ask', 'GET', '/', b'', TIMEOUT_MS)
    return await client.call(server.address, request)


async def test_response_is_not_given_up_while_it_comes(
    server: SlowServer,
) -> None:
    """A response that took longer than the timeout was read in vain."""
    response = await ask(server)
    assert isinstance(response, Response)
    assert len(response.body) == PARTS


async def test_response_that_stops_coming_is_given_up(
    server: SlowServer,
) -> None:
    """The rest of a response is waited for as long as its beginning."""
    server.parts_sent = 1
    with trio.fail_after(4 * TIMEOUT_MS / MS_PER_SECOND):
        assert isinstance(await ask(server), NoResponse)
