"""
cyclamenshift.endpoints.http
============================

Sends requests to workers over HTTP, one POST for each request.

The worker returns the ``Request-Id`` header.  A response 503 with a
``Refused`` header means that the worker has not started the request.
"""

from http import HTTPStatus
from typing import Annotated, Final, TypedDict

import httpx
import msgspec
import trio
from msgspec import Meta

from ..clock import MS_PER_SECOND
from ..component import Host
from ..decoding import DECODING_ERRORS
from ..endpoint import Endpoint
from ..model import Done, NotRun, Outcome, Reason, Request, Unknown, Vm
from ..plugin import register
from ..store import Unavailable

#: Errors that occur before any part of the request is sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
#: Errors after which the status of a worker is not known.
STATUS_ERRORS: Final = (httpx.HTTPError, *DECODING_ERRORS)
#: The header with the request id, in requests and responses.
REQUEST_ID_HEADER: Final = 'Request-Id'
#: The response header of a worker that has not started the request.
REFUSED_HEADER: Final = 'Refused'
#: Time limit for reading the status of a worker, seconds.
STATUS_TIMEOUT_S = 1

LOOKUP_REMEDY = (
    'Ask for the outcome by its idempotency key before trying again.'
)


class WorkerStatus(TypedDict):
    """The status that a worker reports: its number of running requests."""

    running: Annotated[int, Meta(ge=0)]


@register
class HttpEndpoint(Endpoint):
    """
    Reuses connections for repeatable requests only.

    An idle connection may have been lost without notice, so each request
    that may not be repeated gets a new connection.  Requests are passed
    directly to the transports of httpx, since cookies, redirects and
    authentication are not used here.
    """

    name = 'http'

    def __init__(self, kernel: Host) -> None:
        """Create both transports, which connect on the first request."""
        super().__init__(kernel)
        settings = kernel.settings['endpoint']
        self.connect_timeout = settings['connect_timeout'] / MS_PER_SECOND
        self.keepalive_transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(max_keepalive_connections=None),
        )
        self.single_use_transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(max_keepalive_connections=0),
        )

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections open until cancelled."""
        async with self.keepalive_transport, self.single_use_transport:
            await super().run(task_status)

    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Send *request* to *worker* and return its outcome."""
        remaining = self.clock.remaining(request.deadline)
        if not remaining:
            return NotRun(Reason.deadline, 'Allow more time.')
        outcome: Outcome = Unknown(Reason.deadline, LOOKUP_REMEDY)
        with self.clock.move_on_after(remaining):
            outcome = await self._post(worker, request)
        return outcome

    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return the number of requests that *worker* is running."""
        unavailable = Unavailable(f'{worker.vm_id} does not tell its status.')
        status_request = self._build_request(
            'GET',
            f'{worker.address}/status',
            {},
            b'',
        )
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                response = await _exchange(
                    self.keepalive_transport,
                    status_request,
                )
                status = msgspec.json.decode(
                    response.content,
                    type=WorkerStatus,
                )
            except STATUS_ERRORS:
                return unavailable
            if response.is_success:
                return status['running']
        return unavailable

    async def _post(self, worker: Vm, request: Request) -> Outcome:
        transport = (
            self.keepalive_transport
            if request.repeatable
            else self.single_use_transport
        )
        post = self._build_request(
            'POST',
            f'{worker.address}/requests',
            _build_headers(request),
            request.body,
        )
        try:
            response = await _exchange(transport, post)
        except NOT_SENT_ERRORS:
            return NotRun(Reason.unreachable, 'Try again; a worker is gone.')
        except httpx.HTTPError as error:
            self.log.note(
                'No response from a worker.',
                vm=worker.vm_id,
                request=request.request_id,
                problem=repr(error),
            )
            return Unknown(Reason.answer_lost, LOOKUP_REMEDY)
        return self._parse_response(worker, request, response)

    def _build_request(
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

    def _parse_response(
        self,
        worker: Vm,
        request: Request,
        response: httpx.Response,
    ) -> Outcome:
        if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
            self.kernel.metrics.late_answers.inc({'from': worker.vm_id})
            self.log.warning(
                'A worker returned no request id or a wrong one.',
                vm=worker.vm_id,
                request=request.request_id,
            )
            return Unknown(Reason.answer_lost, LOOKUP_REMEDY)
        refused = response.headers.get(REFUSED_HEADER)
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


def _build_headers(request: Request) -> dict[str, str]:
    headers = {
        'Content-Type': request.content_type,
        REQUEST_ID_HEADER: request.request_id,
        'Request-Kind': request.kind,
    }
    if request.key:
        headers['Idempotency-Key'] = request.key
    return headers
