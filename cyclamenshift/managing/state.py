"""
cyclamenshift.managing.state
============================

The state shared by the tasks of the fleet manager.
"""

from typing import Final

import trio

from ..clock import Clock
from ..component import Host
from ..decisions.lending import PoolView, total_resources
from ..decisions.maintenance import MaintenanceStatus
from ..decisions.vm_changes import VmChanges
from ..directory import Directory, Maintenance
from ..duty import OwnershipTerm
from ..fleetmessages import PoolReport
from ..job import NO_RESOURCES
from ..jobrows import OwnerRow
from ..logs import get_logger
from ..provider import FencingToken, ProvidedVm, VmPhase, VmProvider
from ..rows import decode_row
from ..store import Row, Unavailable, get_store_client
from .handover import Handover
from .maintenance_log import MaintenanceLog

#: The delay before a failed store call is retried, ms.
RETRY_DELAY_MS: Final = 100
#: The maximum age of the ownership check when an order is sent, ms.
MAX_CONFIRMATION_AGE_MS: Final = 300


class FleetState:
    """The VMs, the reports of their pools and the changes in progress."""

    def __init__(self, kernel: Host, term: OwnershipTerm) -> None:
        """Create the state of the fleet owned under *term*."""
        self.kernel = kernel
        self.term = term
        self.log = get_logger('fleet')
        self.provider = kernel.get(VmProvider)
        self.directory = kernel.get(Directory)
        holder = kernel.settings['entry']['id']
        self.fencing_token = FencingToken(holder, term.epoch)
        self.vms: dict[str, ProvidedVm] = {}
        self.reports: dict[str, PoolReport] = {}
        self.changes = VmChanges()
        store = get_store_client(kernel)
        self.maintenance_log = MaintenanceLog(self.clock, store, term)
        self.handover = Handover(
            self.clock,
            store,
            term,
            kernel.settings['jobs']['manager_lease'],
        )
        #: Whether the provider has answered the last call.
        self.provider_answers = True
        self.changed = trio.Event()

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self.kernel.clock

    def wake(self) -> None:
        """Wake the manager for another pass."""
        self.changed.set()
        self.changed = trio.Event()

    def update_vms(self, vms: list[ProvidedVm], sent_at: int) -> None:
        """Replace the VMs by the list that was requested at *sent_at*."""
        self.vms = self.changes.update(self.vms, vms, sent_at)
        self.wake()

    def end_change(
        self, vm_id: str, *, accepted: bool, unsettled_until: int
    ) -> None:
        """
        Release a VM after its change, and wake the manager.

        An order may still be carried out before *unsettled_until*.
        """
        now = self.clock.now()
        if accepted:
            self.changes.end(vm_id)
        else:
            self.changes.fail(vm_id, now, unsettled_until)
        self.wake()

    def record_move(self, vm_id: str, pool: str) -> None:
        """Record that the move of a VM to *pool* was accepted."""
        vm = self.vms.get(vm_id)
        if vm:
            self.changes.moved[vm_id] = self.clock.now()
            self.vms[vm_id] = vm._replace(pool=pool, phase=VmPhase.moving)

    def unavailable(self) -> set[str]:
        """Return the VMs that no change may be started for now."""
        unavailable = self.changes.unavailable(self.clock.now())
        return unavailable | self.handover.blocked()

    def run_counts(self) -> dict[str, int]:
        """Return the number of runs on each VM reported by a pool."""
        return {
            load.vm_id: load.runs
            for report in self.reports.values()
            for load in report.vms
        }

    def pools(self) -> dict[str, PoolView]:
        """Return each pool with the last report of its scheduler."""
        catalog = self.directory.catalog
        services = catalog.services if catalog else {}
        return {
            name: self._pool_view(name, spare=service.spare)
            for name, service in services.items()
        }

    def maintenance_status(self, maintenance: Maintenance) -> MaintenanceStatus:
        """Return the status of a maintenance."""
        started = self.maintenance_log.started_vms(maintenance.number)
        listed = {
            vm.vm_id
            for vm in self.vms.values()
            if vm.phase is VmPhase.in_maintenance
        }
        unavailable = listed.union(self.changes.down, self.handover.blocked())
        down = unavailable.intersection(maintenance.vm_ids)
        return MaintenanceStatus(maintenance, started, down)

    async def confirm_ownership(self) -> bool:
        """Check in the store that this entry VM still owns the fleet."""
        while not self.term.lost:
            sent_at = self.clock.now()
            rows = await self.maintenance_log.store.read([self.term.key])
            if isinstance(rows, Unavailable):
                await self.clock.sleep(RETRY_DELAY_MS)
            elif self._is_conclusive(rows[0], sent_at):
                break
        return not self.term.lost

    def _is_conclusive(self, row: Row, sent_at: int) -> bool:
        """Return whether *row* is recent enough, or ends the term."""
        fields = decode_row(row, OwnerRow) if row.version else None
        if not self.term.check_row(fields, row.version, 'check'):
            return True
        self.term.confirm(sent_at)
        return self.clock.now() - sent_at <= MAX_CONFIRMATION_AGE_MS

    def _pool_view(self, name: str, *, spare: bool) -> PoolView:
        report = self.reports.get(name, empty_report(name))
        unavailable = self.unavailable()
        running = {load.vm_id for load in report.vms if load.runs}
        vms = [vm for vm in self.vms.values() if self._target_pool(vm) == name]
        return PoolView(
            service=name,
            spare=spare,
            vms=tuple(vms),
            used=total_resources([load.used for load in report.vms]),
            waiting=report.waiting,
            deferred=report.deferred,
            draining=_draining(report, unavailable),
            expected=report.expected,
            spread=report.spread,
            empty=frozenset(vm.vm_id for vm in vms if vm.phase is VmPhase.up)
            - running
            - unavailable,
        )

    def _target_pool(self, vm: ProvidedVm) -> str:
        """Return the pool of a VM, or the pool that it is being moved to."""
        return self.changes.busy.get(vm.vm_id) or vm.pool


def _draining(report: PoolReport, unavailable: set[str]) -> tuple[str, ...]:
    """Return the VMs with short tasks only, those with the fewest first."""
    loads = sorted(
        (load.runs, load.vm_id)
        for load in report.vms
        if load.runs and not load.long_runs
    )
    return tuple(vm_id for _runs, vm_id in loads if vm_id not in unavailable)


def empty_report(service: str) -> PoolReport:
    """Return the report assumed for a service that has not reported."""
    return PoolReport(service, 0, (), NO_RESOURCES, NO_RESOURCES)
