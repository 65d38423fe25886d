"""
tests.conftest
==============

What tests share.  A test on virtual time also takes autojump_clock.
"""

from collections.abc import AsyncIterator

import pytest
import trio

from .standins.fakes import Cluster


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> AsyncIterator[Cluster]:
    """Give a cluster without an entry VM; end them all after the test."""
    yield Cluster(nursery)
    nursery.cancel_scope.cancel()
