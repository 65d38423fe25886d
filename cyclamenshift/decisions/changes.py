"""
cyclamenshift.decisions.changes
===============================

Builds the transaction that changes a VM, from the rows it depends on.
"""

from collections.abc import Mapping
from typing import NamedTuple

from ..model import VmState
from ..rows import (
    CHANGES_KEY,
    BudgetRow,
    ChangesRow,
    VmRow,
    budget_key,
    decode_row,
)
from ..store import Check, Row, Transaction, Write
from . import budget


class ReadSet(NamedTuple):
    """The rows whose versions the change of a VM is conditional on."""

    vm_id: str
    head: Row
    vm: Row
    budgets: Mapping[str, Row]


class PlannedChange(NamedTuple):
    """A change that may be committed, with the VM's row after it."""

    row: VmRow
    transaction: Transaction


def plan(
    read_set: ReadSet,
    state: VmState,
    target: str,
) -> PlannedChange | budget.Refused:
    """Return the change of the VM to *state*, or why it is refused."""
    before = decode_row(read_set.vm, VmRow)
    row = budget.next_row(before, state, target)
    if isinstance(row, budget.Refused):
        return row
    current = {
        service: decode_row(budget_row, BudgetRow)
        for service, budget_row in read_set.budgets.items()
    }
    updated = budget.apply_change(current, before, row)
    if isinstance(updated, budget.Refused):
        return updated
    return PlannedChange(row, _build_transaction(read_set, row, updated))


def _build_transaction(
    read_set: ReadSet,
    row: VmRow,
    updated: Mapping[str, BudgetRow],
) -> Transaction:
    checks = [
        Check(read_set.head.key, read_set.head.version),
        Check(read_set.vm.key, read_set.vm.version),
    ]
    writes = [
        Write(read_set.vm.key, row),
        Write(CHANGES_KEY, ChangesRow(vms=[read_set.vm_id])),
    ]
    for service, budget_row in updated.items():
        key = budget_key(service)
        checks.append(Check(key, read_set.budgets[service].version))
        writes.append(Write(key, budget_row))
    return Transaction(tuple(checks), tuple(writes))
