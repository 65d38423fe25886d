"""
tests.test_lending
==================

How many VMs a pool receives and returns.
"""

from cyclamenshift.decisions.lending import (
    RETURN_DELAY_MS,
    PoolBalancer,
    ProposedMove,
    PoolView,
)
from cyclamenshift.job import Resources

from .builders import pool_view

#: The demand of tasks that fill about six VMs.
DEMAND = Resources(160_000, 1_024)
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
