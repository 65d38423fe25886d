"""
cyclamenshift.controls.pools
============================

Drains VMs and moves them between pools, within the disruption budgets.

An operator's change only marks the VM as leaving, with its target pool.  Any
entry VM may complete the change: each step is a conditional transaction and
therefore idempotent.
"""

from typing import ClassVar, NamedTuple

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions import budget, changes
from ..decisions.membership import live_members, owner_of
from ..endpoint import Endpoint
from ..model import VmState
from ..peer import Peer
from ..plugin import register
from ..rows import (
    HEAD_KEY,
    HeadRow,
    VmRow,
    budget_key,
    decode_row,
    vm_key,
)
from ..store import (
    ABSENT,
    Committed,
    Conflict,
    Rejected,
    Store,
    Unavailable,
    Uncertain,
)
from .configuration import STORE_DOWN, Configuration
from .membership import Membership

#: How often a change that conflicts with another one is attempted.
CHANGE_ATTEMPT_LIMIT = 8
#: The time after which no entry VM sends requests to a leaving VM, ms.
LEAVE_PROPAGATION_MS = 3_000
#: The interval at which leaving VMs and lost results are polled, ms.
LEAVE_POLL_MS = 500

RESULT_UNKNOWN = budget.Refused(
    'The answer of the store was lost; the VM may be changed.',
    'Look at the VM with "cyclamenshift vms" before you try again.',
)


class VmChanged(NamedTuple):
    """A change was applied; ``row`` is the new row of the VM."""

    vm_id: str
    row: VmRow


@register
class PoolOperations(Control):
    """Changes the states of VMs, and completes the changes of leaving VMs."""

    name = 'pools'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 5

    def __init__(self, kernel: Host) -> None:
        """Start with no leaving VM."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.endpoint = kernel.get(Endpoint)
        self.peer = kernel.get(Peer)
        self.configuration = kernel.get(Configuration)
        self.membership = kernel.get(Membership)
        self.leaving_since: dict[tuple[str, int], int] = {}

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Complete the changes of the leaving VMs owned by this entry VM."""
        task_status.started()
        while True:
            await self.clock.sleep(LEAVE_POLL_MS)
            for vm_id in self._vms_to_finish():
                await self._finish_leaving(vm_id)

    async def drain_vm(self, vm_id: str) -> VmChanged | budget.Refused:
        """Drain a VM; it leaves its pool and stays drained."""
        return await self.change(vm_id, VmState.leaving, '')

    async def move(self, vm_id: str, target: str) -> VmChanged | budget.Refused:
        """Drain a VM, and add it to the pool *target* when it is idle."""
        active_config = self.configuration.active_config
        pools = active_config.fleet['pools'] if active_config else {}
        if target not in pools:
            known = ', '.join(sorted(pools))
            return budget.Refused(
                f'There is no pool {target!r}.',
                f'Use one of: {known}.',
            )
        return await self.change(vm_id, VmState.leaving, target)

    async def return_to_service(self, vm_id: str) -> VmChanged | budget.Refused:
        """Return a drained VM to service in its pool."""
        return await self.change(vm_id, VmState.serving, '')

    async def change(
        self,
        vm_id: str,
        state: VmState,
        target: str,
    ) -> VmChanged | budget.Refused:
        """
        Change the row of a VM and the affected budgets in one transaction.

        After a conflict or a lost answer the change is planned again on the
        new rows, which show whether an earlier transaction was applied.
        """
        uncertain: list[VmRow] = []
        attempts = 0
        while attempts < CHANGE_ATTEMPT_LIMIT:
            attempts += 1
            result = await self._attempt(vm_id, state, target, uncertain)
            if isinstance(result, VmChanged):
                await self.configuration.refresh()
                return result
            if result == STORE_DOWN and uncertain:
                await self.clock.sleep(LEAVE_POLL_MS)
            elif isinstance(result, budget.Refused):
                return result
        if uncertain:
            return RESULT_UNKNOWN
        return budget.Refused(
            f'Other changes kept coming before that of {vm_id}.',
            'Try again.',
        )

    def dump(self) -> Dump:
        """Return how long each leaving VM has been observed, ms."""
        now = self.clock.now()
        return {
            vm_id: now - since
            for (vm_id, _epoch), since in self.leaving_since.items()
        }

    async def _read(self, vm_id: str) -> changes.ReadSet | budget.Refused:
        active_config = self.configuration.active_config
        services = (
            sorted(active_config.fleet['services']) if active_config else []
        )
        keys = [HEAD_KEY, vm_key(vm_id), *map(budget_key, services)]
        rows = await self.store.read(keys)
        if isinstance(rows, Unavailable):
            return STORE_DOWN
        head, vm, *budgets = rows
        if vm.version == ABSENT:
            return budget.Refused(
                f'There is no VM {vm_id!r}.',
                'Look at "cyclamenshift vms" for those there are.',
            )
        if decode_row(head, HeadRow)['number'] != self.configuration.number:
            await self.configuration.refresh()
            return await self._read(vm_id)
        by_service = dict(zip(services, budgets, strict=True))
        return changes.ReadSet(vm_id, head, vm, by_service)

    async def _attempt(
        self,
        vm_id: str,
        state: VmState,
        target: str,
        uncertain: list[VmRow],
    ) -> VmChanged | budget.Refused | Conflict | Uncertain:
        """
        Plan and commit the change once.

        *uncertain* has the rows of the transactions that may have been
        applied.  They include the epoch, so the row of the VM shows it.
        """
        read_set = await self._read(vm_id)
        if isinstance(read_set, budget.Refused):
            return read_set
        current = decode_row(read_set.vm, VmRow)
        if current in uncertain:
            return VmChanged(vm_id, current)
        planned = changes.plan(read_set, state, target)
        if isinstance(planned, budget.Refused):
            return planned
        result = await self.store.commit(planned.transaction)
        if isinstance(result, Committed):
            self.log.note('VM state changed.', vm=vm_id, **planned.row)
            return VmChanged(vm_id, planned.row)
        if isinstance(result, Uncertain):
            uncertain.append(planned.row)
            await self.clock.sleep(LEAVE_POLL_MS)
        return (
            STORE_DOWN if isinstance(result, Rejected | Unavailable) else result
        )

    def _vms_to_finish(self) -> list[str]:
        members = live_members(
            self.membership.registered,
            self.peer.reachable(),
            self.membership.own,
        )
        return [
            vm.vm_id
            for vm in self.configuration.vms.values()
            if vm.state is VmState.leaving
            and owner_of(vm, members) == self.membership.own.entry_id
        ]

    async def _finish_leaving(self, vm_id: str) -> None:
        vm = self.configuration.vms[vm_id]
        since = self.leaving_since.setdefault(
            (vm_id, vm.epoch),
            self.clock.now(),
        )
        if self.clock.now() - since < LEAVE_PROPAGATION_MS:
            return
        running_requests = await self.endpoint.count_running(vm)
        if running_requests != 0:
            return
        target = self.configuration.vm_rows[vm_id]['target']
        next_state = VmState.serving if target else VmState.drained
        result = await self.change(vm_id, next_state, target)
        if isinstance(result, VmChanged):
            self.leaving_since.pop((vm_id, vm.epoch), None)
        else:
            self.log.warning(
                'Failed to complete the change of a leaving VM.',
                vm=vm_id,
                reason=result.reason,
            )
