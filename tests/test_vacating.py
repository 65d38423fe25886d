"""
tests.test_vacating
===================

VMs that are emptied before they are moved or maintained.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.job import JobState, TaskId
from cyclamenshift.jobrows import OwnerRow, owner_key
from cyclamenshift.scheduling.service import ServiceScheduler
from cyclamenshift.store import Transaction, Write

from .builders import job, step
from .standins.jobs import JobCluster

#: How long the store takes to record the end of a run, ms.
SLOW_RECORD_MS = 3_000
#: The time that the fleet manager allows for emptying a VM, ms.
VACATE_MS = 500
#: Longer than peers take to replace an owner that stands still, s.
PAUSE_S = 4


async def test_vm_with_unrecorded_ends_is_taken_for_empty(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The worker alone remembers such an end, and forgets it in a move."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    job_cluster.store.delay = SLOW_RECORD_MS
    await job_cluster.wait_until(job_cluster.workers.unacknowledged_ends)
    await trio.sleep(0.2)
    scheduler = entry.scheduler.schedulers['desk']
    assert not scheduler.tracker.attempts_by_worker
    assert not await scheduler.vacate('desk-vm-1', VACATE_MS)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert await scheduler.vacate('desk-vm-1', VACATE_MS)


async def test_vm_of_a_worker_not_found_yet_is_taken_for_empty(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A new scheduler knows recorded runs before it knows the workers."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await job_cluster.submit(entry, job(steps=(step(long_running=True),)))
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    await trio.sleep(0.2)
    scheduler = entry.scheduler.schedulers['desk']
    scheduler.state.sessions.clear()
    assert not await scheduler.vacate('desk-vm-1', 0)


async def test_vm_whose_worker_is_found_late_is_taken_for_empty(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A new scheduler is asked for a VM just before it finds the worker."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    job_cluster.workers.run_ms[TaskId('job-1', 0, 0, 0)] = 10 * VACATE_MS
    await job_cluster.submit(entry, job(steps=(step(tasks=1),)))
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    await trio.sleep(0.2)
    scheduler = entry.scheduler.schedulers['desk']
    found_late = dict(scheduler.state.sessions)
    scheduler.state.sessions.clear()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_assert_occupied, scheduler)
        await trio.sleep(0.05)
        scheduler.state.sessions.update(found_late)


async def _assert_occupied(scheduler: ServiceScheduler) -> None:
    assert not await scheduler.vacate('desk-vm-1', VACATE_MS)


async def test_run_stays_marked_as_evicted_after_a_cancelled_call(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The manager that asked for the VM went away before the run was over."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await job_cluster.submit(
        entry, job(steps=(step(tasks=1, long_running=True),))
    )
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    await trio.sleep(1)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    sim = job_cluster.workers.current_instance(worker_id)
    sim.unreachable_from = set()
    scheduler = entry.scheduler.schedulers['desk']
    with trio.move_on_after(0.1):
        await scheduler.vacate('desk-vm-1', VACATE_MS)
    sim.unreachable_from = None
    await job_cluster.wait_until(lambda: job_cluster.workers.ends)
    await trio.sleep(0.2)
    assert len(job_cluster.workers.started_runs) == 2


async def test_superseded_owner_tells_that_a_vm_is_empty(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It was paused, and does not know the runs of its successor."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    scheduler = entry.scheduler.schedulers['desk']
    assert await scheduler.vacate('desk-vm-1', 0)
    row = OwnerRow(holder='entry-9', incarnation='other', epoch=9)
    write = Write(owner_key('desk'), dict(row))
    job_cluster.store.table.commit(Transaction((), (write,)))
    autojump_clock.jump(PAUSE_S)
    assert not await scheduler.vacate('desk-vm-1', 0)
