"""
cyclamenshift.decisions.acceptance
==================================

Decides whether a new configuration may replace the active one.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..fleet import Fleet
from ..model import VmState
from ..rows import BudgetRow, HeadRow, VmRow
from .budget import Refused, floor_of, serving

#: The states in which a VM may be removed from the configuration.
REMOVABLE_STATES = frozenset((VmState.drained, VmState.lost))


class FleetRows(NamedTuple):
    """The rows that a change of configuration may modify."""

    head: HeadRow | None
    vms: Mapping[str, VmRow]
    budgets: Mapping[str, BudgetRow]


class Accepted(NamedTuple):
    """The rows after the change; a row that is absent here is deleted."""

    vms: dict[str, VmRow]
    budgets: dict[str, BudgetRow]


def accept(
    rows: FleetRows,
    fleet: Fleet,
    base: int,
) -> Accepted | Refused:
    """
    Return the rows under *fleet*, an edit of configuration number *base*.

    It is refused if the active configuration is not *base*, if a VM that
    is still in use or the pool of a VM would be removed, or if a service
    would fall below its floor.
    """
    number = rows.head['number'] if rows.head else 0
    if rows.head and number != base:
        return Refused(
            f'Configuration {number} by {rows.head["operator"]} is in force; '
            f'this change was made against {base}.',
            'Look at "cyclamenshift config diff", then apply again.',
        )
    vms = _next_vms(rows.vms, fleet)
    if isinstance(vms, Refused):
        return vms
    budgets = _next_budgets(vms.values(), fleet)
    return _check_floors(rows.budgets, budgets) or Accepted(vms, budgets)


def _next_vms(
    current: Mapping[str, VmRow],
    fleet: Fleet,
) -> dict[str, VmRow] | Refused:
    for vm_id, row in current.items():
        if vm_id in fleet['vms']:
            if row['pool'] in fleet['pools']:
                continue
            problem = f'The VM {vm_id} is in the pool {row["pool"]}.'
            return Refused(problem, 'Move it before the pool is removed.')
        if row['state'] not in REMOVABLE_STATES:
            problem = f'The VM {vm_id} is still {row["state"]}.'
            return Refused(problem, 'Drain it before it is removed.')
    return {
        vm_id: current.get(vm_id) or _new_vm(vm['pool'])
        for vm_id, vm in fleet['vms'].items()
    }


def _new_vm(pool: str) -> VmRow:
    return VmRow(pool=pool, state=VmState.serving, epoch=1, target='')


def _next_budgets(
    vms: Iterable[VmRow],
    fleet: Fleet,
) -> dict[str, BudgetRow]:
    members: Counter[str] = Counter()
    unavailable: Counter[str] = Counter()
    for vm in vms:
        members[vm['pool']] += 1
        unavailable[vm['pool']] += vm['state'] is not VmState.serving
    configured = Counter(vm['pool'] for vm in fleet['vms'].values())
    return {
        name: BudgetRow(
            pool=service['pool'],
            members=members[service['pool']],
            unavailable=unavailable[service['pool']],
            floor=floor_of(
                configured[service['pool']], service['availability']
            ),
        )
        for name, service in fleet['services'].items()
    }


def _check_floors(
    before: Mapping[str, BudgetRow],
    after: Mapping[str, BudgetRow],
) -> Refused | None:
    for service, budget in after.items():
        if before.get(service) == budget:
            continue
        if serving(budget) < budget['floor']:
            return Refused(
                f'{service} would have {serving(budget)} serving VMs; '
                f'its floor would be {budget["floor"]}.',
                'Lower its availability, or bring VMs back first.',
            )
    return None
