"""
cyclamenshift.decisions.lending
===============================

Decides how many VMs each pool needs and which VMs move between pools.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from ..job import NO_RESOURCES, Resources
from ..provider import ProvidedVm, VmPhase

#: The planned utilization of a pool's VMs, per cent.  It is below 100
#: because tasks do not pack without gaps.
TARGET_UTILIZATION_PERCENT: Final = 80
PERCENT: Final = 100
#: The VMs that a pool keeps beyond its current demand.
HEADROOM_VMS: Final = 1
#: How long a pool must have had excess VMs before it returns one, ms.
RETURN_DELAY_MS: Final = 1_500
#: How long a VM must have run nothing before a pool that needs it more may
#: have it, ms; several times what a scheduler takes to use a new VM.
UNUSED_DELAY_MS: Final = 1_500


class PoolView(NamedTuple):
    """
    The state of a pool, as the fleet manager knows it.

    ``used`` are the resources that its running tasks have, ``waiting``
    those that its queued tasks ask for, ``expected`` the demand if jobs
    keep arriving at the current rate.  ``spread`` is the least number of
    VMs that its tasks need because of their limit per worker.  ``empty``
    are the VMs that run nothing and may be given an order, ``draining`` those
    that run short tasks only, the fewest first.  ``deferred`` is the part of
    ``waiting`` of jobs that can't be in time any more.
    """

    service: str
    spare: bool
    vms: tuple[ProvidedVm, ...]
    used: Resources
    waiting: Resources
    expected: Resources
    spread: int
    empty: frozenset[str]
    draining: tuple[str, ...] = ()
    deferred: Resources = NO_RESOURCES


class ProposedMove(NamedTuple):
    """A VM that should move to another pool."""

    vm_id: str
    pool: str


def required_vms(pool: PoolView) -> int:
    """Return how many VMs *pool* needs, including the headroom."""
    if not pool.vms:
        return HEADROOM_VMS
    resources = pool.vms[0].resources
    demand = pool.used.plus(pool.waiting)
    counts = (
        -(
            -max(present, expected)
            * PERCENT
            // (size * TARGET_UTILIZATION_PERCENT)
        )
        for present, expected, size in zip(
            demand, pool.expected, resources, strict=True
        )
        if size
    )
    return max(pool.spread, *counts) + HEADROOM_VMS


class PoolBalancer:
    """
    Proposes moves.

    ``excess_since`` tells since when each pool has had excess VMs,
    ``empty_since`` since when each VM has run nothing.
    """

    def __init__(self) -> None:
        """Start without a history of any pool."""
        self.excess_since: dict[str, int] = {}
        self.empty_since: dict[str, int] = {}

    def propose_moves(
        self,
        pools: Mapping[str, PoolView],
        now: int,
    ) -> list[ProposedMove]:
        """Return the moves that meet the demand of all pools."""
        self._track_empty_vms(pools, now)
        lent = {name: pool for name, pool in pools.items() if not pool.spare}
        unused = {
            name: self._unused_vms(pool, now) for name, pool in lent.items()
        }
        required = {
            name: _useful_vms(pool, unused[name]) for name, pool in lent.items()
        }
        excess = self._excess_vms(pools, required, now)
        moves = share_out(_lendable_vms(pools, excess), lent, required)
        if not moves:
            moves = share_out(
                [vm_id for vm_ids in unused.values() for vm_id in vm_ids],
                {
                    name: pool
                    for name, pool in lent.items()
                    if any(pool.waiting)
                },
                required,
            )
        return moves + _return_excess(pools, excess, moves)

    def _track_empty_vms(
        self,
        pools: Mapping[str, PoolView],
        now: int,
    ) -> None:
        empty = {vm_id for pool in pools.values() for vm_id in empty_vms(pool)}
        self.empty_since = {
            vm_id: self.empty_since.get(vm_id, now) for vm_id in empty
        }

    def _unused_vms(self, pool: PoolView, now: int) -> list[str]:
        """
        Return the VMs that *pool* has not used for some time.

        There are none while it runs nothing at all, as its tasks may need
        several VMs at the same moment.
        """
        if not any(pool.used):
            return []
        unused = [
            vm_id
            for vm_id in empty_vms(pool)
            if now - self.empty_since[vm_id] >= UNUSED_DELAY_MS
        ]
        kept = max(HEADROOM_VMS, pool.spread + len(unused) - len(pool.vms))
        return unused[kept:]

    def _excess_vms(
        self,
        pools: Mapping[str, PoolView],
        required: Mapping[str, int],
        now: int,
    ) -> dict[str, list[str]]:
        """Return the empty VMs that each pool no longer needs."""
        excess = {}
        for name, required_count in required.items():
            excess_count = len(pools[name].vms) - required_count
            if excess_count <= 0:
                self.excess_since.pop(name, None)
                continue
            since = self.excess_since.setdefault(name, now)
            if now - since >= RETURN_DELAY_MS:
                excess[name] = empty_vms(pools[name])[:excess_count]
        return excess


def empty_vms(pool: PoolView) -> list[str]:
    """Return the VMs of *pool* that run nothing and may be moved."""
    return [
        vm.vm_id
        for vm in pool.vms
        if vm.phase is VmPhase.up and vm.vm_id in pool.empty
    ]


def _useful_vms(pool: PoolView, unused: Sequence[str]) -> int:
    """
    Return how many VMs *pool* needs, as far as its scheduler can use them.

    More VMs are no help to a pool that has tasks waiting and leaves VMs empty.
    """
    required = required_vms(pool)
    return min(required, len(pool.vms)) if unused else required


def _lendable_vms(
    pools: Mapping[str, PoolView],
    excess: Mapping[str, Sequence[str]],
) -> list[str]:
    """Return the VMs that may be lent, those of spare pools first."""
    lendable = [
        vm_id
        for pool in pools.values()
        if pool.spare
        for vm_id in empty_vms(pool)
    ]
    for vm_ids in excess.values():
        lendable.extend(vm_ids)
    return lendable


def share_out(
    lendable: Iterable[str],
    pools: Mapping[str, PoolView],
    required: Mapping[str, int],
) -> list[ProposedMove]:
    """Give each VM to the pool that has the smallest part of what it needs."""
    counts = {name: len(pool.vms) for name, pool in pools.items()}
    moves = []
    for vm_id in lendable:
        shares = [
            (count / required[name], name)
            for name, count in counts.items()
            if count < required[name]
        ]
        if not shares:
            break
        _share, neediest = min(shares)
        counts[neediest] += 1
        moves.append(ProposedMove(vm_id, neediest))
    return moves


def _return_excess(
    pools: Mapping[str, PoolView],
    excess: Mapping[str, Sequence[str]],
    moves: Sequence[ProposedMove],
) -> list[ProposedMove]:
    spares = [name for name, pool in pools.items() if pool.spare]
    if not spares:
        return []
    moved = {move.vm_id for move in moves}
    return [
        ProposedMove(vm_id, spares[0])
        for vm_ids in excess.values()
        for vm_id in vm_ids
        if vm_id not in moved
    ]


def total_resources(amounts: Sequence[Resources]) -> Resources:
    """Return the sum of *amounts*."""
    summed = NO_RESOURCES
    for amount in amounts:
        summed = summed.plus(amount)
    return summed
