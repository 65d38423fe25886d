"""
cyclamenshift.decisions.budget
==============================

Checks changes of a VM's state or pool against the services' budgets.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..model import VmState
from ..rows import BudgetRow, VmRow

#: The states from which a VM may enter each state.
SOURCE_STATES: Mapping[VmState, frozenset[VmState]] = {
    VmState.leaving: frozenset((VmState.serving,)),
    VmState.drained: frozenset((VmState.leaving, VmState.lost)),
    VmState.serving: frozenset((VmState.leaving, VmState.drained)),
    VmState.lost: frozenset((VmState.serving, VmState.leaving)),
}

#: The states that only a failure causes; budgets do not apply to them.
UNPLANNED_STATES = frozenset((VmState.lost,))


class Refused(NamedTuple):
    """A change that is not allowed now, with the reason and a remedy."""

    reason: str
    remedy: str


Budgets: TypeAlias = Mapping[str, BudgetRow]


def next_row(row: VmRow, state: VmState, target: str) -> VmRow | Refused:
    """
    Return *row* after a transition to *state*.

    A VM that returns to serving joins the pool in *target*, if any.
    """
    if row['state'] not in SOURCE_STATES[state]:
        return Refused(
            f'The VM is {row["state"]} and can not become {state}.',
            'Look at its state with "cyclamenshift vms" first.',
        )
    pool = row['pool']
    if state is VmState.serving and target:
        pool = target
        target = ''
    return VmRow(
        pool=pool,
        state=state,
        epoch=row['epoch'] + 1,
        target=target,
    )


def apply_change(
    budgets: Budgets,
    before: VmRow,
    after: VmRow,
) -> dict[str, BudgetRow] | Refused:
    """
    Return the budgets that a change of a VM modifies, by service.

    A planned change is refused if it takes a service below its floor.
    """
    changed: dict[str, BudgetRow] = {}
    for service, budget in budgets.items():
        updated = _adjust(_adjust(budget, before, -1), after, 1)
        if updated == budget:
            continue
        if after['state'] not in UNPLANNED_STATES and _breaks_floor(
            budget, updated
        ):
            return Refused(
                f'{service} would keep {serving(updated)} serving VMs; '
                f'its floor is {budget["floor"]}.',
                'Wait until another VM of its pool is back, or lend one.',
            )
        changed[service] = updated
    return changed


def serving(budget: BudgetRow) -> int:
    """Return the number of serving VMs under *budget*."""
    return budget['members'] - budget['unavailable']


def floor_of(members: int, availability: int) -> int:
    """Return the least number of serving VMs; *availability* is per cent."""
    return -(-members * availability // 100)


def _breaks_floor(budget: BudgetRow, updated: BudgetRow) -> bool:
    decreases = serving(updated) < serving(budget)
    return decreases and serving(updated) < budget['floor']


def _adjust(budget: BudgetRow, vm: VmRow, sign: int) -> BudgetRow:
    if vm['pool'] != budget['pool']:
        return budget
    is_unavailable = vm['state'] is not VmState.serving
    return BudgetRow(
        pool=budget['pool'],
        members=budget['members'] + sign,
        unavailable=budget['unavailable'] + sign * is_unavailable,
        floor=budget['floor'],
    )
