"""
tests.standins.jobs
===================

Several entry VMs that serve jobs, in one trio run on virtual time.

The scheduler, the fleet manager and everything above the plug-ins are real;
the store, the peer streams, the platform and the workers are fakes.
"""

from typing import Any, NamedTuple

import trio

from cyclamenshift import kernel, startup
from cyclamenshift.clock import Clock
from cyclamenshift.component import Component
from cyclamenshift.control import Control
from cyclamenshift.controls.job_access import JobAccess, Stored
from cyclamenshift.controls.ownership import Ownership
from cyclamenshift.controls.row_writer import Written
from cyclamenshift.directory import Queue
from cyclamenshift.duties.fleet import FleetDuty
from cyclamenshift.duties.scheduler import SchedulerDuty
from cyclamenshift.duty import Duty
from cyclamenshift.job import Job, JobState
from cyclamenshift.jobrows import CancelRow, cancel_key
from cyclamenshift.provider import (
    VmPhase,
)
from cyclamenshift.scheduling.state import ServiceState
from cyclamenshift.store import ABSENT
from cyclamenshift.worker import Worker

from ..builders import (
    WALL_START,
    entry_settings,
    provided_vm,
    worker,
)
from .fakes import EntryGroup, FakePeer, run_in_scope
from .platform import FakeDirectory, FakeVmProvider, SharedPlatform, VmOrder
from .shared_store import FakeStore
from .sim_worker import now_ms
from .worker_client import FakeWorkerClient
from .workers import SimWorkers

#: How long a VM is down for maintenance, ms.
MAINTENANCE_MS = 2_000
#: How long a VM is down while it moves to another pool, ms.
MOVE_MS = 1_500
#: How long after its start a task crashes its worker, and after how long
#: another instance of the worker is there, ms.
CRASH_DELAY_MS = 5
RESTART_MS = 3_200
#: For how long a worker that goes down again and again is down, and then up.
FLAP_MS = 700
#: The time within which a submission or cancellation must be accepted, ms.
WAIT_MS = 3_000


class JobEntry(NamedTuple):
    """An entry VM of a cluster, with the components that tests use."""

    kernel: kernel.Kernel
    job_access: JobAccess
    ownership: Ownership
    scheduler: SchedulerDuty
    fleet: FleetDuty
    cancel_scope: trio.CancelScope


