"""
tests.test_reallocation
=======================

VMs that move between pools while all pools together have too few.
"""

from typing import Any

from cyclamenshift.decisions.lending import PoolBalancer, PoolView
from cyclamenshift.decisions.overload.reallocation import (
    MIN_IMBALANCE,
    SHORTAGE_DELAY_MS,
    Reallocator,
)
from cyclamenshift.job import NO_RESOURCES, Resources
from cyclamenshift.provider import VmPhase

from .builders import pool_view

#: The demand that fills the VMs of a pool of 10.
PEAK = Resources(10 * 32_000, 1_024)
#: The ends of the tasks of a peak that is over.
TAIL = Resources(20_000, 1_024)
#: What a new peak asks for.
ONSET = Resources(6 * 32_000, 1_024)


def busy_pool(vms: int, **overrides: Any) -> PoolView:
    """Return a pool whose VMs all run some short tasks."""
    view = pool_view(vms, **overrides)
    names = tuple(vm.vm_id for vm in view.vms)
    return view._replace(empty=frozenset(), draining=names)


def pools(*views: PoolView, spare: int = 0) -> dict[str, PoolView]:
    """Return *views* and a spare pool."""
    spare_pool = pool_view(spare, service='spare', spare=True)
    return {view.service: view for view in (*views, spare_pool)}


def moves_after_shortage(views: dict[str, PoolView]) -> list[str]:
    """Return the pools that get VMs once a shortage has lasted."""
    balancer = Reallocator()
    first = balancer.propose_moves(views, 0)
    assert not any(move.vm_id.startswith('desk') for move in first)
    moves = balancer.propose_moves(views, SHORTAGE_DELAY_MS)
    return [move.pool for move in moves if move.vm_id.startswith('desk')]


def test_pool_of_an_ended_peak_keeps_its_vms() -> None:
    """The next peak waited until the last task of each VM had ended."""
    ended = busy_pool(12, used=TAIL)
    begun = busy_pool(2, service='billing', used=TAIL, waiting=ONSET)
    views = pools(ended, begun)
    assert moves_after_shortage(views).count('billing') >= 6
    plain = PoolBalancer()
    plain.propose_moves(views, 0)
    assert not plain.propose_moves(views, SHORTAGE_DELAY_MS)


def test_jobs_that_are_late_hold_vms_that_others_need() -> None:
    """VMs stayed with jobs that were late while others became late."""
    late = busy_pool(12, used=TAIL, waiting=PEAK, deferred=PEAK)
    in_time = busy_pool(2, service='billing', waiting=ONSET)
    assert 'billing' in moves_after_shortage(pools(late, in_time))
    late_too = in_time._replace(deferred=ONSET)
    assert not moves_after_shortage(pools(late, late_too))


def test_vms_are_taken_from_a_pool_although_spare_ones_are_left() -> None:
    """A move out of a busy pool costs run time that a spare VM does not."""
    ended = busy_pool(12, used=TAIL)
    begun = busy_pool(2, service='billing', waiting=ONSET)
    assert not moves_after_shortage(pools(ended, begun, spare=20))


def test_pools_in_equal_need_exchange_no_vms() -> None:
    """Two peaks at once made VMs move back and forth."""
    one = busy_pool(8, used=PEAK, waiting=PEAK)
    other = busy_pool(8, service='billing', used=PEAK, waiting=PEAK)
    assert not moves_after_shortage(pools(one, other))


def test_neediest_pool_gets_a_part() -> None:
    """The pool whose peak came first kept all VMs during the next one."""
    first = busy_pool(16, used=PEAK, waiting=PEAK)
    second = busy_pool(2, service='billing', used=TAIL, waiting=PEAK)
    given = moves_after_shortage(pools(first, second))
    assert set(given) == {'billing'}
    assert 1 < len(given) < 16 // MIN_IMBALANCE


def test_short_shortage_moves_nothing() -> None:
    """Reports of different moments looked like a shortage."""
    ended = busy_pool(12, used=TAIL)
    begun = busy_pool(2, service='billing', waiting=ONSET)
    calm = begun._replace(waiting=NO_RESOURCES)
    balancer = Reallocator()
    balancer.propose_moves(pools(ended, begun), 0)
    balancer.propose_moves(pools(ended, calm), SHORTAGE_DELAY_MS - 1)
    assert not balancer.propose_moves(pools(ended, begun), SHORTAGE_DELAY_MS)


def test_report_names_vms_that_have_left_the_pool() -> None:
    """The manager ended with a KeyError when a VM left before its report."""
    ended = busy_pool(12, used=TAIL)
    gone = ended._replace(draining=('gone-1', *ended.draining))
    begun = busy_pool(2, service='billing', used=TAIL, waiting=ONSET)
    given = moves_after_shortage(pools(ended, begun))
    assert moves_after_shortage(pools(gone, begun)) == given


def test_vms_that_are_not_up_do_not_move() -> None:
    """A VM that is moving already was ordered to another pool."""
    ended = busy_pool(12, used=TAIL)
    *others, last = ended.vms
    moving = [vm._replace(phase=VmPhase.moving) for vm in others]
    ended = ended._replace(vms=(*moving, last))
    begun = busy_pool(2, service='billing', used=TAIL, waiting=ONSET)
    assert moves_after_shortage(pools(ended, begun)) == ['billing']
