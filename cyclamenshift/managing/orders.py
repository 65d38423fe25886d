"""
cyclamenshift.managing.orders
=============================

Moves or maintains one VM: empties it first, then orders it, straight down.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, TypeAlias

from ..directory import Maintenance
from ..provider import (
    ProvidedVm,
    VmAccepted,
    VmRefusal,
    VmRefused,
    VmResult,
)
from .state import FleetState

#: How long a VM may take to become empty, ms.
VACATE_MS: Final = 4_000
#: The wait before an order that got no answer is given again, ms.
RETRY_MS: Final = 200

#: The refusals after which the same order is not given again.
FINAL: Final = frozenset(VmRefusal) - {VmRefusal.over_rate}

#: Empties a VM of a pool; returns whether it is empty.
Vacater: TypeAlias = Callable[[str, str, int], Awaitable[bool]]


async def move(
    state: FleetState,
    vacate: Vacater,
    vm_id: str,
    pool: str,
) -> None:
    """Move a VM to another pool, if it can be emptied."""
    vm = state.vms[vm_id]
    state.busy[vm_id] = pool
    try:
        if await vacate(vm.pool, vm_id, VACATE_MS):
            await _move(state, vm, pool)
    finally:
        state.busy.pop(vm_id, None)
        state.wake()


async def _move(state: FleetState, vm: ProvidedVm, pool: str) -> None:
    order = partial(state.provider.move, vm.vm_id, pool, state.fencing_token)
    result = await _order(state, vm.vm_id, order)
    _count(state, 'move', result)
    if isinstance(result, VmAccepted):
        state.log.note('A VM moves.', vm=vm.vm_id, pool=vm.pool, to=pool)
        state.vms[vm.vm_id] = vm._replace(pool=pool)
    elif result is not None:
        state.log.warning(
            'A VM does not move.',
            vm=vm.vm_id,
            to=pool,
            reason=result.reason,
        )
        if result.reason is VmRefusal.impossible:
            state.impossible.add((vm.vm_id, pool))


async def maintain(
    state: FleetState,
    vacate: Vacater,
    vm_id: str,
    maintenance: Maintenance,
) -> None:
    """Take a VM down for a maintenance, if it can be emptied."""
    vm = state.vms[vm_id]
    state.busy[vm_id] = vm.pool
    state.down[vm_id] = state.clock.now()
    taken = False
    try:
        if await vacate(vm.pool, vm_id, VACATE_MS):
            taken = await _maintain(state, vm_id, maintenance)
    finally:
        if not taken:
            state.down.pop(vm_id, None)
        state.busy.pop(vm_id, None)
        state.wake()


async def _maintain(
    state: FleetState,
    vm_id: str,
    maintenance: Maintenance,
) -> bool:
    number = maintenance.number
    order = partial(
        state.provider.maintain,
        vm_id,
        number,
        state.fencing_token,
    )
    result = await _order(state, vm_id, order)
    _count(state, 'maintain', result)
    if not isinstance(result, VmAccepted):
        state.log.warning(
            'A VM is not maintained.',
            vm=vm_id,
            maintenance=number,
            result=result,
        )
        return False
    state.log.note(
        'A VM is down for maintenance.',
        vm=vm_id,
        maintenance=number,
    )
    state.down[vm_id] = state.clock.now()
    await state.done.record(number, vm_id)
    return True


def _count(
    state: FleetState,
    kind: str,
    result: VmAccepted | VmRefused | None,
) -> None:
    labels = {'kind': kind, 'result': type(result).__name__}
    state.kernel.metrics.vm_orders.inc(labels)


async def _order(
    state: FleetState,
    vm_id: str,
    order: Callable[[], Awaitable[VmResult]],
) -> VmAccepted | VmRefused | None:
    """
    Give an order for a VM until it is answered.

    Returns None once the fleet is another's.

    An order that was carried out before is accepted again.
    """
    while await state.prove():
        state.handover.note(vm_id)
        result = await order()
        if isinstance(result, VmAccepted):
            return result
        if isinstance(result, VmRefused) and result.reason in FINAL:
            return result
        await state.clock.sleep(RETRY_MS)
    return None
