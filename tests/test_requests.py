"""
tests.test_requests
===================

Requests from an entry VM to a worker, on virtual time.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.model import Done, NotRun, Outcome, Reason, Unknown

from .builders import booking, request
from .standins.fakes import RequestCluster, RequestEntry


async def test_request_is_answered(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A request to a single entry VM returns the worker's result."""
    (entry,) = await cluster.start_all(1)
    now = entry.kernel.clock.now()
    outcome = await entry.dispatcher.handle(request(deadline=now + 1_000))
    assert outcome == Done(200, 'text/plain', b'body')


async def test_request_is_forwarded_to_the_owner(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """An entry VM that owns no worker forwards requests to one that does."""
    entries = await cluster.start_all(4, {'desk': 1})
    for entry in entries:
        now = entry.kernel.clock.now()
        outcome = await entry.dispatcher.handle(request(deadline=now + 1_000))
        assert outcome == Done(200, 'text/plain', b'body')
    assert {run.worker for run in cluster.workers.runs} == {'desk-1'}
    assert cluster.workers.refusals == 0


async def test_every_worker_has_one_owner(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Each worker is in the queue of exactly one entry VM."""
    entries = await cluster.start_all(4)
    owned = [
        vm_id
        for entry in entries
        for queue in entry.dispatcher.queues.values()
        for vm_id in queue.workers
    ]
    assert sorted(owned) == sorted(entries[0].configuration.vms)


async def test_unknown_service(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A request for a service that is not configured is not run."""
    (entry,) = await cluster.start_all(1)
    outcome = await entry.dispatcher.handle(
        request(service='none', deadline=entry.kernel.clock.now() + 1_000),
    )
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.no_worker


async def test_forward_while_the_owner_changes(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A request succeeds although the peer has just lost its workers."""
    entries = await cluster.start_all(2, {'desk': 1})
    entries.sort(key=lambda entry: len(entry.dispatcher.queue('desk').workers))
    other, owner = entries
    owner.dispatcher.queue('desk').replace_workers({})
    outcomes: list[Outcome] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_look_up, other, outcomes)
        await trio.sleep(0.04)
        owner.dispatcher.reassign_workers()
    assert outcomes == [Done(200, 'text/plain', b'body')]


async def test_booking_runs_once_for_two_callers(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A booking with one key runs once, although two entry VMs receive it."""
    first, second = await cluster.start_all(2)
    outcomes = []
    for entry in (first, second):
        booking_request = booking(deadline=entry.kernel.clock.now() + 1_000)
        outcomes.append(
            await entry.claims.run_once(
                booking_request, entry.dispatcher.handle
            ),
        )
    assert outcomes == [Done(200, 'text/plain', b'body')] * 2
    assert cluster.workers.count_runs('key-1') == 1


async def test_request_that_may_have_run_is_called_not_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Its answer was lost, and only the second attempt was refused."""
    (entry,) = await cluster.start_all(1, {'desk': 1})
    cluster.workers.modes['desk-1'] = 'lost'
    outcomes: list[Outcome] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_look_up, entry, outcomes)
        await cluster.wait_until(lambda: cluster.workers.runs)
        cluster.workers.modes['desk-1'] = 'gone'
    assert len(cluster.workers.runs) == 1
    assert isinstance(outcomes[0], Unknown)


async def _look_up(entry: RequestEntry, outcomes: list[Outcome]) -> None:
    deadline = entry.kernel.clock.now() + 1_000
    outcomes.append(await entry.dispatcher.handle(request(deadline=deadline)))
