"""
cyclamenshift.platform.workers
==============================

Orders to the platform's workers.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final

import msgspec

from ..component import Dump, Host
from ..http1 import Client, NoResponse, NotSent, Request, Response
from ..job import RunId
from ..plugin import register
from ..worker import (
    Accepted,
    LeaseRenewal,
    OrderResult,
    RefusalReason,
    Refused,
    StartOrder,
    Throttle,
    Unanswered,
    Worker,
    WorkerClient,
    WorkerReport,
)
from .reports import ReportBody, report_of, task_name
from .wire import Unreadable, decode_json

#: How long a worker may take to answer an order, ms.  An order takes 3 to
#: 6 ms there and back.
ORDER_WAIT_MS: Final = 400
#: The header that names the worker instance that is addressed.
EXPECTED: Final = 'X-Expect-Instance'

#: Why a worker refuses an order, by the reason in its answer.
REASONS: Final[Mapping[str, RefusalReason]] = {
    'fence': RefusalReason.fenced,
    'old': RefusalReason.stale_run,
    'late': RefusalReason.expired,
    'room': RefusalReason.no_capacity,
    'ticket': RefusalReason.no_ticket,
}
#: The same by status, where the answer has no such reason.
STATUSES: Final[Mapping[int, RefusalReason]] = {
    HTTPStatus.BAD_REQUEST: RefusalReason.unknown_task,
    HTTPStatus.MISDIRECTED_REQUEST: RefusalReason.replaced,
}


@register
class PlatformWorkers(WorkerClient):
    """Speaks to workers over HTTP, each on kept connections."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first order."""
        super().__init__(kernel)
        self.client = Client(self.clock)

    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Let *worker* start a run."""
        body = {
            **_run_body(order.run),
            'spec': order.spec,
            'deadlineMs': order.expires,
            'fence': order.fence,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return _order_result(await self._call(worker, 'run-start', body))

    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """Let *worker* stop a run."""
        body = {**_run_body(run), 'fence': fence}
        return _order_result(await self._call(worker, 'run-stop', body))

    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease of everything that runs at *worker*."""
        body = {'fence': order.fence, 'lastSeen': order.acknowledged}
        if order.expires:
            body['deadlineMs'] = order.expires
        if order.wait:
            body['waitMs'] = order.wait
        result = await self._call(worker, 'hold', body, order.wait)
        if not isinstance(result, Response) or result.status != HTTPStatus.OK:
            return _failure(result)
        report = decode_json(result.body, ReportBody)
        if isinstance(report, Unreadable):
            return Unanswered(sent=True, reason=report.reason)
        return report_of(report)

    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Let *worker* run a task slower, or faster again."""
        body = {
            **_run_body(order.run),
            'percent': order.percent,
            'fence': order.fence,
        }
        return _order_result(await self._call(worker, 'pace', body))

    def dump(self) -> Dump:
        """Return how many connections were opened."""
        return {'connections_opened': self.client.opened}

    async def _call(
        self,
        worker: Worker,
        name: str,
        body: Mapping[str, Any],
        wait: int = 0,
    ) -> Response | NotSent | NoResponse:
        call = Request(
            'POST',
            f'/v1/{name}',
            msgspec.json.encode(body),
            wait + ORDER_WAIT_MS,
            ((EXPECTED, worker.worker_id),),
        )
        return await self.client.call(worker.address, call)


def _run_body(run: RunId) -> dict[str, Any]:
    return {'task': task_name(run.task), 'run': run.number}


def _order_result(result: Response | NotSent | NoResponse) -> OrderResult:
    if isinstance(result, Response) and result.status == HTTPStatus.OK:
        told = decode_json(result.body, dict[str, Any])
        clock = 0 if isinstance(told, Unreadable) else told.get('clockMs', 0)
        return Accepted(clock)
    return _failure(result)


def _failure(
    result: Response | NotSent | NoResponse,
) -> Refused | Unanswered:
    if isinstance(result, NotSent):
        return Unanswered(sent=False, reason=result.reason)
    if isinstance(result, NoResponse):
        return Unanswered(sent=True, reason=result.reason)
    told = decode_json(result.body, dict[str, Any])
    reason = '' if isinstance(told, Unreadable) else told.get('reason')
    by_status = STATUSES.get(result.status, RefusalReason.unhealthy)
    return Refused(REASONS.get(str(reason), by_status))
