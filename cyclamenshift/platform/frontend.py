"""
cyclamenshift.platform.frontend
===============================

The HTTP front end through which the platform's clients submit jobs.
"""

import re
from http import HTTPStatus
from typing import Final, NamedTuple

import quart
import trio
from quart import Response

from ..component import Host
from ..controls.job_access import JobAccess
from ..decisions.accounts.keys import account_of
from ..decisions.admission import find_problem
from ..directory import Directory, Queue
from ..frontend import Frontend, read_body
from ..plugin import register
from .jobs import JobBody, decode_job, describe_problem
from .refusals import bad_request, service_unavailable, unauthorized
from .responses import empty_response, respond, respond_to_cancel
from .wire import Unreadable, decode_json

#: The format of job ids.
JOB_ID: Final = re.compile('[0-9a-f]{16}')
#: The path of the readiness probes.
READINESS_PATH: Final = '/v1/ready'
#: The header with the id of a request, for the log.
REQUEST_ID_HEADER: Final = 'Request-Id'
#: The header with the time that the caller waits for the response, ms.
DEADLINE_HEADER: Final = 'X-Deadline-Ms'
#: The same time for a request without the header, ms.
DEFAULT_TIMEOUT_MS: Final = 3_000
#: The header with the access key of the caller.
KEY_HEADER: Final = 'X-Key'
#: The most digits of that time; a text of thousands can't be converted.
MAX_DIGITS: Final = 15
#: The part of that time reserved for sending the response, ms.
RESPONSE_MARGIN_MS: Final = 50
#: The maximum time for the request of a caller, ms.  It is half of what
#: callers usually allow, so that they can retry if the outcome is unknown.
MAX_TIMEOUT_MS: Final = 1_400


#: How long a request may wait until the configuration is confirmed, ms: for
#: one read of a store that answers slowly.
CONFIRM_WAIT_MS: Final = 150


class Caller(NamedTuple):
    """
    Who sends a request; ``known`` is whether it may be served.

    ``account`` is None where the queue has open access.
    """

    known: bool
    account: str | None


class JobTarget(NamedTuple):
    """The queue and the job of a request; no job id for the queue itself."""

    queue: Queue
    job_id: str


