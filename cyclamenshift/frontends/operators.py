"""
cyclamenshift.frontends.operators
=================================

The HTTP front end for operators of an entry VM that serves requests.
"""

from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, TypedDict, TypeVar

import msgspec
import trio
from quart import Response

from ..component import Host
from ..controls.configuration import AppliedChange, Configuration, Proposal
from ..controls.dispatcher import Dispatcher
from ..controls.pools import PoolOperations, VmChanged
from ..decisions.budget import Refused
from ..errors import SettingsError
from ..frontend import Frontend, read_body
from ..metrics import TEXT_FORMAT
from ..plugin import register
from ..rows import BUDGET_TABLE, BudgetRow, decode_row
from ..store import Store, Unavailable
from .responses import problem_response

BodyType = TypeVar('BodyType')


class ApplyBody(TypedDict):
    """
    The request body of ``PUT /v1/config``.

    ``texts`` maps file names to contents; ``base`` is the number of the
    configuration that the change was made against.
    """

    texts: dict[str, str]
    base: int
    change_id: str
    operator: str


class MoveBody(TypedDict):
    """The request body of ``POST /v1/vms/ID/move``; ``to`` is a pool."""

    to: str


@register
class OperatorFrontend(Frontend):
    """Shows and changes the configuration and the VMs on a separate port."""

    name = 'operators'
    work_kinds = frozenset(('requests',))

    def __init__(self, kernel: Host) -> None:
        """Register the routes."""
        super().__init__(kernel)
        self.settings = kernel.settings['operators']
        self.configuration = kernel.get(Configuration)
        self.pools = kernel.get(PoolOperations)
        self.app.get('/metrics')(self.show_metrics)
        self.app.get('/v1/dump')(self.show_dump)
        self.app.get('/v1/config')(self.show_config)
        self.app.put('/v1/config')(self.put_config)
        self.app.get('/v1/config/status')(self.show_config_status)
        self.app.get('/v1/pools')(self.show_pools)
        self.app.get('/v1/vms')(self.show_vms)
        self.app.post('/v1/vms/<vm_id>/drain')(self.post_drain)
        self.app.post('/v1/vms/<vm_id>/move')(self.post_move)
        self.app.post('/v1/vms/<vm_id>/return')(self.post_return)
        self.app.register_error_handler(
            msgspec.MsgspecError,
            _handle_decode_error,
        )

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve operators."""
        await self.listen((self.settings,), task_status)

    async def show_metrics(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        for pool, queue in self.kernel.get(Dispatcher).queues.items():
            waiting = queue.waiting.total()
            self.kernel.metrics.queued_requests.set({'pool': pool}, waiting)
        return Response(
            self.kernel.metrics.render(),
            content_type=TEXT_FORMAT,
        )

    async def show_dump(self) -> Response:
        """Return the state of all components."""
        return _json_response(self.kernel.dump())

    async def show_config(self) -> Response:
        """Return the number and files of the active configuration."""
        active_config = self.configuration.active_config
        return _json_response(
            {
                'number': self.configuration.number,
                'texts': active_config.texts if active_config else {},
            },
        )

    async def put_config(self) -> Response:
        """Apply a change to the configuration with the number ``base``."""
        body = await _read_json(ApplyBody)
        try:
            result = await self.configuration.apply(Proposal(**body))
        except SettingsError as error:
            return problem_response(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                error.problem,
                error.remedy,
            )
        return self._encode_result(result)

    async def show_config_status(self) -> Response:
        """Return the active number and the age of the local view."""
        return _json_response(
            {
                'entry': self.kernel.settings['entry']['id'],
                'number': self.configuration.number,
                'head': self.configuration.head,
                'view_age_ms': self.clock.now()
                - self.configuration.refreshed_at,
                'store_up': self.configuration.store_reachable,
            },
        )

    async def show_pools(self) -> Response:
        """Return the budget row of each service, read from the store."""
        rows = await self.kernel.get(Store).scan(BUDGET_TABLE)
        if isinstance(rows, Unavailable):
            return problem_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                rows.reason,
                'Try again when the store is back.',
            )
        return _json_response(
            {row.key.name: decode_row(row, BudgetRow) for row in rows.rows},
        )

    async def show_vms(self) -> Response:
        """Refresh the local view and return the row of each VM."""
        await self.configuration.refresh()
        return _json_response(self.configuration.vm_rows)

    async def post_drain(self, vm_id: str) -> Response:
        """Start draining a VM; it stays drained."""
        return self._encode_result(await self.pools.drain_vm(vm_id))

    async def post_move(self, vm_id: str) -> Response:
        """Start moving a VM to another pool."""
        body = await _read_json(MoveBody)
        return self._encode_result(await self.pools.move(vm_id, body['to']))

    async def post_return(self, vm_id: str) -> Response:
        """Return a drained VM to service."""
        return self._encode_result(await self.pools.return_to_service(vm_id))

    @singledispatchmethod
    def _encode_result(
        self,
        result: AppliedChange | VmChanged | Refused,
    ) -> Response:
        raise NotImplementedError(type(result).__qualname__)

    @_encode_result.register
    def _encode_applied_change(self, result: AppliedChange) -> Response:
        return _json_response(result._asdict())

    @_encode_result.register
    def _encode_vm_changed(self, result: VmChanged) -> Response:
        return _json_response({'vm': result.vm_id, **result.row})

    @_encode_result.register
    def _encode_refused(self, result: Refused) -> Response:
        return problem_response(
            HTTPStatus.CONFLICT, result.reason, result.remedy
        )


def _json_response(value: Any) -> Response:
    return Response(
        msgspec.json.encode(value, order='sorted'),
        content_type='application/json',
    )


async def _read_json(body_type: type[BodyType]) -> BodyType:
    return msgspec.json.decode(await read_body(), type=body_type)


async def _handle_decode_error(error: msgspec.MsgspecError) -> Response:
    return problem_response(
        HTTPStatus.BAD_REQUEST,
        str(error),
        'Send JSON of the documented shape.',
    )
