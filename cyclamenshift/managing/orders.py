"""
cyclamenshift.managing.orders
=============================

Moves or maintains one VM: vacates it first, then orders the change.
"""

from functools import singledispatch
from typing import Final, NamedTuple, TypeAlias, TypeGuard

import trio

from ..directory import Maintenance
from ..provider import (
    ProvidedVm,
    VmAccepted,
    VmPhase,
    VmRefusal,
    VmRefused,
    VmResult,
    VmUnanswered,
)
from .reservation import Reservation, VacateCallback
from .state import FleetState

#: The delay before an unanswered or rate-limited order is retried, ms.
RETRY_DELAY_MS: Final = 200
#: For how long an order is retried before the VM is given back, ms: as long
#: as the VM stays reserved without a renewal.
PATIENCE_MS: Final = 3_000
#: How long the provider may take for an order, ms; longer than its client
#: waits for the response.
ORDER_MS: Final = 2_000
#: How long after its sending an unanswered order may be carried out, ms;
#: longer than the outages of the provider, which last 5 s by default.
SETTLE_MS: Final = 6_000

#: The refusals after which an order is not retried.
FINAL_REFUSALS: Final = frozenset(VmRefusal) - {VmRefusal.over_rate}


class Move(NamedTuple):
    """The order to move a VM to another pool."""

    vm: ProvidedVm
    pool: str


class Maintain(NamedTuple):
    """The order to take a VM down for a maintenance."""

    vm: ProvidedVm
    maintenance: Maintenance


VmOrder: TypeAlias = Move | Maintain
#: A result after which an order is not sent again.
FinalResult: TypeAlias = VmAccepted | VmRefused


async def move(
    state: FleetState,
    vacate: VacateCallback,
    vm: ProvidedVm,
    pool: str,
) -> None:
    """Move a VM to another pool if it can be vacated."""
    await _change(state, vacate, Move(vm, pool))


async def maintain(
    state: FleetState,
    vacate: VacateCallback,
    vm: ProvidedVm,
    maintenance: Maintenance,
) -> None:
    """Take a VM down for maintenance if it can be vacated."""
    state.changes.down[vm.vm_id] = state.clock.now()
    await _change(state, vacate, Maintain(vm, maintenance))


async def _change(
    state: FleetState, vacate: VacateCallback, order: VmOrder
) -> None:
    reservation = Reservation(state.clock, vacate, order.vm)
    sender = OrderSender(state, order, reservation)
    accepted = False
    try:
        if await reservation.acquire():
            result = await sender.run()
            accepted = isinstance(result, VmAccepted)
            await _record(order, state, result)
    finally:
        state.end_change(
            order.vm.vm_id,
            accepted=accepted,
            unsettled_until=sender.unsettled_until,
        )


class OrderSender:
    """
    Sends one order for a reserved VM until the result is known.

    ``unsettled_until`` is until when an order without a response may still
    be carried out, monotonic ms.
    """

    def __init__(
        self, state: FleetState, order: VmOrder, reservation: Reservation
    ) -> None:
        """Prepare to send *order*."""
        self.state = state
        self.clock = state.clock
        self.order = order
        self.reservation = reservation
        self.give_up_at = 0
        self.unsettled_until = 0

    async def run(self) -> FinalResult | None:
        """
        Return the result of the order, None if it was given up.

        Retrying is safe: an order that was carried out before is accepted
        again.
        """
        self.give_up_at = self.clock.now() + PATIENCE_MS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reservation.keep)
            result = await self._send_until_final()
            nursery.cancel_scope.cancel()
        return result

    async def _send_until_final(self) -> FinalResult | None:
        while await self._may_send():
            result = await self._send()
            if _is_final(result):
                return result
            await self.clock.sleep(RETRY_DELAY_MS)
        if self.unsettled_until and _is_carried_out(self.order, self.state):
            return VmAccepted()
        return None

    async def _may_send(self) -> bool:
        """
        Wait until the order may be sent; return False if it no longer may.

        What was known when the VM was vacated may have changed since: its
        scheduler may use it again, and another manager may own the fleet.
        The ownership is confirmed last, since that stands for less time.
        """
        while not self._given_up():
            if self.state.provider_answers:
                await self.reservation.renew()
                owned = await self.state.confirm_ownership()
                if not (owned and self.reservation.held):
                    return False
                if self.reservation.covers(ORDER_MS):
                    return True
            await self.clock.sleep(RETRY_DELAY_MS)
        return False

    def _given_up(self) -> bool:
        return self.clock.now() >= max(self.give_up_at, self.unsettled_until)

    async def _send(self) -> VmResult:
        now = self.clock.now()
        self.state.handover.record_order(self.order.vm.vm_id)
        self.reservation.needed_until = max(
            self.unsettled_until, now + ORDER_MS
        )
        result = await _send(self.order, self.state)
        metrics = self.state.kernel.metrics
        kind = type(self.order).__name__.lower()
        metrics.vm_orders.inc({'kind': kind, 'result': type(result).__name__})
        self.state.provider_answers = not isinstance(result, VmUnanswered)
        if isinstance(result, VmUnanswered) and result.sent:
            self.unsettled_until = now + SETTLE_MS
        self.reservation.needed_until = self.unsettled_until
        return result


