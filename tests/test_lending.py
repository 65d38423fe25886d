"""
tests.test_lending
==================

How many VMs a pool receives and returns.
"""

from cyclamenshift.decisions.lending import (
    RETURN_DELAY_MS,
    UNUSED_DELAY_MS,
    PoolBalancer,
    PoolView,
    ProposedMove,
)
from cyclamenshift.job import Resources

from .builders import pool_view

#: The demand of tasks that fill about six VMs.
DEMAND = Resources(160_000, 1_024)
#: The resources of one task.
TASK = Resources(1_000, 1_024)
#: More than all VMs can hold.
LARGE_DEMAND = Resources(1_600_000, 1_024)
#: The interval between two decisions, ms.
INTERVAL_MS = 100


def pools(desk: PoolView) -> dict[str, PoolView]:
    """Return *desk* and a spare pool."""
    spare = pool_view(10, service='spare', spare=True)
    return {'desk': desk, 'spare': spare}


def count_returned(moves: list[ProposedMove]) -> int:
    """Return how many VMs move to the spare pool."""
    return sum(move.pool == 'spare' for move in moves)


def test_demand_is_met_at_once() -> None:
    """A pool receives the VMs that waiting tasks need, and one more."""
    moves = PoolBalancer().propose_moves(pools(pool_view(2, waiting=DEMAND)), 0)
    assert [move.pool for move in moves] == ['desk'] * 6


def test_surplus_vms_are_returned_after_a_delay() -> None:
    """A pool returns all but its buffer after a continuous surplus."""
    balancer = PoolBalancer()
    balancer.propose_moves(pools(pool_view(8, waiting=DEMAND)), 0)
    assert not count_returned(
        balancer.propose_moves(pools(pool_view(8)), INTERVAL_MS)
    )
    before = balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS)
    assert not count_returned(before)
    after = balancer.propose_moves(
        pools(pool_view(8)), RETURN_DELAY_MS + INTERVAL_MS
    )
    assert count_returned(after) == 7


def test_new_demand_restarts_the_return_delay() -> None:
    """A pool that needed its VMs again keeps them for the whole delay."""
    balancer = PoolBalancer()
    balancer.propose_moves(pools(pool_view(7)), 0)
    balancer.propose_moves(pools(pool_view(7, waiting=DEMAND)), RETURN_DELAY_MS)
    after = balancer.propose_moves(
        pools(pool_view(7)), RETURN_DELAY_MS + INTERVAL_MS
    )
    assert not count_returned(after)


def test_new_balancer_waits_for_the_return_delay() -> None:
    """A new balancer does not know since when a pool has had a surplus."""
    balancer = PoolBalancer()
    assert not count_returned(balancer.propose_moves(pools(pool_view(8)), 0))
    before = balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS - 1)
    assert not count_returned(before)
    assert (
        count_returned(
            balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS)
        )
        == 7
    )


def short_pools(*, spare: int) -> dict[str, PoolView]:
    """Return two pools whose tasks wait, one of which uses no VM."""
    return {
        'billing': pool_view(
            10, service='billing', waiting=LARGE_DEMAND, used=TASK
        ),
        'desk': pool_view(2, waiting=DEMAND, empty=frozenset()),
        'spare': pool_view(spare, service='spare', spare=True),
    }


def test_pool_keeps_vms_that_it_does_not_use() -> None:
    """A slow scheduler kept the VMs for which the tasks of others waited."""
    balancer = PoolBalancer()
    assert not balancer.propose_moves(short_pools(spare=0), 0)
    assert not balancer.propose_moves(short_pools(spare=0), UNUSED_DELAY_MS - 1)
    moves = balancer.propose_moves(short_pools(spare=0), UNUSED_DELAY_MS)
    assert {move.pool for move in moves} == {'desk'}
    assert len(moves) == 6
    assert all(move.vm_id.startswith('billing') for move in moves)


def test_pool_with_unused_vms_gets_more() -> None:
    """More VMs are no help to a pool that can't use those that it has."""
    balancer = PoolBalancer()
    balancer.propose_moves(short_pools(spare=0), 0)
    moves = balancer.propose_moves(short_pools(spare=3), UNUSED_DELAY_MS)
    assert {move.pool for move in moves} == {'desk'}


def test_first_pool_gets_all_vms() -> None:
    """Pools that are short of VMs get them in proportion to their needs."""
    moves = PoolBalancer().propose_moves(
        {
            'billing': pool_view(0, service='billing', waiting=LARGE_DEMAND),
            'desk': pool_view(2, waiting=DEMAND),
            'lifts': pool_view(2, service='lifts', waiting=DEMAND),
            'spare': pool_view(5, service='spare', spare=True),
        },
        0,
    )
    given = [move.pool for move in moves]
    assert given.count('desk') == given.count('lifts')
    assert 'billing' in given


def test_unused_vms_are_kept_for_spread_tasks() -> None:
    """A pool keeps as many VMs as its tasks need because of their limits."""
    spread = pool_view(
        10, service='billing', waiting=LARGE_DEMAND, used=TASK, spread=9
    )
    pools_by_name = {**short_pools(spare=0), 'billing': spread}
    balancer = PoolBalancer()
    balancer.propose_moves(pools_by_name, 0)
    moves = balancer.propose_moves(pools_by_name, UNUSED_DELAY_MS)
    assert len(moves) == 1


def test_unused_vms_are_not_lent_for_headroom() -> None:
    """Only tasks that wait are a reason to take VMs from another pool."""
    pools_by_name = {**short_pools(spare=0), 'desk': pool_view(0)}
    balancer = PoolBalancer()
    balancer.propose_moves(pools_by_name, 0)
    assert not balancer.propose_moves(pools_by_name, UNUSED_DELAY_MS)


def test_idle_pool_keeps_vms_for_a_gang() -> None:
    """The tasks of a gang need several empty VMs at the same moment."""
    idle = pool_view(10, service='billing', waiting=LARGE_DEMAND)
    pools_by_name = {**short_pools(spare=0), 'billing': idle}
    balancer = PoolBalancer()
    balancer.propose_moves(pools_by_name, 0)
    assert not balancer.propose_moves(pools_by_name, UNUSED_DELAY_MS)
