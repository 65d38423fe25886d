"""
cyclamenshift.frontend
======================

The base class of the HTTP front ends for callers and operators.
"""

from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any, ClassVar, cast

import quart
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.typing import (
    ASGIReceiveCallable,
    ASGISendCallable,
    ASGISendEvent,
)
from quart_trio import QuartTrio
from quart_trio.asgi import TrioASGIHTTPConnection

from .clock import MS_PER_SECOND
from .component import Component, Host
from .errors import StartError
from .settings import ListenSettings

#: Time by which the server's own timeout exceeds the grace period, ms.
GRACE_MARGIN_MS = 5_000
#: Time limit for sending one part of a response, seconds.
SEND_TIMEOUT_S = 10
#: Media type of error responses (RFC 9457).
PROBLEM_TYPE = 'application/problem+json'


class ShieldedSendConnection(TrioASGIHTTPConnection):
    """
    Shields the sending of a response from cancellation.

    The application ends when it has sent its response.  Without the shield,
    this cancels the server while it closes the connection.
    """

    async def __call__(
        self,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Run the application for one request."""
        await super().__call__(receive, partial(_send_shielded, send))


class Frontend(Component):
    """
    An HTTP server: a quart application on hypercorn's trio worker.

    ``drain_delay`` is how long it keeps accepting requests after a stop was
    requested, ms.
    """

    kind = 'frontend'
    stage: ClassVar[int] = 10

    def __init__(self, kernel: Host) -> None:
        """Create the application; ``listen`` starts the server."""
        super().__init__(kernel)
        self.app = QuartTrio(self.name)
        self.app.asgi_http_class = ShieldedSendConnection
        self.app.config['BODY_TIMEOUT'] = None
        self.addresses: list[str] = []
        self.drain_delay = 0
        self._closing = trio.Event()
        self._closed = trio.Event()

    async def listen(
        self,
        settings: Sequence[ListenSettings],
        task_status: trio.TaskStatus[None],
    ) -> None:
        """
        Serve the application until drained.

        Raises StartError if an address can't be bound.
        """
        config = Config()
        config.bind = [
            '{host}:{port}'.format_map(address) for address in settings
        ]
        config.accesslog = None
        config.errorlog = None
        config.include_server_header = False
        grace = self.kernel.settings['entry']['grace']
        config.graceful_timeout = (grace + GRACE_MARGIN_MS) / MS_PER_SECOND
        try:
            await self._serve(config, task_status)
        except OSError as error:
            raise StartError(
                f'{self.name}: cannot listen on {config.bind}: {error}.',
                'Free the port or configure another one in the settings.',
            ) from error

    async def drain(self) -> None:
        """
        Wait until load balancers have noticed the shutdown, then close.

        Requests are accepted during the delay, because a load balancer may
        still route callers here.
        """
        await self.clock.sleep(self.drain_delay)
        await self.close()

    async def close(self) -> None:
        """Stop accepting connections and wait for the open requests."""
        self._closing.set()
        await self._closed.wait()

    async def _serve(
        self,
        config: Config,
        task_status: trio.TaskStatus[None],
    ) -> None:
        async with trio.open_nursery() as nursery:
            server = partial(
                serve,
                cast(Any, self.app),
                config,
                shutdown_trigger=self._closing.wait,
            )
            self.addresses = await nursery.start(
                _serve_and_signal,
                server,
                self._closed,
            )
            self.log.note('Listening.', addresses=self.addresses)
            task_status.started()


async def read_body() -> bytes:
    """Return the body of the current request."""
    body = await quart.request.get_data(as_text=False)
    return cast(bytes, body)


async def _send_shielded(
    send: ASGISendCallable,
    message: ASGISendEvent,
) -> None:
    with trio.move_on_after(SEND_TIMEOUT_S, shield=True):
        await send(message)


async def _serve_and_signal(
    server: Callable[..., Awaitable[None]],
    finished: trio.Event,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    try:
        await server(task_status=task_status)
    finally:
        finished.set()