class JobCluster(EntryGroup[JobEntry]):
    """
    Entry VMs that serve jobs and share a store, a platform and workers.

    ``overload`` has the settings of that section at all entry VMs.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without entry VMs and without workers."""
        super().__init__(nursery)
        self.workers = SimWorkers()
        self.workers.on_crash = lambda crashed: nursery.start_soon(
            self.crash_and_restart, crashed
        )
        self.platform = SharedPlatform()
        self.workers_started = 0
        #: The settings about overload of the entry VMs that are started.
        self.overload: dict[str, bool] = {}

    def add_workers(self, service: str, count: int, **overrides: Any) -> None:
        """Start *count* VMs with workers in the pool of *service*."""
        for number in range(1, count + 1):
            self.add_vm(f'{service}-vm-{number}', service, **overrides)

    def add_vm(self, vm_id: str, service: str, **overrides: Any) -> None:
        """Start a VM in the pool of *service*; a spare pool has no workers."""
        template = worker(
            f'{vm_id}-w0',
            service=service,
            vm_id=vm_id,
            **overrides,
        )
        self.platform.vms[vm_id] = provided_vm(
            vm_id,
            pool=service,
            data_centre=template.data_centre,
            rack=template.rack,
            labels=template.labels,
            resources=template.resources,
        )
        self.register(vm_id)

    def register(self, vm_id: str) -> None:
        """Start and register a worker on a VM, unless its pool is spare."""
        vm = self.platform.vms[vm_id]
        services = (
            self.platform.catalog.services if self.platform.catalog else {}
        )
        if services[vm.pool].spare:
            return
        self.workers_started += 1
        new_worker = worker(
            f'{vm_id}-w{self.workers_started}',
            service=vm.pool,
            vm_id=vm_id,
            rack=vm.rack,
            resources=vm.resources,
            labels=vm.labels,
            started_at=WALL_START + now_ms() + self.workers_started,
        )
        self.workers.add(new_worker)
        self.platform.workers[new_worker.worker_id] = new_worker
        self.platform.notify_change()

    def get_worker_id(self, vm_id: str) -> str:
        """Return the id of the worker that was last started on a VM."""
        return max(
            (registered.started_at, registered.worker_id)
            for registered in self.platform.workers.values()
            if registered.vm_id == vm_id
        )[1]

    def count_in_pool(self, pool: str) -> int:
        """Return how many VMs are in a pool."""
        return sum(vm.pool == pool for vm in self.platform.vms.values())

    async def take_down(self, order: VmOrder) -> None:
        """Carry out an order: stop a VM's worker, wait, and start another."""
        vm = self.platform.vms[order.vm_id]
        for worker_id, registered in tuple(self.platform.workers.items()):
            if registered.vm_id == order.vm_id:
                self.platform.workers.pop(worker_id)
                self.workers.crash(worker_id)
        phase = VmPhase.in_maintenance if order.maintenance else VmPhase.moving
        pool = order.pool or vm.pool
        self.platform.vms[order.vm_id] = vm._replace(phase=phase, pool=pool)
        self.platform.notify_change()
        downtime = MAINTENANCE_MS if order.maintenance else MOVE_MS
        await trio.sleep(downtime / 1000)
        current = self.platform.vms[order.vm_id]
        self.platform.vms[order.vm_id] = current._replace(phase=VmPhase.up)
        self.register(order.vm_id)

    async def crash_and_restart(self, worker: Worker) -> None:
        """Crash a worker; another one starts at its address after a while."""
        await trio.sleep(CRASH_DELAY_MS / 1000)
        self.workers.crash(worker.worker_id)
        await trio.sleep(RESTART_MS / 1000)
        self.platform.workers.pop(worker.worker_id, None)
        self.workers.instances[worker.instance].replaced = True
        self.register(worker.vm_id)

    async def flap(self, vm_id: str) -> None:
        """Crash the worker of a VM again and again, until cancelled."""
        while True:
            await trio.sleep(FLAP_MS / 1000)
            is_up = self.platform.vms[vm_id].phase is VmPhase.up
            current = [
                worker_id
                for worker_id, registered in self.platform.workers.items()
                if registered.vm_id == vm_id
            ]
            if is_up and not current:
                self.register(vm_id)
            for worker_id in current:
                self.workers.crash(worker_id)
                self.platform.workers.pop(worker_id)

    async def start(self, entry_id: str) -> JobEntry:
        """Start an entry VM and return it as soon as it has started."""
        kernel.load_plugins()
        entry_kernel = kernel.build(
            entry_settings(
                entry_id,
                entry={'work': 'jobs'},
                overload=self.overload,
            ),
            Clock(WALL_START + now_ms()),
            self._component_types(),
        )
        scope = trio.CancelScope()
        await self.nursery.start(run_in_scope, scope, entry_kernel.run)
        entry = JobEntry(
            entry_kernel,
            entry_kernel.get(JobAccess),
            entry_kernel.get(Ownership),
            entry_kernel.get(SchedulerDuty),
            entry_kernel.get(FleetDuty),
            scope,
        )
        self.entries[entry_id] = entry
        return entry

    async def start_all(self, count: int) -> list[JobEntry]:
        """Start *count* entry VMs and wait until all domains have owners."""
        entries = [
            await self.start(f'entry-{number}')
            for number in range(1, count + 1)
        ]
        await self.wait_until(self.all_owned)
        return entries

    def all_owned(self) -> bool:
        """Return whether each domain has an owner that has loaded its rows."""
        loaded = {
            service
            for entry in self.entries.values()
            for service, scheduler in entry.scheduler.schedulers.items()
            if scheduler.loaded
        }
        is_managed = any(entry.fleet.manager for entry in self.entries.values())
        return loaded == {'desk', 'billing'} and is_managed

    def owner(self, service: str) -> str:
        """Return the id of the entry VM that schedules *service*."""
        return next(
            entry_id
            for entry_id, entry in self.entries.items()
            if service in entry.scheduler.schedulers
        )

    def manager(self) -> str:
        """Return the id of the entry VM that manages the fleet."""
        return next(
            entry_id
            for entry_id, entry in self.entries.items()
            if entry.fleet.manager
        )

    def state(self, entry_id: str, service: str) -> ServiceState:
        """Return the state of the scheduler of *service* at an entry VM."""
        entry = self.entries[entry_id]
        return entry.scheduler.schedulers[service].state

    def entry_not_owning(self, service: str) -> JobEntry:
        """Return an entry VM that does not schedule *service*."""
        return next(
            entry
            for entry in self.entries.values()
            if service not in entry.scheduler.schedulers
        )

    async def submit(
        self,
        entry: JobEntry,
        job: Job,
        wait: int = WAIT_MS,
    ) -> None:
        """Submit a job, which must be accepted within *wait* ms."""
        self.register_steps(job)
        queue = self.queue_of(job)
        result = await entry.job_access.submit(queue, job, wait)
        assert isinstance(result, Stored), result

    def register_steps(self, job: Job) -> None:
        """Tell the workers the steps of *job*, which orders do not contain."""
        for number, step in enumerate(job.steps):
            self.workers.steps[job.job_id, number] = step

    async def state_of(self, job: Job) -> object:
        """Query the state of a job at one of the entry VMs."""
        entry = next(iter(self.entries.values()))
        return await entry.job_access.state_of(
            self.queue_of(job), job.job_id, WAIT_MS
        )

    async def cancel(self, job: Job) -> None:
        """Cancel a job; the request must be accepted."""
        entry = next(iter(self.entries.values()))
        queue = self.queue_of(job)
        result = await entry.job_access.cancel(queue, job.job_id, WAIT_MS)
        assert isinstance(result, Stored), result

    async def cancel_without_notification(self, job: Job) -> None:
        """Store a cancellation without notifying the owner of the service."""
        entry = next(iter(self.entries.values()))
        key = cancel_key(self.queue_of(job).service, job.job_id)
        row = CancelRow(asked=entry.job_access.clock.wall_time())
        written = await entry.job_access.row_writer.write(key, ABSENT, row)
        assert isinstance(written, Written), written

    def queue_of(self, job: Job) -> Queue:
        """Return the queue that a job was submitted to."""
        assert self.platform.catalog
        return self.platform.catalog.queues[job.queue]

    async def wait_for_state(self, state: JobState, *jobs: Job) -> None:
        """Wait until *jobs* are in *state*, at most 600 s of virtual time."""
        with trio.fail_after(600):
            for job in jobs:
                while await self.state_of(job) is not state:
                    await trio.sleep(0.02)

    def _component_types(self) -> list[type[Component]]:
        cluster = self

        class BoundStore(FakeStore):
            store = cluster.store

        class BoundPeer(FakePeer):
            network = cluster.network

        class BoundWorkers(FakeWorkerClient):
            workers = cluster.workers
            nursery = cluster.nursery

        class BoundDirectory(FakeDirectory):
            platform = cluster.platform

        class BoundVmProvider(FakeVmProvider):
            platform = cluster.platform
            nursery = cluster.nursery

            async def take_down(self, order: VmOrder) -> None:
                await cluster.take_down(order)

        return [
            BoundStore,
            BoundPeer,
            BoundWorkers,
            BoundDirectory,
            BoundVmProvider,
            *startup.components_for(Control, 'jobs'),
            *startup.components_for(Duty, 'jobs'),
        ]
