"""
tests.test_budget
=================

Pool membership and availability budgets under concurrent changes.
"""

import os

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from cyclamenshift.decisions import budget, changes
from cyclamenshift.model import VmState
from cyclamenshift.rows import (
    CHANGES_KEY,
    HEAD_KEY,
    BudgetRow,
    VmRow,
    budget_key,
    decode_row,
    vm_key,
)
from cyclamenshift.store import Committed, Transaction, Write
from cyclamenshift.table import Table

from .builders import budget_row, vm_row

SERVICES = ('desk', 'spare')
VM_IDS = tuple(f'{pool}-{number}' for pool in SERVICES for number in range(4))

#: CI runs fixed examples; BUDGET_EXAMPLES=5000 gives a longer run.
EXAMPLES = int(os.environ.get('BUDGET_EXAMPLES', '200'))

vm_ids = strategies.sampled_from(VM_IDS)
states = strategies.sampled_from(VmState)
targets = strategies.sampled_from(('', *SERVICES))


class RacingChanges(RuleBasedStateMachine):
    """
    Several actors change VMs based on rows that may have become stale.

    A stale read set models a holder that was paused beyond its lease; a
    change that is committed twice models a lost answer.
    """

    read_sets = Bundle('read_sets')

    def __init__(self) -> None:
        """Start with two pools of four serving VMs, and floors of three."""
        super().__init__()
        self.table = Table()
        writes = [Write(HEAD_KEY, {}), Write(CHANGES_KEY, {'vms': []})]
        writes += [
            Write(vm_key(vm_id), vm_row(pool=vm_id.split('-')[0]))
            for vm_id in VM_IDS
        ]
        writes += [
            Write(budget_key(service), budget_row(pool=service))
            for service in SERVICES
        ]
        self.table.commit(Transaction((), tuple(writes)))

    @rule(target=read_sets, vm_id=vm_ids)
    def read(self, vm_id: str) -> changes.ReadSet:
        """Read the rows that a change of a VM depends on."""
        keys = [HEAD_KEY, vm_key(vm_id), *map(budget_key, SERVICES)]
        head, vm, *budgets = self.table.read(keys)
        by_service = dict(zip(SERVICES, budgets, strict=True))
        return changes.ReadSet(vm_id, head, vm, by_service)

    @rule(read_set=read_sets, state=states, pool=targets)
    def change(
        self, read_set: changes.ReadSet, state: VmState, pool: str
    ) -> None:
        """Commit a change twice, planned on rows that may be stale."""
        before = self._serving()
        planned = changes.plan(read_set, state, pool)
        if isinstance(planned, budget.Refused):
            return
        first = self.table.commit(planned.transaction)
        assert not isinstance(
            self.table.commit(planned.transaction),
            Committed,
        )
        if isinstance(first, Committed) and state is not VmState.lost:
            self._check_floors(before)

    @rule()
    def reconfigure(self) -> None:
        """Write the head, so that all changes planned before fail."""
        self.table.commit(Transaction((), (Write(HEAD_KEY, {}),)))

    @invariant()
    def budgets_match_the_vm_rows(self) -> None:
        """Each budget equals the counts of the VM rows."""
        rows = [self._vm(vm_id) for vm_id in VM_IDS]
        for service in SERVICES:
            members = [row for row in rows if row['pool'] == service]
            serving = [
                row for row in members if row['state'] is VmState.serving
            ]
            counted = self._budget(service)
            assert counted['members'] == len(members)
            assert budget.serving(counted) == len(serving)

    def _check_floors(self, before: dict[str, int]) -> None:
        for service, serving in self._serving().items():
            floor = self._budget(service)['floor']
            assert serving >= min(floor, before[service])

    def _serving(self) -> dict[str, int]:
        return {
            service: budget.serving(self._budget(service))
            for service in SERVICES
        }

    def _vm(self, vm_id: str) -> VmRow:
        return decode_row(self.table.read([vm_key(vm_id)])[0], VmRow)

    def _budget(self, service: str) -> BudgetRow:
        return decode_row(self.table.read([budget_key(service)])[0], BudgetRow)


RacingChanges.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
TestRacingChanges = RacingChanges.TestCase


def test_floor_is_rounded_up() -> None:
    """A share that is not a whole number of VMs is rounded up."""
    assert budget.floor_of(8, 90) == 8
    assert budget.floor_of(8, 75) == 6
    assert budget.floor_of(6, 80) == 5
    assert budget.floor_of(0, 80) == 0
