"""
tests.test_job_queries
======================

Queries for counts and states while the owner of a service is slow or gone.
"""

from functools import partial

import trio
from trio.testing import MockClock

from cyclamenshift.controls.job_access import Stored
from cyclamenshift.directory import Queue
from cyclamenshift.duties.scheduler import SchedulerDuty
from cyclamenshift.job import JobState
from cyclamenshift.jobmessages import (
    CountAnswer,
    CountQuery,
    StateAnswer,
    StateQuery,
)
from cyclamenshift.jobrows import JOB_TABLE
from cyclamenshift.peer import Peer
from cyclamenshift.store import Unavailable

from .builders import job
from .standins.jobs import JobCluster, JobEntry

#: How long callers wait for the response, ms.
CALLER_TIMEOUT_MS = 1_400
#: How long a scan of the job tables takes, ms; longer than callers wait.
SCAN_MS = 2_000
#: The response time of an owner that is slow but alive, ms.
SLOW_MS = 500


async def _count_slowly(
    duty: SchedulerDuty,
    delay: int,
    _entry_id: str,
    query: CountQuery,
) -> CountAnswer:
    await duty.clock.sleep(delay)
    scheduler = duty.schedulers[query.service]
    return CountAnswer(True, scheduler.count_waiting(query.queue))


async def _append_count(
    counts: list[object],
    entry: JobEntry,
    queue: Queue,
) -> None:
    counts.append(
        await entry.job_access.count_waiting(queue, CALLER_TIMEOUT_MS)
    )


async def _count_from_store(
    counts: list[object],
    entry: JobEntry,
    queue: Queue,
) -> None:
    with trio.move_on_after(CALLER_TIMEOUT_MS / 1000):
        stored_counts = entry.job_access.stored_counts
        count = await stored_counts.count_waiting(queue.service, queue.name)
        counts.append(count)


async def _tell_state_slowly(
    duty: SchedulerDuty,
    delay: int,
    _entry_id: str,
    query: StateQuery,
) -> StateAnswer:
    await duty.clock.sleep(delay)
    scheduler = duty.schedulers[query.service]
    return scheduler.job_state(query.job_id)


def slow_down_owner(job_cluster: JobCluster, delay: int) -> None:
    """Let the owner of the service ``desk`` answer queries after *delay* ms."""
    owner = job_cluster.entries[job_cluster.owner('desk')]
    peer = owner.kernel.get(Peer)
    peer.add_call_handler(
        CountQuery, partial(_count_slowly, owner.scheduler, delay)
    )
    peer.add_call_handler(
        StateQuery, partial(_tell_state_slowly, owner.scheduler, delay)
    )


async def test_slow_owner_is_awaited_instead_of_scanning_the_jobs(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An owner on a full link caused scans of whole tables at front ends."""
    await job_cluster.start_all(3)
    entry = job_cluster.entry_not_owning('desk')
    submitted = job()
    await job_cluster.submit(entry, submitted)
    queue = job_cluster.queue_of(submitted)
    slow_down_owner(job_cluster, SLOW_MS)
    job_cluster.store.scans.clear()
    assert await entry.job_access.count_waiting(queue, CALLER_TIMEOUT_MS) == 1
    assert (
        await entry.job_access.state_of(
            queue, submitted.job_id, CALLER_TIMEOUT_MS
        )
        is JobState.queued
    )
    assert not job_cluster.store.scans[JOB_TABLE]


async def test_count_is_refused_while_the_owner_does_not_answer(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A count that the owner can't tell in time causes no scan."""
    await job_cluster.start_all(3)
    entry = job_cluster.entry_not_owning('desk')
    queue = job_cluster.queue_of(job())
    slow_down_owner(job_cluster, 2 * CALLER_TIMEOUT_MS)
    job_cluster.store.scans.clear()
    with trio.fail_after(CALLER_TIMEOUT_MS / 1000 + 0.1):
        counted = await entry.job_access.count_waiting(queue, CALLER_TIMEOUT_MS)
    assert isinstance(counted, Unavailable)
    assert not job_cluster.store.scans[JOB_TABLE]


async def test_counts_without_an_owner_share_a_scan(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each request for a count scanned both job tables of the service."""
    await job_cluster.start_all(2)
    entry = job_cluster.entry_not_owning('desk')
    submitted = job()
    await job_cluster.submit(entry, submitted)
    queue = job_cluster.queue_of(submitted)
    job_cluster.kill(job_cluster.owner('desk'))
    entry.ownership.terms.clear()
    entry.ownership.peer_domains.clear()
    job_cluster.store.scans.clear()
    counts: list[object] = []
    async with trio.open_nursery() as nursery:
        for _request in range(8):
            nursery.start_soon(_append_count, counts, entry, queue)
    assert counts == [1] * 8
    assert job_cluster.store.scans[JOB_TABLE] == 1


async def test_scans_are_begun_again_when_callers_give_up(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A scan that outlasts its caller still answers the next ones."""
    (entry,) = await job_cluster.start_all(1)
    submitted = job()
    await job_cluster.submit(entry, submitted)
    queue = job_cluster.queue_of(submitted)
    job_cluster.store.scans.clear()
    job_cluster.store.delay = SCAN_MS // 2
    counts: list[object] = []
    async with trio.open_nursery() as nursery:
        for _request in range(8):
            nursery.start_soon(_count_from_store, counts, entry, queue)
            await trio.sleep(SLOW_MS / 1000)
    assert counts
    assert set(counts) == {1}
    assert job_cluster.store.scans[JOB_TABLE] <= 4


async def test_cancel_ends_within_the_time_of_its_caller(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The query for the state and the write took that time each."""
    await job_cluster.start_all(3)
    entry = job_cluster.entry_not_owning('desk')
    submitted = job()
    await job_cluster.submit(entry, submitted)
    queue = job_cluster.queue_of(submitted)
    slow_down_owner(job_cluster, SLOW_MS)
    job_cluster.store.transaction_ms = CALLER_TIMEOUT_MS
    with trio.fail_after(CALLER_TIMEOUT_MS / 1000 + 0.1):
        result = await entry.job_access.cancel(
            queue, submitted.job_id, CALLER_TIMEOUT_MS
        )
    assert not isinstance(result, Stored)
