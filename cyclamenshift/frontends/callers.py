"""
cyclamenshift.frontends.callers
===============================

The HTTP front end for callers, with one POST per request.
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
from .responses import (
    OUTCOME_HEADER,
    build_response,
    encode_outcome,
    problem_response,
)

#: Maximum length of an idempotency key, characters.
MAX_KEY_LENGTH: Final = 200
#: The kind of a request without a Request-Kind header.
DEFAULT_KIND: Final = 'default'

#: Time limit for sending the last responses during an abort, ms.
ABORT_TIMEOUT_MS: Final = 1_000

STOPPING = Unknown(
    Reason.stopping,
    'Ask another entry VM for the outcome by the idempotency key.',
)
KEY_MISSING = NotRun(
    Reason.key_missing,
    f'Send an Idempotency-Key of at most {MAX_KEY_LENGTH} characters; '
    'this work may not be repeated.',
)
CONFLICTING_KEYS = NotRun(
    Reason.bad_request,
    'Send one Idempotency-Key; there are two that differ.',
)


@register
class CallerFrontend(Frontend):
    """Reads each request completely, runs it and returns its outcome."""

    name = 'callers'
    work_kinds = frozenset(('requests',))

    def __init__(self, kernel: Host) -> None:
        """Register the routes and set the limits for request bodies."""
        super().__init__(kernel)
        self.settings = kernel.settings['callers']
        self.drain_delay = self.settings['leaving_notice']
        self.configuration = kernel.get(Configuration)
        self.claims = kernel.get(Claims)
        self.dispatcher = kernel.get(Dispatcher)
        self.cancel_scopes: set[trio.CancelScope] = set()
        self.app.config['MAX_CONTENT_LENGTH'] = self.settings['body_limit']
        self.app.config['BODY_TIMEOUT'] = (
            self.settings['read_timeout'] / MS_PER_SECOND
        )
        self.app.post('/v1/services/<service>/requests')(self.post_request)
        self.app.get('/v1/requests/<key>')(self.show_outcome)
        self.app.get('/healthz')(self.show_health)
        self.app.get('/readyz')(self.show_readiness)
        self.app.register_error_handler(HTTPException, _handle_http_error)
        self.app.after_request(self._close_when_draining)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers."""
        await self.listen((self.settings,), task_status)

    async def abort(self) -> None:
        """Cancel the open requests; their outcome is reported as unknown."""
        for scope in tuple(self.cancel_scopes):
            scope.cancel()
        with self.clock.move_on_after(ABORT_TIMEOUT_MS):
            await self.close()

    async def post_request(self, service: str) -> Response:
        """Run a request and respond with its outcome."""
        request_id = uuid.uuid4().hex
        outcome: Outcome = STOPPING
        with trio.CancelScope() as scope:
            self.cancel_scopes.add(scope)
            try:
                outcome = await self._run_request(service, request_id)
            finally:
                self.cancel_scopes.discard(scope)
        outcome_label = type(outcome).__name__
        service_label = service if self._find_service(service) else ''
        labels = {'service': service_label, 'outcome': outcome_label}
        self.kernel.metrics.requests.inc(labels)
        return build_response(outcome, request_id)

    async def show_outcome(self, key: str) -> Response:
        """Return the recorded outcome of the request with this key."""
        row = await self.claims.look_up(key)
        if isinstance(row, Unavailable):
            return problem_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.store_down,
                'Ask again when the store is back.',
            )
        if row is None:
            return problem_response(
                HTTPStatus.NOT_FOUND,
                'no-such-key',
                'Send the request; no entry VM has claimed this key.',
            )
        return build_response(
            claim_rules.recorded_outcome(row),
            row['request_id'],
        )

    async def show_health(self) -> Response:
        """Respond to a liveness check."""
        return Response('ok\n')

    async def show_readiness(self) -> Response:
        """Return whether a load balancer should send requests here."""
        if self.kernel.draining:
            return problem_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.stopping,
                'Use another entry VM.',
            )
        if not self.configuration.ready:
            return problem_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'Apply a configuration, or wait until one is read.',
            )
        return Response('ready\n')

    async def _run_request(self, service: str, request_id: str) -> Outcome:
        service_fields = self._find_service(service)
        if service_fields is None:
            return NotRun(
                Reason.no_such_service,
                f'There is no service {service!r}; name one that there is.',
            )
        started = self.clock.now()
        timeout = self._parse_timeout()
        if isinstance(timeout, NotRun):
            return timeout
        body = await read_body()
        request = _build_request(
            service,
            service_fields,
            request_id,
            started + timeout,
            body,
        )
        if isinstance(request, NotRun):
            return request
        if request.repeatable:
            return await self.dispatcher.handle(request)
        return await self.claims.run_once(request, self.dispatcher.handle)

    def _find_service(self, name: str) -> ServiceFields | None:
        active_config = self.configuration.active_config
        return (
            active_config.fleet['services'].get(name) if active_config else None
        )

    def _parse_timeout(self) -> int | NotRun:
        text = quart.request.headers.get('Request-Timeout')
        if text is None:
            return self.settings['default_timeout']
        max_timeout = self.settings['longest_timeout']
        if not text.isdecimal() or not 0 < int(text) <= max_timeout:
            return NotRun(
                Reason.bad_request,
                f'Send a Request-Timeout from 1 to {max_timeout} ms.',
            )
        return int(text)

    async def _close_when_draining(self, response: Response) -> Response:
        if self.kernel.draining:
            response.headers['Connection'] = 'close'
        return response


def _build_request(
    service: str,
    service_fields: ServiceFields,
    request_id: str,
    deadline: int,
    body: bytes,
) -> Request | NotRun:
    headers = quart.request.headers
    kind = headers.get('Request-Kind', DEFAULT_KIND)
    work_fields = service_fields['work'].get(kind)
    if work_fields is None and service_fields['work']:
        known_kinds = ', '.join(sorted(service_fields['work']))
        return NotRun(
            Reason.bad_request,
            f'Send a Request-Kind that {service} has: {known_kinds}.',
        )
    repeatable = bool(work_fields and work_fields['repeatable'])
    if len(set(headers.getlist('Idempotency-Key'))) > 1:
        return CONFLICTING_KEYS
    key = '' if repeatable else headers.get('Idempotency-Key', '')
    if not repeatable and not 0 < len(key) <= MAX_KEY_LENGTH:
        return KEY_MISSING
    return Request(
        request_id=request_id,
        service=service,
        kind=kind,
        body=body,
        content_type=headers.get('Content-Type', ''),
        deadline=deadline,
        repeatable=repeatable,
        key=key,
    )


async def _handle_http_error(error: HTTPException) -> Response:
    if isinstance(error, RequestEntityTooLarge):
        return encode_outcome(NotRun(Reason.too_large, 'Send a smaller body.'))
    if isinstance(error, RequestTimeout):
        return encode_outcome(
            NotRun(Reason.bad_request, 'Send the body faster.')
        )
    status = HTTPStatus(error.code or HTTPStatus.INTERNAL_SERVER_ERROR)
    response = problem_response(status, 'no-such-call', error.description or '')
    response.headers[OUTCOME_HEADER] = 'not-run'
    return response
