"""
cyclamenshift.managing.state
============================

What the tasks of the manager of the fleet share.
"""

from typing import Final

import trio

from ..clock import Clock
from ..component import Host
from ..decisions.lending import PoolView, total_resources
from ..decisions.maintenance import MaintenanceStatus
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
from .log import MaintenanceLog

#: The wait before a call of the store that failed is tried again, ms.
RETRY_MS: Final = 100
#: How old the proof of ownership may be when an order goes out, ms.
PROOF_MS: Final = 300


class FleetState:
    """The VMs, what their pools report, and what is being done with them."""

    def __init__(self, kernel: Host, term: OwnershipTerm) -> None:
        """Start empty, under *term*."""
        self.kernel = kernel
        self.term = term
        self.log = get_logger('fleet')
        self.provider = kernel.get(VmProvider)
        self.directory = kernel.get(Directory)
        holder = kernel.settings['entry']['id']
        self.fencing_token = FencingToken(holder, term.epoch)
        self.vms: dict[str, ProvidedVm] = {}
        self.reports: dict[str, PoolReport] = {}
        self.busy: dict[str, str] = {}
        store = get_store_client(kernel)
        self.done = MaintenanceLog(self.clock, store, term)
        self.handover = Handover(
            self.clock,
            store,
            term,
            kernel.settings['jobs']['manager_lease'],
        )
        self.down: dict[str, int] = {}
        self.impossible: set[tuple[str, str]] = set()
        self.changed = trio.Event()

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self.kernel.clock

    def wake(self) -> None:
        """Let the manager decide again."""
        self.changed.set()
        self.changed = trio.Event()

    def take_list(self, vms: list[ProvidedVm], asked_at: int) -> None:
        """Take the list of VMs that was asked for at *asked_at*."""
        self.vms = {vm.vm_id: vm for vm in vms}
        for vm_id, ordered_at in tuple(self.down.items()):
            vm = self.vms.get(vm_id)
            back = vm is None or vm.phase is VmPhase.up
            if back and asked_at > ordered_at and vm_id not in self.busy:
                self.down.pop(vm_id)
        self.wake()

    def runs(self) -> dict[str, int]:
        """Return how much runs on each VM that a pool reports."""
        return {
            load.vm_id: load.runs
            for report in self.reports.values()
            for load in report.vms
        }

    def pools(self) -> dict[str, PoolView]:
        """Return each pool, with what its scheduler told last."""
        catalog = self.directory.catalog
        services = catalog.services if catalog else {}
        return {
            name: self._pool(name, spare=service.spare)
            for name, service in services.items()
        }

    def maintenance_status(self, maintenance: Maintenance) -> MaintenanceStatus:
        """Return how a maintenance stands."""
        done = self.done.of(maintenance.number)
        listed = {
            vm.vm_id
            for vm in self.vms.values()
            if vm.phase is VmPhase.in_maintenance
        }
        away = listed.union(self.down, self.handover.blocked())
        down = away.intersection(maintenance.vm_ids)
        return MaintenanceStatus(maintenance, done, down)

    async def prove(self) -> bool:
        """Return whether this entry VM certainly owned the fleet just now."""
        while not self.term.lost:
            asked_at = self.clock.now()
            rows = await self.done.store.read([self.term.key])
            if isinstance(rows, Unavailable):
                await self.clock.sleep(RETRY_MS)
            elif self._is_proof(rows[0], asked_at):
                break
        return not self.term.lost

    def _is_proof(self, row: Row, asked_at: int) -> bool:
        """Return whether *row* is fresh enough to order on, or another's."""
        fields = decode_row(row, OwnerRow) if row.version else None
        if not self.term.check_row(fields, row.version):
            return True
        self.term.confirm(asked_at)
        return self.clock.now() - asked_at <= PROOF_MS

    def _pool(self, name: str, *, spare: bool) -> PoolView:
        report = self.reports.get(name, no_report(name))
        running = {load.vm_id for load in report.vms if load.runs}
        vms = [vm for vm in self.vms.values() if self._pool_of(vm) == name]
        return PoolView(
            service=name,
            spare=spare,
            vms=tuple(vms),
            used=total_resources([load.used for load in report.vms]),
            waiting=report.waiting,
            expected=report.expected,
            spread=report.spread,
            empty=frozenset(vm.vm_id for vm in vms)
            - running
            - self.handover.blocked(),
        )

    def _pool_of(self, vm: ProvidedVm) -> str:
        """Return the pool of a VM, or the one that it is being moved to."""
        return self.busy.get(vm.vm_id) or vm.pool


def no_report(service: str) -> PoolReport:
    """Return what counts where a scheduler has not reported."""
    return PoolReport(service, 0, (), NO_RESOURCES, NO_RESOURCES)
