"""
cyclamenshift.managing.manager
==============================

Moves VMs between pools and has them maintained, for the whole fleet.
"""

from collections.abc import Iterator
from typing import Final

import trio

from ..component import Dump, Host
from ..controls.ownership import Ownership
from ..decisions.lending import PoolBalancer
from ..decisions.maintenance import is_complete, next_vms
from ..decisions.overload.reallocation import Reallocator
from ..directory import Maintenance
from ..duty import OwnershipTerm
from ..fleetmessages import RESERVATION_MS, PoolReport, Vacate, Vacated
from ..job import JobState
from ..provider import VmUnanswered
from .orders import ORDER_MS, maintain, move
from .state import FleetState

#: How often the VMs are listed, ms.
VM_LIST_INTERVAL_MS: Final = 700
#: The longest time between two passes over the pools, ms.
MAX_WAIT_MS: Final = 200
#: How long the reply to a vacate call may be in transit, ms.
REPLY_TRANSIT_MS: Final = 200
#: The same for the renewal of a reservation, which is answered at once, ms.
#: It is of use as long as the reservation covers an order after that.
RENEWAL_TIMEOUT_MS: Final = RESERVATION_MS - ORDER_MS


class FleetManager:
    """Moves and maintains VMs under one ownership term."""

    def __init__(self, kernel: Host, term: OwnershipTerm) -> None:
        """Create a manager that has not listed the VMs yet."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.state = FleetState(kernel, term)
        overload = kernel.settings['overload']
        self.balancer = (
            Reallocator() if overload['pool_reallocation'] else PoolBalancer()
        )
        self.ownership = kernel.get(Ownership)
        self.published: dict[int, JobState] = {}

    async def run(self) -> None:
        """Wait until VMs may be ordered, then manage them until cancelled."""
        await self.state.maintenance_log.load()
        await self.state.handover.wait_until_clear()
        try:
            await self._manage()
        finally:
            written = await self.state.handover.write()
            self.state.log.note(
                'Fleet manager stopped.', handover_written=written
            )

    def receive_report(self, report: PoolReport) -> None:
        """Store the report of a pool unless it is from an older scheduler."""
        known = self.state.reports.get(report.service)
        if known is None or report.epoch >= known.epoch:
            self.state.reports[report.service] = report
            self.state.wake()

    def dump(self) -> Dump:
        """Return the VMs by pool, and those being ordered or maintained."""
        return {
            'epoch': self.state.term.epoch,
            'pools': {
                name: [vm.vm_id for vm in pool.vms]
                for name, pool in self.state.pools().items()
            },
            'busy': sorted(self.state.changes.busy),
            'down': sorted(self.state.changes.down),
        }

    async def _manage(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_vms)
            while True:
                changed = self.state.changed
                if self.state.provider_answers:
                    self._maintain(nursery)
                    self._move_vms(nursery)
                await self._publish()
                with self.clock.move_on_after(MAX_WAIT_MS):
                    await changed.wait()

    async def _poll_vms(self) -> None:
        while True:
            sent_at = self.clock.now()
            vms = await self.state.provider.list_vms()
            answered = not isinstance(vms, VmUnanswered)
            self.state.provider_answers = answered
            if isinstance(vms, VmUnanswered):
                self.state.log.warning(
                    'Failed to list the VMs.',
                    reason=vms.reason,
                )
            else:
                self.state.update_vms(vms, sent_at)
            await self.clock.sleep(VM_LIST_INTERVAL_MS)

    def _open_maintenances(self) -> Iterator[Maintenance]:
        for number, maintenance in self.state.directory.maintenances.items():
            if self.published.get(number) is not JobState.completed:
                yield maintenance

    def _maintain(self, nursery: trio.Nursery) -> None:
        for maintenance in self._open_maintenances():
            chosen = next_vms(
                self.state.maintenance_status(maintenance),
                self.state.vms,
                self.state.run_counts(),
                self.state.unavailable(),
            )
            for vm_id in chosen:
                vm = self.state.vms[vm_id]
                self.state.changes.begin(vm_id, vm.pool)
                nursery.start_soon(
                    maintain,
                    self.state,
                    self._vacate,
                    vm,
                    maintenance,
                )

    def _move_vms(self, nursery: trio.Nursery) -> None:
        pools = self.state.pools()
        reported = {
            name: pool
            for name, pool in pools.items()
            if pool.spare or name in self.state.reports
        }
        for vm_id, pool in self.balancer.propose_moves(
            reported, self.clock.now()
        ):
            if (vm_id, pool) not in self.state.changes.impossible:
                self.state.changes.begin(vm_id, pool)
                nursery.start_soon(
                    move,
                    self.state,
                    self._vacate,
                    self.state.vms[vm_id],
                    pool,
                )

    async def _publish(self) -> None:
        for maintenance in tuple(self._open_maintenances()):
            status = self.state.maintenance_status(maintenance)
            complete = self.state.vms and is_complete(status, self.state.vms)
            state = JobState.completed if complete else JobState.running
            if self.published.get(maintenance.number) is state:
                continue
            is_published = await self.state.directory.publish_maintenance(
                maintenance.number,
                state,
            )
            if is_published:
                self.published[maintenance.number] = state

    async def _vacate(self, service: str, vm_id: str, wait: int) -> bool:
        """Have *service* vacate a VM; return whether the VM is empty."""
        catalog = self.state.directory.catalog
        known = catalog.services.get(service) if catalog else None
        if known and known.spare:
            return True
        reply = await self.ownership.call_owner(
            service,
            Vacate(service, vm_id, wait),
            max(wait + REPLY_TRANSIT_MS, RENEWAL_TIMEOUT_MS),
        )
        return isinstance(reply, Vacated) and reply.empty
