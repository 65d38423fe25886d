"""
tests.test_receivers
====================

Which process alone can have received an order, by its connection.
"""

import pytest
import trio

from cyclamenshift import kernel
from cyclamenshift.clock import Clock
from cyclamenshift.http1 import Address, RemoteProcess, Request, Response
from cyclamenshift.job import RunId, TaskId
from cyclamenshift.platform.workers import PlatformWorkers
from cyclamenshift.worker import (
    Accepted,
    LeaseRenewal,
    StartOrder,
    Unanswered,
    Worker,
    WorkerReport,
)

from .builders import WALL_START, entry_settings, worker
from .standins.worker_process import WorkerProcess

ORDER = StartOrder(RunId(TaskId('job-1', 0, 0, 0), 1), '', 2_000, 1)
RENEWAL = LeaseRenewal(expires=0, fence=1, acknowledged=0, wait=0)
RESTARTED_AT = WALL_START + 1


@pytest.fixture
async def client() -> PlatformWorkers:
    """Return a client without connections."""
    settings = entry_settings('entry-1', entry={'work': 'jobs'})
    return PlatformWorkers(kernel.build(settings, Clock(WALL_START), []))


async def _listen(
    nursery: trio.Nursery, process: WorkerProcess, port: int = 0
) -> Worker:
    """Start *process* and return its registration."""
    address = await nursery.start(process.run, port)
    return worker(address=address, started_at=process.born)


async def _start_receiver(client: PlatformWorkers, worker: Worker) -> object:
    """Return the receiver of an order that is accepted."""
    result = await client.start(worker, ORDER)
    assert isinstance(result, Accepted)
    return result.receiver


async def test_restarted_process_gets_no_order_of_an_old_connection(
    nursery: trio.Nursery, client: PlatformWorkers
) -> None:
    """The order names its receiver; one on a new connection names none."""
    first, second = map(WorkerProcess, (WALL_START, RESTARTED_AT))
    registered = await _listen(nursery, first)
    assert await _start_receiver(client, registered) is None
    await client.renew(registered, RENEWAL)
    assert await _start_receiver(client, registered) == WALL_START
    first.crashes = True
    result = await client.start(registered, ORDER)
    assert isinstance(result, Unanswered)
    assert result.sent
    assert result.receiver == WALL_START
    await _listen(nursery, second, registered.address.port)
    assert not second.executed
    assert await _start_receiver(client, registered) is None
    assert len(second.executed) == 1
    await client.renew(registered, RENEWAL)
    assert await _start_receiver(client, registered) == RESTARTED_AT
    client.client.close()
    nursery.cancel_scope.cancel()


async def test_renewals_identify_the_processes_of_other_connections(
    nursery: trio.Nursery, client: PlatformWorkers
) -> None:
    """Starts prefer an identified process, renewals one that is not."""
    registered = await _listen(nursery, WorkerProcess(WALL_START))
    await client.renew(registered, RENEWAL)
    async with trio.open_nursery() as orders:
        for _order in range(2):
            orders.start_soon(client.start, registered, ORDER)
    idle = client.client.idle[registered.address]
    assert [each.is_identified for each in idle].count(True) == 1
    assert await _start_receiver(client, registered) == WALL_START
    await client.renew(registered, RENEWAL)
    assert all(each.is_identified for each in idle)
    assert client.client.opened == 2
    client.client.close()
    nursery.cancel_scope.cancel()


class ForwardingClient:
    """An HTTP client whose only connection leads to several processes."""

    def __init__(self) -> None:
        """Start with the first process."""
        self.process = RemoteProcess()
        self.born = WALL_START

    async def call(self, address: Address, request: Request) -> Response:
        """Return the report of the next process."""
        self.born += 1
        body = '{"clockMs":1,"born":%d,"running":[],"ended":[]}' % self.born
        return Response(200, {}, body.encode(), self.process)


async def test_connections_through_a_proxy_name_no_receiver(
    client: PlatformWorkers,
) -> None:
    """Two processes that report on one connection show the proxy."""
    client.client = ForwardingClient()  # type: ignore[assignment]
    for receiver in (WALL_START + 1, None):
        assert isinstance(await client.renew(worker(), RENEWAL), WorkerReport)
        assert await _start_receiver(client, worker()) == receiver
