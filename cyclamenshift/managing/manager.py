"""
cyclamenshift.managing.manager
==============================

Lends VMs between pools and has them maintained, while it owns the fleet.
"""

from collections.abc import Iterator
from typing import Final

import trio

from ..component import Dump, Host
from ..controls.ownership import Ownership
from ..decisions.lending import PoolBalancer
from ..decisions.maintenance import is_complete, next_vms
from ..directory import Maintenance
from ..duty import OwnershipTerm
from ..fleetmessages import PoolReport, Vacate, Vacated
from ..job import JobState
from ..provider import VmUnanswered
from .orders import maintain, move
from .state import FleetState

#: How often the VMs are listed, ms.
LIST_MS: Final = 700
#: How often the pools are looked at, ms.
LOOK_MS: Final = 200
#: How much longer than the VM may take the answer may be on its way, ms.
ANSWER_ALLOWANCE_MS: Final = 200


class FleetManager:
    """The tasks that move and maintain VMs, under one ownership term."""

    def __init__(self, kernel: Host, term: OwnershipTerm) -> None:
        """Start with no VM known."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.state = FleetState(kernel, term)
        self.balancer = PoolBalancer()
        self.ownership = kernel.get(Ownership)
        self.published: dict[int, JobState] = {}

    async def run(self) -> None:
        """Wait out an earlier manager, then decide until cancelled."""
        await self.state.done.load()
        await self.state.handover.take_over()
        try:
            await self._manage()
        finally:
            left = await self.state.handover.leave()
            self.state.log.note('Leaves the fleet.', handover_written=left)

    def take(self, report: PoolReport) -> None:
        """Take what a pool reports."""
        known = self.state.reports.get(report.service)
        if known is None or report.epoch >= known.epoch:
            self.state.reports[report.service] = report
            self.state.wake()

    def dump(self) -> Dump:
        """Return the VMs by pool and what is being done."""
        return {
            'epoch': self.state.term.epoch,
            'pools': {
                name: [vm.vm_id for vm in pool.vms]
                for name, pool in self.state.pools().items()
            },
            'busy': sorted(self.state.busy),
            'down': sorted(self.state.down),
        }

    async def _manage(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_vms)
            while True:
                changed = self.state.changed
                self._maintain(nursery)
                self._lend(nursery)
                await self._publish()
                with self.clock.move_on_after(LOOK_MS):
                    await changed.wait()

    async def _follow_vms(self) -> None:
        while True:
            asked_at = self.clock.now()
            vms = await self.state.provider.list_vms()
            if isinstance(vms, VmUnanswered):
                self.state.log.warning(
                    'The VMs are not listed.',
                    reason=vms.reason,
                )
            else:
                self.state.take_list(vms, asked_at)
            await self.clock.sleep(LIST_MS)

    def _open_maintenances(self) -> Iterator[Maintenance]:
        for number, maintenance in self.state.directory.maintenances.items():
            if self.published.get(number) is not JobState.completed:
                yield maintenance

    def _maintain(self, nursery: trio.Nursery) -> None:
        for maintenance in self._open_maintenances():
            chosen = next_vms(
                self.state.maintenance_status(maintenance),
                self.state.vms,
                self.state.runs(),
                self.state.busy.keys() | self.state.handover.blocked(),
            )
            for vm_id in chosen:
                self.state.busy[vm_id] = self.state.vms[vm_id].pool
                nursery.start_soon(
                    maintain,
                    self.state,
                    self._vacate,
                    vm_id,
                    maintenance,
                )

    def _lend(self, nursery: trio.Nursery) -> None:
        pools = self.state.pools()
        reported = {
            name: pool
            for name, pool in pools.items()
            if pool.spare or name in self.state.reports
        }
        for vm_id, pool in self.balancer.propose_moves(
            reported, self.clock.now()
        ):
            if vm_id in self.state.busy or vm_id in self.state.down:
                continue
            if (vm_id, pool) not in self.state.impossible:
                self.state.busy[vm_id] = pool
                nursery.start_soon(
                    move,
                    self.state,
                    self._vacate,
                    vm_id,
                    pool,
                )

    async def _publish(self) -> None:
        for maintenance in tuple(self._open_maintenances()):
            status = self.state.maintenance_status(maintenance)
            complete = self.state.vms and is_complete(status, self.state.vms)
            state = JobState.completed if complete else JobState.running
            if self.published.get(maintenance.number) is state:
                continue
            told = await self.state.directory.publish_maintenance(
                maintenance.number,
                state,
            )
            if told:
                self.published[maintenance.number] = state

    async def _vacate(self, service: str, vm_id: str, wait: int) -> bool:
        """Let the scheduler of *service* empty a VM; return if it is empty."""
        catalog = self.state.directory.catalog
        known = catalog.services.get(service) if catalog else None
        if known and known.spare:
            return True
        reply = await self.ownership.call_owner(
            service,
            Vacate(service, vm_id, wait),
            wait + ANSWER_ALLOWANCE_MS,
        )
        return isinstance(reply, Vacated) and reply.empty
