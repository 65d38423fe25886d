"""
cyclamenshift.decisions.lending
===============================

How many VMs each pool should have, and which of them should move.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..job import NO_RESOURCES, Resources
from ..provider import ProvidedVm, VmPhase

#: How full the VMs of a pool may be planned, per cent; tasks don't pack
#: without gaps.
FILL_PERCENT: Final = 80
PERCENT: Final = 100
#: How many VMs beyond the present need a pool keeps.
BUFFER: Final = 1
#: How long a pool must have had too many VMs before it gives one back, ms.
RETURN_DELAY_MS: Final = 1_500


class PoolView(NamedTuple):
    """
    A pool as the manager of the fleet sees it.

    ``used`` and ``waiting`` are what its tasks have and want, ``expected``
    what they will take if jobs go on coming; ``spread`` is how many VMs they
    need at least because few may share one; ``empty`` names the VMs that run
    nothing and may be ordered.
    """

    service: str
    spare: bool
    vms: tuple[ProvidedVm, ...]
    used: Resources
    waiting: Resources
    expected: Resources
    spread: int
    empty: frozenset[str]


class ProposedMove(NamedTuple):
    """A VM that should move to another pool."""

    vm_id: str
    pool: str


def needed(pool: PoolView) -> int:
    """Return how many VMs the tasks of *pool* need, with the buffer."""
    if not pool.vms:
        return BUFFER
    resources = pool.vms[0].resources
    present = pool.used.plus(pool.waiting)
    counts = (
        -(-max(now, soon) * PERCENT // (size * FILL_PERCENT))
        for now, soon, size in zip(
            present, pool.expected, resources, strict=True
        )
        if size
    )
    return max(pool.spread, *counts) + BUFFER


class PoolBalancer:
    """Remembers since when each pool has had more VMs than it needs."""

    def __init__(self) -> None:
        """Have seen nothing yet."""
        self.surplus_since: dict[str, int] = {}

    def propose_moves(
        self,
        pools: Mapping[str, PoolView],
        now: int,
    ) -> list[ProposedMove]:
        """Return the moves that the present demand asks for."""
        needs = {
            name: needed(pool) for name, pool in pools.items() if not pool.spare
        }
        surplus = self._surplus(pools, needs, now)
        supply = _supply(pools, surplus)
        moves = []
        for name, need in sorted(needs.items()):
            short = need - len(pools[name].vms)
            for vm_id in supply[: max(0, short)]:
                moves.append(ProposedMove(vm_id, name))
            supply = supply[max(0, short) :]
        return moves + _give_back(pools, surplus, moves)

    def _surplus(
        self,
        pools: Mapping[str, PoolView],
        needs: Mapping[str, int],
        now: int,
    ) -> dict[str, list[str]]:
        """Return the VMs that each pool can do without."""
        surplus = {}
        for name, need in needs.items():
            beyond = len(pools[name].vms) - need
            if beyond <= 0:
                self.surplus_since.pop(name, None)
                continue
            since = self.surplus_since.setdefault(name, now)
            if now - since >= RETURN_DELAY_MS:
                surplus[name] = _empty_vms(pools[name])[:beyond]
        return surplus


def _empty_vms(pool: PoolView) -> list[str]:
    return [
        vm.vm_id
        for vm in pool.vms
        if vm.phase is VmPhase.up and vm.vm_id in pool.empty
    ]


def _supply(
    pools: Mapping[str, PoolView],
    surplus: Mapping[str, Sequence[str]],
) -> list[str]:
    """Return the VMs that may be lent, those of spare pools first."""
    supply = [
        vm_id
        for pool in pools.values()
        if pool.spare
        for vm_id in _empty_vms(pool)
    ]
    for vm_ids in surplus.values():
        supply.extend(vm_ids)
    return supply


def _give_back(
    pools: Mapping[str, PoolView],
    surplus: Mapping[str, Sequence[str]],
    moves: Sequence[ProposedMove],
) -> list[ProposedMove]:
    spares = [name for name, pool in pools.items() if pool.spare]
    if not spares:
        return []
    lent = {move.vm_id for move in moves}
    return [
        ProposedMove(vm_id, spares[0])
        for vm_ids in surplus.values()
        for vm_id in vm_ids
        if vm_id not in lent
    ]


def total_resources(rooms: Sequence[Resources]) -> Resources:
    """Return the sum of *rooms*."""
    summed = NO_RESOURCES
    for resources in rooms:
        summed = summed.plus(resources)
    return summed
