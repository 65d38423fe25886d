"""
tests.test_lending
==================

How many VMs a pool gets and gives back.
"""

from cyclamenshift.decisions.lending import (
    RETURN_DELAY_MS,
    PoolBalancer,
    ProposedMove,
    PoolView,
)
from cyclamenshift.job import Resources

from .builders import pool_view

#: What fills about six VMs.
BURST = Resources(160_000, 1_024)
#: The time between two looks, ms.
LOOK_MS = 100


def pools(desk: PoolView) -> dict[str, PoolView]:
    """Return *desk* beside a spare pool."""
    spare = pool_view(10, service='spare', spare=True)
    return {'desk': desk, 'spare': spare}


def given_back(moves: list[ProposedMove]) -> int:
    """Return how many VMs move to the spare pool."""
    return sum(move.pool == 'spare' for move in moves)


def test_burst_is_lent_at_once() -> None:
    """A pool gets what waiting tasks need, and one VM more."""
    moves = PoolBalancer().propose_moves(pools(pool_view(2, waiting=BURST)), 0)
    assert [move.pool for move in moves] == ['desk'] * 6


def test_vms_are_given_back_when_needed_no_more() -> None:
    """A pool goes down to its buffer once it has had too many for long."""
    balancer = PoolBalancer()
    balancer.propose_moves(pools(pool_view(8, waiting=BURST)), 0)
    assert not given_back(balancer.propose_moves(pools(pool_view(8)), LOOK_MS))
    before = balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS)
    assert not given_back(before)
    after = balancer.propose_moves(
        pools(pool_view(8)), RETURN_DELAY_MS + LOOK_MS
    )
    assert given_back(after) == 7


def test_burst_makes_a_pool_wait_anew() -> None:
    """A pool that needed its VMs again keeps them for the whole time."""
    balancer = PoolBalancer()
    balancer.propose_moves(pools(pool_view(7)), 0)
    balancer.propose_moves(pools(pool_view(7, waiting=BURST)), RETURN_DELAY_MS)
    after = balancer.propose_moves(
        pools(pool_view(7)), RETURN_DELAY_MS + LOOK_MS
    )
    assert not given_back(after)


def test_new_lender_gives_nothing_back() -> None:
    """It does not know yet since when a pool has had too many."""
    balancer = PoolBalancer()
    assert not given_back(balancer.propose_moves(pools(pool_view(8)), 0))
    before = balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS - 1)
    assert not given_back(before)
    assert (
        given_back(balancer.propose_moves(pools(pool_view(8)), RETURN_DELAY_MS))
        == 7
    )
