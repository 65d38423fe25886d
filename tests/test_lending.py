"""
tests.test_lending
==================

How many VMs a pool gets and gives back.
"""

from cyclamenshift.decisions.lending import (
    GIVE_BACK_MS,
    Lender,
    MoveWish,
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


def given_back(wishes: list[MoveWish]) -> int:
    """Return how many VMs move to the spare pool."""
    return sum(wish.pool == 'spare' for wish in wishes)


def test_burst_is_lent_at_once() -> None:
    """A pool gets what waiting tasks need, and one VM more."""
    wishes = Lender().wishes(pools(pool_view(2, waiting=BURST)), 0)
    assert [wish.pool for wish in wishes] == ['desk'] * 6


def test_vms_are_given_back_when_needed_no_more() -> None:
    """A pool goes down to its buffer once it has had too many for long."""
    lender = Lender()
    lender.wishes(pools(pool_view(8, waiting=BURST)), 0)
    assert not given_back(lender.wishes(pools(pool_view(8)), LOOK_MS))
    before = lender.wishes(pools(pool_view(8)), GIVE_BACK_MS)
    assert not given_back(before)
    after = lender.wishes(pools(pool_view(8)), GIVE_BACK_MS + LOOK_MS)
    assert given_back(after) == 7


def test_burst_makes_a_pool_wait_anew() -> None:
    """A pool that needed its VMs again keeps them for the whole time."""
    lender = Lender()
    lender.wishes(pools(pool_view(7)), 0)
    lender.wishes(pools(pool_view(7, waiting=BURST)), GIVE_BACK_MS)
    after = lender.wishes(pools(pool_view(7)), GIVE_BACK_MS + LOOK_MS)
    assert not given_back(after)


def test_new_lender_gives_nothing_back() -> None:
    """It does not know yet since when a pool has had too many."""
    lender = Lender()
    assert not given_back(lender.wishes(pools(pool_view(8)), 0))
    before = lender.wishes(pools(pool_view(8)), GIVE_BACK_MS - 1)
    assert not given_back(before)
    assert given_back(lender.wishes(pools(pool_view(8)), GIVE_BACK_MS)) == 7
