"""
cyclamenshift.frontends.callers
===============================

The HTTP interface for callers: one POST for each request.
"""

import uuid
from http import HTTPStatus
from typing import Final

import quart
import trio
from quart import Response
from werkzeug.exceptions import (
    HTTPException,
    RequestEntityTooLarge,
    RequestTimeout,
)

from ..clock import MS_PER_SECOND
from ..component import Host
from ..controls.claims import Claims
from ..controls.configuration import Configuration
from ..controls.dispatcher import Dispatcher
from ..decisions import claims as claim_rules
from ..fleet import ServiceFields
from ..frontend import Frontend, read_body
from ..model import NotRun, Outcome, Reason, Request, Unknown
from ..plugin import register
from ..store import Unavailable
from .answers import OUTCOME, answer, problem, respond

#: The longest idempotency key, in characters.
KEY_LIMIT: Final = 200
#: The kind of work of a request that names none.
DEFAULT_WORK: Final = 'default'

#: How long the last answers may take to go out, ms.
ABANDON_MS: Final = 1_000

STOPPED = Unknown(
    Reason.stopping,
    'Ask another entry VM for the outcome by the idempotency key.',
)
KEY_MISSING = NotRun(
    Reason.key_missing,
    f'Send an Idempotency-Key of at most {KEY_LIMIT} characters; '
    'this work may not be repeated.',
)
KEYS_DIFFER = NotRun(
    Reason.bad_request,
    'Send one Idempotency-Key; there are two that differ.',
)


@register
class CallerFrontend(Frontend):
    """Reads whole requests, and answers each with its one outcome."""

    name = 'callers'
    work_kinds = frozenset(('requests',))

    def __init__(self, kernel: Host) -> None:
        """Set the routes and the bounds of bodies."""
        super().__init__(kernel)
        self.settings = kernel.settings['callers']
        self.drain_delay = self.settings['leaving_notice']
        self.configuration = kernel.get(Configuration)
        self.claims = kernel.get(Claims)
        self.dispatcher = kernel.get(Dispatcher)
        self.scopes: set[trio.CancelScope] = set()
        self.app.config['MAX_CONTENT_LENGTH'] = self.settings['body_limit']
        self.app.config['BODY_TIMEOUT'] = (
            self.settings['read_timeout'] / MS_PER_SECOND
        )
        self.app.post('/v1/services/<service>/requests')(self.post_request)
        self.app.get('/v1/requests/<key>')(self.show_outcome)
        self.app.get('/healthz')(self.show_health)
        self.app.get('/readyz')(self.show_readiness)
        self.app.register_error_handler(HTTPException, _http_error)
        self.app.after_request(self._close_when_draining)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers."""
        await self.listen((self.settings,), task_status)

    async def abort(self) -> None:
        """Answer what is still in flight with unknown."""
        for scope in tuple(self.scopes):
            scope.cancel()
        with self.clock.move_on_after(ABANDON_MS):
            await self.close()

    async def post_request(self, service: str) -> Response:
        """Take one request to its outcome."""
        request_id = uuid.uuid4().hex
        outcome: Outcome = STOPPED
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                outcome = await self._outcome(service, request_id)
            finally:
                self.scopes.discard(scope)
        name = type(outcome).__name__
        known = service if self._service(service) else ''
        labels = {'service': known, 'outcome': name}
        self.kernel.metrics.requests.inc(labels)
        return answer(outcome, request_id)

    async def show_outcome(self, key: str) -> Response:
        """Tell what became of the request with this idempotency key."""
        row = await self.claims.look_up(key)
        if isinstance(row, Unavailable):
            return problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.store_down,
                'Ask again when the store is back.',
            )
        if row is None:
            return problem(
                HTTPStatus.NOT_FOUND,
                'no-such-key',
                'Send the request; no entry VM has claimed this key.',
            )
        return answer(claim_rules.recorded_outcome(row), row['request_id'])

    async def show_health(self) -> Response:
        """Say that the process runs."""
        return Response('ok\n')

    async def show_readiness(self) -> Response:
        """Say whether the balancer should send callers here."""
        if self.kernel.draining:
            return problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.stopping,
                'Use another entry VM.',
            )
        if not self.configuration.ready:
            return problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'Apply a configuration, or wait until one is read.',
            )
        return Response('ready\n')

    async def _outcome(self, service: str, request_id: str) -> Outcome:
        fields = self._service(service)
        if fields is None:
            return NotRun(
                Reason.no_such_service,
                f'There is no service {service!r}; name one that there is.',
            )
        started = self.clock.now()
        timeout = self._timeout()
        if isinstance(timeout, NotRun):
            return timeout
        body = await read_body()
        request = _build(service, fields, request_id, started + timeout, body)
        if isinstance(request, NotRun):
            return request
        if request.repeatable:
            return await self.dispatcher.handle(request)
        return await self.claims.run_once(request, self.dispatcher.handle)

    def _service(self, name: str) -> ServiceFields | None:
        active_config = self.configuration.active_config
        return (
            active_config.fleet['services'].get(name) if active_config else None
        )

    def _timeout(self) -> int | NotRun:
        text = quart.request.headers.get('Request-Timeout')
        if text is None:
            return self.settings['default_timeout']
        longest = self.settings['longest_timeout']
        if not text.isdecimal() or not 0 < int(text) <= longest:
            return NotRun(
                Reason.bad_request,
                f'Send a Request-Timeout from 1 to {longest} ms.',
            )
        return int(text)

    async def _close_when_draining(self, response: Response) -> Response:
        if self.kernel.draining:
            response.headers['Connection'] = 'close'
        return response


def _build(
    service: str,
    fields: ServiceFields,
    request_id: str,
    deadline: int,
    body: bytes,
) -> Request | NotRun:
    headers = quart.request.headers
    work = headers.get('Request-Kind', DEFAULT_WORK)
    known = fields['work'].get(work)
    if known is None and fields['work']:
        kinds = ', '.join(sorted(fields['work']))
        return NotRun(
            Reason.bad_request,
            f'Send a Request-Kind that {service} has: {kinds}.',
        )
    repeatable = bool(known and known['repeatable'])
    if len(set(headers.getlist('Idempotency-Key'))) > 1:
        return KEYS_DIFFER
    key = '' if repeatable else headers.get('Idempotency-Key', '')
    if not repeatable and not 0 < len(key) <= KEY_LIMIT:
        return KEY_MISSING
    return Request(
        request_id=request_id,
        service=service,
        kind=work,
        body=body,
        content_type=headers.get('Content-Type', ''),
        deadline=deadline,
        repeatable=repeatable,
        key=key,
    )


async def _http_error(error: HTTPException) -> Response:
    if isinstance(error, RequestEntityTooLarge):
        return respond(NotRun(Reason.too_large, 'Send a smaller body.'))
    if isinstance(error, RequestTimeout):
        return respond(NotRun(Reason.bad_request, 'Send the body faster.'))
    status = HTTPStatus(error.code or HTTPStatus.INTERNAL_SERVER_ERROR)
    response = problem(status, 'no-such-call', error.description or '')
    response.headers[OUTCOME] = 'not-run'
    return response
