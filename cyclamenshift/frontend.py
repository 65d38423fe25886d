"""
cyclamenshift.frontend
======================

The base of the components that callers and operators reach over HTTP.
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

#: How much longer than the grace period the server waits itself, ms.
GRACE_MARGIN_MS = 5_000
#: How long a part of an answer may take to go out, seconds.
SEND_S = 10
#: The media type of answers that report a problem.
PROBLEM_TYPE = 'application/problem+json'


class WholeAnswers(TrioASGIHTTPConnection):
    """
    Lets the server finish an answer and close its connection.

    The application ends with its answer, and without this its end would
    cancel the server's own closing of the connection.
    """

    async def __call__(
        self,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Run the application on one request."""
        await super().__call__(receive, partial(_send_whole, send))


class Frontend(Component):
    """
    An HTTP server: a quart application on hypercorn's trio worker.

    ``drain_delay`` is how long it still takes requests when asked to stop, ms.
    """

    kind = 'frontend'
    stage: ClassVar[int] = 10

    def __init__(self, kernel: Host) -> None:
        """Create the application; listen when run."""
        super().__init__(kernel)
        self.app = QuartTrio(self.name)
        self.app.asgi_http_class = WholeAnswers
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

        Raises StartError when the address can't be had.
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
                f'{self.name}: can not listen on {config.bind}: {error}.',
                'Free the port, or set another one in the settings.',
            ) from error

    async def drain(self) -> None:
        """
        Let the balancer see that this entry VM leaves, then close.

        Requests are still taken during the notice: a caller that was
        sent here a moment ago gets its answer.
        """
        await self.clock.sleep(self.drain_delay)
        await self.close()

    async def close(self) -> None:
        """Accept no connection; return when the last request has ended."""
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
                _told_when_ended,
                server,
                self._closed,
            )
            self.log.note('Listening.', addresses=self.addresses)
            task_status.started()


async def read_body() -> bytes:
    """Return the whole body of the present request."""
    received = await quart.request.get_data(as_text=False)
    return cast(bytes, received)


async def _send_whole(
    send: ASGISendCallable,
    message: ASGISendEvent,
) -> None:
    with trio.move_on_after(SEND_S, shield=True):
        await send(message)


async def _told_when_ended(
    server: Callable[..., Awaitable[None]],
    ended: trio.Event,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    try:
        await server(task_status=task_status)
    finally:
        ended.set()