def _is_final(result: VmResult) -> TypeGuard[FinalResult]:
    """Return whether the order need not be sent again."""
    if isinstance(result, VmRefused):
        return result.reason in FINAL_REFUSALS
    return isinstance(result, VmAccepted)


@singledispatch
async def _send(order: VmOrder, state: FleetState) -> VmResult:
    """Send *order* once."""
    raise NotImplementedError(type(order).__qualname__)


@_send.register
async def _send_move(order: Move, state: FleetState) -> VmResult:
    return await state.provider.move(
        order.vm.vm_id, order.pool, state.fencing_token
    )


@_send.register
async def _send_maintain(order: Maintain, state: FleetState) -> VmResult:
    return await state.provider.maintain(
        order.vm.vm_id, order.maintenance.number, state.fencing_token
    )


@singledispatch
def _is_carried_out(order: VmOrder, state: FleetState) -> bool:
    """Return whether the list of VMs shows the effect of *order*."""
    raise NotImplementedError(type(order).__qualname__)


@_is_carried_out.register
def _is_moved(order: Move, state: FleetState) -> bool:
    vm = state.vms.get(order.vm.vm_id)
    return vm is not None and vm.pool == order.pool


@_is_carried_out.register
def _is_in_maintenance(order: Maintain, state: FleetState) -> bool:
    vm = state.vms.get(order.vm.vm_id)
    return vm is not None and vm.phase is VmPhase.in_maintenance


@singledispatch
async def _record(
    order: VmOrder, state: FleetState, result: FinalResult | None
) -> None:
    """Log and record the result of *order*."""
    raise NotImplementedError(type(order).__qualname__)


@_record.register
async def _record_move(
    order: Move, state: FleetState, result: FinalResult | None
) -> None:
    vm = order.vm
    if isinstance(result, VmAccepted):
        state.log.note(
            'VM move accepted.', vm=vm.vm_id, pool=vm.pool, to=order.pool
        )
        state.record_move(vm.vm_id, order.pool)
        return
    state.log.warning(
        'VM move not accepted.',
        vm=vm.vm_id,
        to=order.pool,
        reason=result.reason if result else 'given up',
    )
    if result == VmRefused(VmRefusal.impossible):
        state.changes.impossible.add((vm.vm_id, order.pool))


@_record.register
async def _record_maintenance(
    order: Maintain, state: FleetState, result: FinalResult | None
) -> None:
    vm_id = order.vm.vm_id
    number = order.maintenance.number
    if isinstance(result, VmAccepted):
        state.log.note('VM maintenance accepted.', vm=vm_id, maintenance=number)
        state.changes.down[vm_id] = state.clock.now()
        await state.maintenance_log.record(number, vm_id)
        return
    state.log.warning(
        'VM maintenance not accepted.',
        vm=vm_id,
        maintenance=number,
        result=result,
    )
