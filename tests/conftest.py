"""
tests.conftest
==============

What every test shares: virtual time, and golden files as plain text.
"""

from collections.abc import AsyncIterator

import pytest
import trio
from trio.testing import MockClock

from .standins.fakes import Cluster


@pytest.fixture
def mock_clock() -> MockClock:
    """Return virtual time that starts at 0 and jumps over waits."""
    return MockClock(autojump_threshold=0)


@pytest.fixture
async def cluster(
    mock_clock: MockClock,
    nursery: trio.Nursery,
) -> AsyncIterator[Cluster]:
    """Give a cluster without an entry VM; end them all after the test."""
    yield Cluster(nursery)
    nursery.cancel_scope.cancel()
