"""
cyclamenshift.decisions.overload.reallocation
=============================================

Moves VMs between pools while all of them together have too few.

The demand peaks of the services alternate.  When one begins, the pool of the
last one still has its VMs, with the ends of some tasks spread over them and
with jobs that are late already, while new jobs wait that could be in time.
"""

from collections.abc import Mapping
from typing import Final

from ...provider import VmPhase
from ..lending import (
    PoolBalancer,
    PoolView,
    ProposedMove,
    empty_vms,
    required_vms,
    share_out,
)

#: How long a pool must lack VMs that no spare pool has, ms: as long as the
#: reports of several pools take that tell of the same change.
SHORTAGE_DELAY_MS: Final = 200
#: How much better off a pool must be than the neediest one before it gives VMs
#: although it lacks some itself.  A move takes a VM out of use for as long as
#: one or two short tasks take.
MIN_IMBALANCE: Final = 2


class Reallocator(PoolBalancer):
    """
    Also moves VMs that are not empty, or were needed a moment ago.

    ``short_since`` tells since when VMs have been lacking for jobs that can
    still be in time.
    """

    def __init__(self) -> None:
        """Start without a history of any pool."""
        super().__init__()
        self.short_since: int | None = None

    def propose_moves(
        self, pools: Mapping[str, PoolView], now: int
    ) -> list[ProposedMove]:
        """Return the moves that meet the demand of all pools."""
        moves = super().propose_moves(pools, now)
        if moves:
            # These change what each pool has, so the next round decides.
            return moves
        lent = {name: pool for name, pool in pools.items() if not pool.spare}
        required = {
            name: required_vms(_without_deferred(pool))
            for name, pool in lent.items()
        }
        if not self._is_short(pools, lent, required, now):
            return []
        supply = [
            vm_id
            for name, pool in lent.items()
            for vm_id in _supply(pool, _spared(name, lent, required))
        ]
        homes = {
            vm.vm_id: name for name, pool in lent.items() for vm in pool.vms
        }
        return [
            move
            for move in share_out(supply, lent, required)
            if homes[move.vm_id] != move.pool
        ]

    def _is_short(
        self,
        pools: Mapping[str, PoolView],
        lent: Mapping[str, PoolView],
        required: Mapping[str, int],
        now: int,
    ) -> bool:
        """Return whether jobs have waited for VMs that no spare pool has."""
        has_spare = any(
            pool.spare and empty_vms(pool) for pool in pools.values()
        )
        lacks = any(
            len(pool.vms) < required[name] and any(_urgent(pool))
            for name, pool in lent.items()
        )
        if has_spare or not lacks:
            self.short_since = None
            return False
        if self.short_since is None:
            self.short_since = now
        return now - self.short_since >= SHORTAGE_DELAY_MS


def _spared(
    name: str, pools: Mapping[str, PoolView], required: Mapping[str, int]
) -> int:
    """Return how many VMs a pool can give to needier ones."""
    count = len(pools[name].vms)
    if count >= required[name]:
        return count - required[name]
    counts = {each: len(pool.vms) for each, pool in pools.items()}
    least = min(counts[each] / required[each] for each in pools)
    if count / required[name] < MIN_IMBALANCE * least:
        return 0
    total = sum(min(counts[each], required[each]) for each in pools)
    fair_part = total / sum(required.values())
    return max(0, count - round(fair_part * required[name]))


def _supply(pool: PoolView, count: int) -> list[str]:
    """
    Return up to *count* VMs, empty ones and then those that empty soon.

    The report of a pool may still name VMs that have left it since.
    """
    up = {vm.vm_id for vm in pool.vms if vm.phase is VmPhase.up}
    emptying = [vm_id for vm_id in pool.draining if vm_id in up]
    return [*empty_vms(pool), *emptying][:count]


def _urgent(pool: PoolView) -> list[int]:
    """Return the resources that jobs wait for that can still be in time."""
    return [
        waiting - deferred
        for waiting, deferred in zip(pool.waiting, pool.deferred, strict=True)
    ]


def _without_deferred(pool: PoolView) -> PoolView:
    return pool._replace(waiting=pool.waiting.minus(pool.deferred))
