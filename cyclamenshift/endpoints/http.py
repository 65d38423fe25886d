"""
cyclamenshift.endpoints.http
============================

Workers over HTTP: one POST for each request.

The worker echoes ``Request-Id``.  A 503 with a ``Refused`` header says
that the request was not started.
"""

from http import HTTPStatus
from typing import Final, TypedDict

import httpx
import msgspec
import trio

from ..clock import MS_PER_SECOND
from ..component import Host
from ..endpoint import Endpoint
from ..model import Done, NotRun, Outcome, Reason, Request, Unknown, Vm
from ..plugin import register
from ..store import Unavailable

#: Errors before the first byte of the request was written.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
#: The header that carries the request id both ways.
REQUEST_ID: Final = 'Request-Id'
#: The header of a worker that did not start the request.
REFUSED: Final = 'Refused'
#: How long a worker may take to say how much it runs, seconds.
STATUS_TIMEOUT_S = 1

ASK_KEY = 'Ask for the outcome by its idempotency key before trying again.'


class Status(TypedDict):
    """What a worker says of itself: the requests that it runs."""

    running: int


@register
class HttpEndpoint(Endpoint):
    """
    Keeps connections for repeatable work only.

    A kept connection may have been lost without a sign, so work that may
    not be repeated gets a new one each time.  Requests go to the transports
    themselves: cookies, redirects and authentication have no place here.
    """

    name = 'http'

    def __init__(self, kernel: Host) -> None:
        """Prepare both clients; connect with the first request."""
        super().__init__(kernel)
        settings = kernel.settings['endpoint']
        self.connect_timeout = settings['connect_timeout'] / MS_PER_SECOND
        self.kept = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(max_keepalive_connections=None),
        )
        self.fresh = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(max_keepalive_connections=0),
        )

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections until cancelled."""
        async with self.kept, self.fresh:
            await super().run(task_status)

    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Let *worker* run *request* and return the exact outcome."""
        remaining = self.clock.remaining(request.deadline)
        if not remaining:
            return NotRun(Reason.deadline, 'Allow more time.')
        outcome: Outcome = Unknown(Reason.deadline, ASK_KEY)
        with self.clock.move_on_after(remaining):
            outcome = await self._post(worker, request)
        return outcome

    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return how many requests *worker* runs now."""
        status = Unavailable(f'{worker.vm_id} does not tell its status.')
        query = self._request('GET', f'{worker.address}/status', {}, b'')
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                response = await _exchange(self.kept, query)
                told = msgspec.json.decode(response.content, type=Status)
            except (httpx.HTTPError, msgspec.MsgspecError):
                return status
            return told['running']
        return status

    async def _post(self, worker: Vm, request: Request) -> Outcome:
        transport = self.kept if request.repeatable else self.fresh
        post = self._request(
            'POST',
            f'{worker.address}/requests',
            _headers(request),
            request.body,
        )
        try:
            response = await _exchange(transport, post)
        except NOT_SENT:
            return NotRun(Reason.unreachable, 'Try again; a worker is gone.')
        except httpx.HTTPError as error:
            self.log.note(
                'An answer is lost.',
                vm=worker.vm_id,
                request=request.request_id,
                problem=repr(error),
            )
            return Unknown(Reason.answer_lost, ASK_KEY)
        return self._read(worker, request, response)

    def _request(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
    ) -> httpx.Request:
        return httpx.Request(
            method,
            url,
            headers=headers,
            content=body,
            extensions={'timeout': {'connect': self.connect_timeout}},
        )

    def _read(
        self,
        worker: Vm,
        request: Request,
        response: httpx.Response,
    ) -> Outcome:
        if response.headers.get(REQUEST_ID) != request.request_id:
            self.kernel.metrics.late_answers.inc({'from': worker.vm_id})
            self.log.warning(
                'A worker gave a foreign answer.',
                vm=worker.vm_id,
                request=request.request_id,
            )
            return Unknown(Reason.answer_lost, ASK_KEY)
        refused = response.headers.get(REFUSED)
        unavailable = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
        if unavailable and refused:
            return NotRun(Reason.refused, f'Try again; worker {refused}.')
        return Done(
            response.status_code,
            response.headers.get('Content-Type', ''),
            response.content,
        )


async def _exchange(
    transport: httpx.AsyncHTTPTransport,
    request: httpx.Request,
) -> httpx.Response:
    response = await transport.handle_async_request(request)
    try:
        await response.aread()
    finally:
        await response.aclose()
    return response


def _headers(request: Request) -> dict[str, str]:
    headers = {
        'Content-Type': request.content_type,
        REQUEST_ID: request.request_id,
        'Request-Kind': request.kind,
    }
    if request.key:
        headers['Idempotency-Key'] = request.key
    return headers
