"""
cyclamenshift.platform.workers
==============================

The client that sends orders to the platform's workers.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, TypedDict

import msgspec

from ..component import Dump, Host
from ..decisions.timeouts import Timeout
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
from .reports import (
    ReportBody,
    ValidReportBody,
    count_unnamed,
    decode_report,
    encode_task_id,
    parse_report,
)
from .wire import Amount, ConflictBody, Unreadable, decode_json

#: The range of the adaptive response timeout of orders, ms.  A response takes
#: 3 to 6 ms, and longer where orders queue on a link.  A worker must be found
#: silent well before its lease expires.
MIN_TIMEOUT_MS: Final = 400
MAX_TIMEOUT_MS: Final = 1_200
#: The header with the id of the worker that the order is for; another worker
#: at the same address rejects it.
EXPECTED_INSTANCE_HEADER: Final = 'X-Expect-Instance'

#: The reasons of a worker that has not done what it was told, by the name in
#: its response; they come with the status ``CONFLICT``.
REFUSAL_REASONS: Final[Mapping[str, RefusalReason]] = {
    'fence': RefusalReason.fenced,
    'old': RefusalReason.stale_run,
    'late': RefusalReason.expired,
    'room': RefusalReason.no_capacity,
    'ticket': RefusalReason.no_ticket,
}
#: The statuses that prove by themselves that an order of any kind has no
#: effect.  Any other failure proves nothing: the order may have been executed
#: or may yet be.
REFUSAL_STATUSES: Final[Mapping[int, RefusalReason]] = {
    HTTPStatus.BAD_REQUEST: RefusalReason.unknown_task,
    HTTPStatus.MISDIRECTED_REQUEST: RefusalReason.replaced,
    HTTPStatus.TOO_MANY_REQUESTS: RefusalReason.unhealthy,
    HTTPStatus.SERVICE_UNAVAILABLE: RefusalReason.unhealthy,
}


#: The response to an order that was accepted.
AcceptedBody = TypedDict('AcceptedBody', {'clockMs': Amount})


@register
class PlatformWorkers(WorkerClient):
    """Sends orders over HTTP, on persistent connections to each worker."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first order."""
        super().__init__(kernel)
        self.client = Client(self.clock, kernel.metrics.load)
        self.timeout = Timeout(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
        self.unnamed_runs = 0
        self.identifies_processes = True

    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Order *worker* to start a run."""
        body = {
            **_encode_run(order.run),
            'spec': order.spec,
            'deadlineMs': order.expires,
            'fence': order.fence,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        result = await self._call(worker, 'run-start', body, to_identified=True)
        return _decode_order_result(result, self._find_receiver(result))

    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """Order *worker* to stop a run."""
        body = {**_encode_run(run), 'fence': fence}
        return _decode_order_result(await self._call(worker, 'run-stop', body))

    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease that covers all runs at *worker*."""
        body = {'fence': order.fence, 'lastSeen': order.acknowledged}
        if order.expires:
            body['deadlineMs'] = order.expires
        if order.wait:
            body['waitMs'] = order.wait
        result = await self._call(worker, 'hold', body, order.wait)
        receiver = self._find_receiver(result)
        if not isinstance(result, Response) or result.status != HTTPStatus.OK:
            return _decode_failure(result, receiver)
        reported = parse_report(result.body)
        if isinstance(reported, Unreadable):
            return Unanswered(True, reported.reason, receiver=receiver)
        self._identify_process(result, reported['born'])
        return self._decode_report(worker, reported)

    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Change the speed limit of a run at *worker*."""
        body = {
            **_encode_run(order.run),
            'percent': order.percent,
            'fence': order.fence,
        }
        return _decode_order_result(await self._call(worker, 'pace', body))

    def dump(self) -> Dump:
        """Return the connections opened, the timeout and odd entries."""
        return {
            'connections_opened': self.client.opened,
            'wait_ms': self.timeout.current(),
            'unnamed_runs': self.unnamed_runs,
        }

    def _find_receiver(
        self, result: Response | NotSent | NoResponse
    ) -> int | None:
        """Return the start time of the only process that got a request."""
        if isinstance(result, NotSent) or not self.identifies_processes:
            return None
        return result.process.identity if result.process else None

    def _identify_process(self, response: Response, started_at: int) -> None:
        """
        Record which process reported on a connection.

        Reports of two processes prove that a proxy forwards the requests:
        then connections tell nothing.
        """
        process = response.process
        if process is None:
            return
        if process.identity not in {None, started_at}:
            self.identifies_processes = False
            self.log.warning(
                'Two processes reported on one connection.',
                started_at=(process.identity, started_at),
            )
        process.identity = started_at

    def _decode_report(
        self, worker: Worker, body: ReportBody | ValidReportBody
    ) -> WorkerReport | Unanswered:
        """Return the report; log the first one with runs without a name."""
        report = decode_report(body)
        if isinstance(report, Unreadable):
            return Unanswered(sent=True, reason=report.reason)
        unnamed = count_unnamed(body, report)
        if unnamed and not self.unnamed_runs:
            self.log.warning(
                'Runs without a name in a report.',
                worker=worker.worker_id,
                runs=unnamed,
            )
        self.unnamed_runs += unnamed
        return report

    async def _call(
        self,
        worker: Worker,
        name: str,
        body: Mapping[str, Any],
        wait: int = 0,
        *,
        to_identified: bool = False,
    ) -> Response | NotSent | NoResponse:
        request = Request(
            name,
            'POST',
            f'/v1/{name}',
            msgspec.json.encode(body),
            self.timeout.current(),
            wait,
            ((EXPECTED_INSTANCE_HEADER, worker.worker_id),),
            to_identified,
        )
        sent_at = self.clock.now()
        result = await self.client.call(worker.address, request)
        elapsed = self.clock.now() - sent_at
        if isinstance(result, NoResponse) and elapsed >= wait + request.timeout:
            self.timeout.expire()
        elif isinstance(result, Response) and elapsed >= wait:
            self.timeout.record(elapsed - wait)
        return result


def _encode_run(run: RunId) -> dict[str, Any]:
    return {'task': encode_task_id(run.task), 'run': run.number}


def _decode_order_result(
    result: Response | NotSent | NoResponse,
    receiver: int | None = None,
) -> OrderResult:
    if not isinstance(result, Response) or result.status != HTTPStatus.OK:
        return _decode_failure(result, receiver)
    accepted = decode_json(result.body, AcceptedBody)
    if isinstance(accepted, Unreadable):
        return Unanswered(True, accepted.reason, receiver=receiver)
    return Accepted(accepted['clockMs'], receiver)


def _decode_failure(
    result: Response | NotSent | NoResponse,
    receiver: int | None,
) -> Refused | Unanswered:
    """Return what *result*, which is no acceptance, proves."""
    if isinstance(result, NotSent):
        return Unanswered(
            sent=False, reason=result.reason, refused=result.refused
        )
    if isinstance(result, NoResponse):
        return Unanswered(True, result.reason, receiver=receiver)
    refusal = _find_refusal(result)
    if refusal is None:
        return Unanswered(True, f'status {result.status}', receiver=receiver)
    return Refused(refusal)


def _find_refusal(response: Response) -> RefusalReason | None:
    """Return why the worker refused an order, None if that is not proved."""
    if response.status != HTTPStatus.CONFLICT:
        return REFUSAL_STATUSES.get(response.status)
    conflict = decode_json(response.body, ConflictBody)
    if isinstance(conflict, Unreadable):
        return None
    return REFUSAL_REASONS.get(conflict['reason'])
