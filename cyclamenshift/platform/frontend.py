"""
cyclamenshift.platform.frontend
===============================

The HTTP interface of the platform's clients, who hand in jobs.
"""

import re
from http import HTTPStatus
from typing import Final, NamedTuple

import quart
import trio
from quart import Response

from ..component import Host
from ..controls.job_access import JobAccess, NoSuchJob, Stored
from ..decisions.admission import find_problem
from ..directory import Directory, Queue
from ..frontend import Frontend, read_body
from ..plugin import register
from ..store import Unavailable
from .answers import bad_request, cancelled, plain, refusal, respond
from .jobs import JobBody, job_of
from .wire import Unreadable, decode_json

#: What the ids of jobs look like.
JOB_ID: Final = re.compile('[0-9a-f]{16}')
#: The header that names a request.
REQUEST_ID: Final = 'Request-Id'
#: How long the caller waits, ms; from the header, less the way back.
DEADLINE: Final = 'X-Deadline-Ms'
DEFAULT_WAIT_MS: Final = 3_000
WAY_BACK_MS: Final = 50
#: The longest time for a caller whose job may or may not be stored, ms: half
#: of what callers usually allow, so that they can ask again.
LONGEST_WAIT_MS: Final = 1_400


class Target(NamedTuple):
    """The queue that a request names, and the rest of its path."""

    queue: Queue
    rest: str


@register
class PlatformFrontend(Frontend):
    """Jobs by host and path prefix, and readiness."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Set the routes."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.job_access = kernel.get(JobAccess)
        self.drain_delay = kernel.settings['callers']['leaving_notice']
        self.app.before_request(self.answer)
        self.app.after_request(self._close_when_draining)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers, and whoever asks for readiness."""
        settings = self.kernel.settings
        await self.listen(
            (settings['callers'], settings['readiness']),
            task_status,
        )

    async def answer(self) -> Response:
        """Answer any request."""
        request = quart.request
        target = self._target(request.host, request.path)
        if target is not None:
            started = self.clock.now()
            response = await self._answer_for(target)
            self._log(target, response, self.clock.now() - started)
            return response
        if request.path == '/v1/ready':
            return plain(self._readiness())
        if self.directory.catalog is None:
            return refusal('there is no configuration yet')
        return plain(HTTPStatus.NOT_FOUND)

    async def _answer_for(self, target: Target) -> Response:
        if quart.request.method == 'POST':
            return await self._submit(target)
        if quart.request.method == 'DELETE':
            return cancelled(await self._cancel(target))
        if target.rest:
            state = await self.job_access.state_of(target.queue, target.rest)
            return respond(state)
        return respond(await self.job_access.count_waiting(target.queue))

    async def _submit(self, target: Target) -> Response:
        if not JOB_ID.fullmatch(target.rest):
            return bad_request('the id is not 16 hexadecimal digits')
        body = decode_json(await read_body(), JobBody)
        if isinstance(body, Unreadable):
            return bad_request(body.reason)
        job = job_of(
            target.rest,
            target.queue.name,
            body,
            self.clock.wall_time(),
        )
        problem = find_problem(job)
        if problem:
            return bad_request(problem)
        return respond(await self.job_access.submit(target.queue, job, _wait()))

    async def _cancel(
        self,
        target: Target,
    ) -> Stored | NoSuchJob | Unavailable:
        return await self.job_access.cancel(target.queue, target.rest, _wait())

    def _log(self, target: Target, response: Response, took: int) -> None:
        catalog = self.directory.catalog
        metrics = self.kernel.metrics
        method = quart.request.method
        metrics.answer_ms.observe({'method': method}, took)
        metrics.requests.inc(
            {
                'service': target.queue.service,
                'outcome': str(response.status_code),
            },
        )
        self.log.note(
            'Answered a caller.',
            request=quart.request.headers.get(REQUEST_ID, ''),
            method=method,
            queue=target.queue.name,
            job=target.rest,
            status=response.status_code,
            took_ms=took,
            version=catalog.version if catalog else None,
        )

    def _target(self, host: str, path: str) -> Target | None:
        catalog = self.directory.catalog
        queues = catalog.queues.values() if catalog else ()
        found = [
            queue
            for queue in queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        if not found:
            return None
        queue = max(found, key=_prefix_length)
        return Target(queue, path.removeprefix(queue.prefix))

    def _readiness(self) -> HTTPStatus:
        if self.kernel.draining or self.directory.catalog is None:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.OK

    async def _close_when_draining(self, response: Response) -> Response:
        if self.kernel.draining:
            response.headers['Connection'] = 'close'
        return response


def _wait() -> int:
    text = quart.request.headers.get(DEADLINE, '')
    wait = int(text) if text.isdecimal() else DEFAULT_WAIT_MS
    return max(1, min(LONGEST_WAIT_MS, wait - WAY_BACK_MS))


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
