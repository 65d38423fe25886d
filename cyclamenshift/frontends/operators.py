"""
cyclamenshift.frontends.operators
=================================

The HTTP interface for operators, on a port of its own.
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
from .answers import problem

ShapeType = TypeVar('ShapeType')


class ApplyCall(TypedDict):
    """The body of ``PUT /v1/config``: files by name, and the base."""

    texts: dict[str, str]
    base: int
    change_id: str
    operator: str


class MoveCall(TypedDict):
    """The body of ``POST /v1/vms/ID/move``."""

    to: str


@register
class OperatorFrontend(Frontend):
    """Shows the state of the fleet and changes it."""

    name = 'operators'
    work_kinds = frozenset(('requests',))

    def __init__(self, kernel: Host) -> None:
        """Set the routes."""
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
            _wrong_body,
        )

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve operators."""
        await self.listen((self.settings,), task_status)

    async def show_metrics(self) -> Response:
        """Return the metrics as Prometheus text."""
        for pool, queue in self.kernel.get(Dispatcher).queues.items():
            waiting = queue.waiting.total()
            self.kernel.metrics.queued_requests.set({'pool': pool}, waiting)
        return Response(
            self.kernel.metrics.render(),
            content_type=TEXT_FORMAT,
        )

    async def show_dump(self) -> Response:
        """Return the state of every component of this process."""
        return _json(self.kernel.dump())

    async def show_config(self) -> Response:
        """Return the files of the configuration in force."""
        active_config = self.configuration.active_config
        return _json(
            {
                'number': self.configuration.number,
                'texts': active_config.texts if active_config else {},
            },
        )

    async def put_config(self) -> Response:
        """Apply a new configuration against the base that is named."""
        call = await _body(ApplyCall)
        try:
            result = await self.configuration.apply(Proposal(**call))
        except SettingsError as error:
            return problem(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                error.problem,
                error.remedy,
            )
        return self._show(result)

    async def show_config_status(self) -> Response:
        """Return the number in force here and how fresh the view is."""
        return _json(
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
        """Return the budget of each service, as the table has it now."""
        rows = await self.kernel.get(Store).scan(BUDGET_TABLE)
        if isinstance(rows, Unavailable):
            return problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                rows.reason,
                'Try again when the store is back.',
            )
        return _json(
            {row.key.name: decode_row(row, BudgetRow) for row in rows.rows},
        )

    async def show_vms(self) -> Response:
        """Return the row of each VM, as this entry VM knows it."""
        await self.configuration.refresh()
        return _json(self.configuration.vm_rows)

    async def post_drain(self, vm_id: str) -> Response:
        """Let a VM leave its pool and stay drained."""
        return self._show(await self.pools.drain_vm(vm_id))

    async def post_move(self, vm_id: str) -> Response:
        """Let a VM leave its pool and join another."""
        call = await _body(MoveCall)
        return self._show(await self.pools.move(vm_id, call['to']))

    async def post_return(self, vm_id: str) -> Response:
        """Let a drained VM serve again."""
        return self._show(await self.pools.return_to_service(vm_id))

    @singledispatchmethod
    def _show(self, result: AppliedChange | VmChanged | Refused) -> Response:
        raise NotImplementedError(type(result).__qualname__)

    @_show.register
    def _show_applied_change(self, result: AppliedChange) -> Response:
        return _json(result._asdict())

    @_show.register
    def _show_vm_changed(self, result: VmChanged) -> Response:
        return _json({'vm': result.vm_id, **result.row})

    @_show.register
    def _show_refused(self, result: Refused) -> Response:
        return problem(HTTPStatus.CONFLICT, result.reason, result.remedy)


def _json(value: Any) -> Response:
    return Response(
        msgspec.json.encode(value, order='sorted'),
        content_type='application/json',
    )


async def _body(shape: type[ShapeType]) -> ShapeType:
    return msgspec.json.decode(await read_body(), type=shape)


async def _wrong_body(error: msgspec.MsgspecError) -> Response:
    return problem(
        HTTPStatus.BAD_REQUEST,
        str(error),
        'Send JSON of the documented shape.',
    )
