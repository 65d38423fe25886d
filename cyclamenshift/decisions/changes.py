"""
cyclamenshift.decisions.changes
===============================

The one transaction that changes a VM, on the rows that were read for it.
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
    """The rows that a change of one VM conditions on."""

    vm_id: str
    head: Row
    vm: Row
    budgets: Mapping[str, Row]


class PlannedChange(NamedTuple):
    """A change that may be committed, and the VM's row after it."""

    row: VmRow
    transaction: Transaction


def plan(
    read_set: ReadSet,
    state: VmState,
    target: str,
) -> PlannedChange | budget.Refused:
    """Return the change of the VM to *state*, or why it may not be."""
    before = decode_row(read_set.vm, VmRow)
    row = budget.next_row(before, state, target)
    if isinstance(row, budget.Refused):
        return row
    present = {
        service: decode_row(budget_row, BudgetRow)
        for service, budget_row in read_set.budgets.items()
    }
    moved = budget.charge(present, before, row)
    if isinstance(moved, budget.Refused):
        return moved
    return PlannedChange(row, _transaction(read_set, row, moved))


def _transaction(
    read_set: ReadSet,
    row: VmRow,
    moved: Mapping[str, BudgetRow],
) -> Transaction:
    checks = [
        Check(read_set.head.key, read_set.head.version),
        Check(read_set.vm.key, read_set.vm.version),
    ]
    writes = [
        Write(read_set.vm.key, row),
        Write(CHANGES_KEY, ChangesRow(vms=[read_set.vm_id])),
    ]
    for service, budget_row in moved.items():
        key = budget_key(service)
        checks.append(Check(key, read_set.budgets[service].version))
        writes.append(Write(key, budget_row))
    return Transaction(tuple(checks), tuple(writes))