@register
class PlatformFrontend(Frontend):
    """Serves jobs, by host and path prefix of their queue, and readiness."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Install the handler, which serves every host and path."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.job_access = kernel.get(JobAccess)
        self.configuration_age = kernel.settings['jobs']['configuration_age']
        self.drain_delay = kernel.settings['callers']['leaving_notice']
        self.app.before_request(self.handle_request)
        self.app.after_request(self._close_when_draining)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers and readiness probes until drained."""
        settings = self.kernel.settings
        await self.listen(
            (settings['callers'], settings['readiness']),
            task_status,
        )

    async def handle_request(self) -> Response:
        """Return the response to the current request."""
        request = quart.request
        target = self._find_target(request.host, request.path)
        if target is None and request.path == READINESS_PATH:
            return empty_response(self._readiness_status())
        if not _names_a_stored_job(target):
            if not await self._is_configuration_current():
                return self._refuse_unconfirmed()
            target = self._find_target(request.host, request.path)
        if target is not None:
            started = self.clock.now()
            caller = self._identify_caller(target)
            response = await self._handle_job_request(target, caller)
            elapsed = self.clock.now() - started
            self._record_request(target, caller, response, elapsed)
            return response
        if self.directory.catalog is None:
            return service_unavailable('there is no configuration yet')
        return empty_response(HTTPStatus.NOT_FOUND)

    async def _is_configuration_current(self) -> bool:
        """Return whether no newer configuration must be in force by now."""
        return await self.directory.wait_until_current(
            self.configuration_age, CONFIRM_WAIT_MS
        )

    def _refuse_unconfirmed(self) -> Response:
        """Refuse a request that a newer configuration may decide otherwise."""
        request = quart.request
        self.kernel.metrics.requests.inc(
            {
                'service': '',
                'outcome': str(HTTPStatus.SERVICE_UNAVAILABLE.value),
            }
        )
        self.log.note(
            'Request refused: the configuration is not confirmed.',
            request=request.headers.get(REQUEST_ID_HEADER, ''),
            method=request.method,
            path=request.path,
        )
        return service_unavailable('the configuration is not confirmed')

    def _identify_caller(self, target: JobTarget) -> Caller:
        """Return whose key the request carries, as its queue requires."""
        if target.queue.open_access:
            return Caller(known=True, account=None)
        catalog = self.directory.catalog
        keys = set(quart.request.headers.getlist(KEY_HEADER))
        account = None
        if catalog is not None and len(keys) == 1:
            account = account_of(catalog.accounts.values(), keys.pop())
        return Caller(known=account is not None, account=account)

    async def _handle_job_request(
        self, target: JobTarget, caller: Caller
    ) -> Response:
        if not caller.known:
            return unauthorized()
        if quart.request.method == 'POST':
            return await self._submit(target, caller.account or '')
        queue, job_id = target
        wait = _read_timeout()
        access = self.job_access
        if quart.request.method == 'DELETE':
            return respond_to_cancel(
                await access.cancel(queue, job_id, wait, caller.account)
            )
        if job_id:
            return respond(
                await access.state_of(queue, job_id, wait, caller.account)
            )
        return respond(await access.count_waiting(queue, wait))

    async def _submit(self, target: JobTarget, account: str) -> Response:
        if not JOB_ID.fullmatch(target.job_id):
            return bad_request('the id is not 16 hexadecimal digits')
        body = decode_json(await read_body(), JobBody)
        if isinstance(body, Unreadable):
            return bad_request(body.reason)
        job = decode_job(
            target.job_id,
            target.queue.name,
            body,
            self.clock.wall_time(),
        )._replace(account=account)
        problem = find_problem(job)
        if problem:
            return bad_request(describe_problem(problem))
        return respond(
            await self.job_access.submit(target.queue, job, _read_timeout())
        )

    def _record_request(
        self,
        target: JobTarget,
        caller: Caller,
        response: Response,
        elapsed: int,
    ) -> None:
        catalog = self.directory.catalog
        metrics = self.kernel.metrics
        method = quart.request.method
        metrics.answer_ms.observe({'method': method}, elapsed)
        metrics.requests.inc(
            {
                'service': target.queue.service,
                'outcome': str(response.status_code),
            },
        )
        self.log.note(
            'Request handled.',
            request=quart.request.headers.get(REQUEST_ID_HEADER, ''),
            method=method,
            queue=target.queue.name,
            job=target.job_id,
            status=response.status_code,
            took_ms=elapsed,
            version=catalog.version if catalog else None,
            **({'account': caller.account} if caller.account else {}),
        )

    def _find_target(self, host: str, path: str) -> JobTarget | None:
        catalog = self.directory.catalog
        queues = catalog.queues.values() if catalog else ()
        matches = [
            queue
            for queue in queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        if not matches:
            return None
        queue = max(matches, key=_prefix_length)
        return JobTarget(queue, path.removeprefix(queue.prefix))

    def _readiness_status(self) -> HTTPStatus:
        if self.kernel.draining or self.directory.catalog is None:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.OK

    async def _close_when_draining(self, response: Response) -> Response:
        if self.kernel.draining:
            response.headers['Connection'] = 'close'
        return response


def _names_a_stored_job(target: JobTarget | None) -> bool:
    """
    Return whether the request is about a job that may be stored.

    Such a job was accepted under a configuration that had its queue, so its
    caller learns its state, and can cancel it, also from an older one.  Where
    an access key is needed, a newer one may have withdrawn it.
    """
    if target is None or not target.job_id or not target.queue.open_access:
        return False
    return quart.request.method != 'POST'


def _read_timeout() -> int:
    text = quart.request.headers.get(DEADLINE_HEADER, '')
    readable = text.isdecimal() and len(text) <= MAX_DIGITS
    wait = int(text) if readable else DEFAULT_TIMEOUT_MS
    return max(1, min(MAX_TIMEOUT_MS, wait - RESPONSE_MARGIN_MS))


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
