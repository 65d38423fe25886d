"""
tests.conftest
==============

What tests share.  A test on virtual time also takes autojump_clock.
"""

from collections.abc import AsyncIterator

import pytest
import trio

from .standins.fakes import RequestCluster
from .standins.jobs import JobCluster


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> AsyncIterator[RequestCluster]:
    """Give a cluster without an entry VM; end them all after the test."""
    yield RequestCluster(nursery)
    nursery.cancel_scope.cancel()


@pytest.fixture
async def jobs(nursery: trio.Nursery) -> AsyncIterator[JobCluster]:
    """Give a cluster that serves jobs; end its entry VMs after the test."""
    yield JobCluster(nursery)
    nursery.cancel_scope.cancel()
