"""
tests.test_late_orders
======================

Orders for VMs that can't be given, or have no answer, for some time.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.directory import Maintenance
from cyclamenshift.job import Job, JobState
from cyclamenshift.managing.orders import PATIENCE_MS

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.platform import Outage, VmOrder

#: The tasks of a lasting job, one on each VM, of which one may be missing.
TASKS = 5
#: How long the tasks take to be at work, s.
STARTUP_S = 2
#: The time within which a maintenance must end after an outage, s; without
#: an outage it takes 20 s.
WAVE_S = 30
#: How long a task may be away for an order that can't be given, s: until its
#: VM is given back, and until it is at work there again.
AWAY_S = PATIENCE_MS / 1000 + STARTUP_S


class ServiceWatch:
    """Checks for each order that the tasks that it ends may be missing."""

    def __init__(self, job_cluster: JobCluster) -> None:
        """Check the orders of *job_cluster*."""
        self.job_cluster = job_cluster
        self.violations: list[str] = []
        job_cluster.platform.on_order = self.check

    def vms_at_work(self) -> set[str]:
        """Return the VMs with a run that is at work."""
        now = round(trio.current_time() * 1000)
        self.job_cluster.workers.advance()
        return {
            sim.worker.vm_id
            for sim in self.job_cluster.workers.instances.values()
            for run in sim.running.values()
            if run.progress_percent(now) == 100 and run.stops_at is None
        }

    def check(self, order: VmOrder) -> None:
        """Check that an order ends no task while another one is away."""
        at_work = self.vms_at_work()
        if order.vm_id in at_work and len(at_work) < TASKS:
            self.violations.append(f'{order} leaves {at_work}')


async def start_service(job_cluster: JobCluster, entries: int) -> Job:
    """Start a lasting job with one task on each VM."""
    job_cluster.add_workers('desk', TASKS)
    await job_cluster.start_all(entries)
    submitted = job(
        steps=(
            step(
                tasks=TASKS,
                long_running=True,
                disruption_limit=1,
                worker_limit=1,
            ),
        ),
    )
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == TASKS
    )
    await trio.sleep(STARTUP_S)
    return submitted


def request_maintenance(job_cluster: JobCluster) -> None:
    """Have all VMs maintained, two at a time."""
    vm_ids = tuple(sorted(job_cluster.platform.vms))
    job_cluster.platform.maintenances[1] = Maintenance(1, vm_ids, 60_000, 2)


async def wait_for_wave(job_cluster: JobCluster) -> None:
    """Wait until the maintenance is complete, for as long as it may take."""
    with trio.fail_after(WAVE_S):
        await job_cluster.wait_until(
            lambda: job_cluster.platform.published.get(1) is JobState.completed
        )


@pytest.mark.parametrize('outage_s', [2.5, 5, 10])
@pytest.mark.parametrize(
    'outage', [Outage.busy, Outage.silent, Outage.lost, Outage.late]
)
async def test_late_order_ends_a_task_that_is_at_work_again(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    outage: Outage,
    outage_s: float,
) -> None:
    """The VM had been vacated for it when the provider failed."""
    await start_service(job_cluster, entries=2)
    watch = ServiceWatch(job_cluster)
    request_maintenance(job_cluster)
    await trio.sleep(0.05)
    job_cluster.platform.outage = outage
    await trio.sleep(outage_s)
    job_cluster.platform.outage = Outage.none
    await wait_for_wave(job_cluster)
    assert not watch.violations
    assert len(job_cluster.platform.orders) == TASKS


@pytest.mark.parametrize('outage_s', [4.5, 9])
async def test_order_after_a_failure_of_the_store_ends_a_task_at_work(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    outage_s: float,
) -> None:
    """The VM had been vacated before the ownership could be confirmed."""
    await start_service(job_cluster, entries=2)
    watch = ServiceWatch(job_cluster)
    request_maintenance(job_cluster)
    manager = job_cluster.entries[job_cluster.manager()].fleet.manager
    assert manager
    busy = manager.state.changes.busy
    await job_cluster.wait_until(lambda: busy)
    job_cluster.store.down = True
    await trio.sleep(outage_s)
    job_cluster.store.down = False
    await wait_for_wave(job_cluster)
    assert not watch.violations


async def test_vm_stays_empty_for_the_length_of_an_outage(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It was vacated again and again while no order could be given."""
    await start_service(job_cluster, entries=2)
    watch = ServiceWatch(job_cluster)
    request_maintenance(job_cluster)
    await trio.sleep(0.02)
    job_cluster.platform.outage = Outage.busy
    await trio.sleep(3 * AWAY_S)
    started = len(job_cluster.workers.started_runs)
    assert len(watch.vms_at_work()) == TASKS
    await trio.sleep(3 * AWAY_S)
    assert len(job_cluster.workers.started_runs) == started
    job_cluster.platform.outage = Outage.none
    await wait_for_wave(job_cluster)
    assert not watch.violations


async def test_reservation_ends_with_the_session_of_the_worker(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its registration was missing for a moment while the order was out."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    scheduler = entry.scheduler.schedulers['desk']
    assert await scheduler.vacate('desk-vm-1', 0)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    registered = job_cluster.platform.workers.pop(worker_id)
    job_cluster.platform.notify_change()
    await trio.sleep(0.5)
    job_cluster.platform.workers[worker_id] = registered
    job_cluster.platform.notify_change()
    await job_cluster.submit(entry, job(steps=(step(tasks=1),)))
    await trio.sleep(1)
    assert not job_cluster.workers.started_runs
    await trio.sleep(2)
    assert job_cluster.workers.started_runs
