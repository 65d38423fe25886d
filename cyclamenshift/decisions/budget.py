"""
cyclamenshift.decisions.budget
==============================

Whether a VM may change its state or pool under the services' budgets.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..model import VmState
from ..rows import BudgetRow, VmRow

#: The states from which a VM may go to each state.
ALLOWED: Mapping[VmState, frozenset[VmState]] = {
    VmState.leaving: frozenset((VmState.serving,)),
    VmState.drained: frozenset((VmState.leaving, VmState.lost)),
    VmState.serving: frozenset((VmState.leaving, VmState.drained)),
    VmState.lost: frozenset((VmState.serving, VmState.leaving)),
}

#: The states that only a failure brings about; no budget refuses them.
UNPLANNED = frozenset((VmState.lost,))


class Refused(NamedTuple):
    """The change is not allowed now; the reason and the remedy."""

    reason: str
    remedy: str


Budgets: TypeAlias = Mapping[str, BudgetRow]


def next_row(row: VmRow, state: VmState, target: str) -> VmRow | Refused:
    """
    Return *row* after a change to *state*.

    A VM that goes back to serving joins the pool in *target*, if any.
    """
    if row['state'] not in ALLOWED[state]:
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


def charge(
    budgets: Budgets,
    before: VmRow,
    after: VmRow,
) -> dict[str, BudgetRow] | Refused:
    """
    Return the budgets that a VM's change moves, by service.

    Refused when a planned change would take a service below its floor.
    """
    changed: dict[str, BudgetRow] = {}
    for service, budget in budgets.items():
        moved = _apply(_apply(budget, before, -1), after, 1)
        if moved == budget:
            continue
        if after['state'] not in UNPLANNED and _gets_worse(budget, moved):
            return Refused(
                f'{service} would keep {serving(moved)} serving VMs; '
                f'its floor is {budget["floor"]}.',
                'Wait until another VM of its pool is back, or lend one.',
            )
        changed[service] = moved
    return changed


def serving(budget: BudgetRow) -> int:
    """Return how many VMs serve under *budget*."""
    return budget['members'] - budget['unavailable']


def floor_of(members: int, availability: int) -> int:
    """Return the least number serving, *availability* in per cent."""
    return -(-members * availability // 100)


def _gets_worse(budget: BudgetRow, moved: BudgetRow) -> bool:
    falls = serving(moved) < serving(budget)
    return falls and serving(moved) < budget['floor']


def _apply(budget: BudgetRow, vm: VmRow, sign: int) -> BudgetRow:
    if vm['pool'] != budget['pool']:
        return budget
    missing = vm['state'] is not VmState.serving
    return BudgetRow(
        pool=budget['pool'],
        members=budget['members'] + sign,
        unavailable=budget['unavailable'] + sign * missing,
        floor=budget['floor'],
    )
