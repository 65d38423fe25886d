"""
tests.test_account_failures
===========================

The limits of accounts after failures that coincide with other changes.
"""

from typing import Final

from cyclamenshift.decisions.accounts.allotments import (
    AccountDemand,
    Allotments,
    ReportOwner,
)
from cyclamenshift.decisions.accounts.limits import LimitLedger
from cyclamenshift.directory import Catalog
from cyclamenshift.job import NO_RESOURCES, Resources

from .builders import account, catalog

NAME: Final = 'account-1'
SERVICES: Final = ('desk', 'billing')


def cpu(amount: int) -> Resources:
    """Return resources of *amount* millicores and nothing else."""
    return Resources(amount, 0)


def accounts_of(limit: int, version: int = 1) -> Catalog:
    """Return a catalog with one account."""
    accounts = {NAME: account(NAME, limit=cpu(limit))}
    return catalog(version=version, accounts=accounts)


def test_new_ledger_does_not_renew_allotments_of_an_earlier_limit() -> None:
    """
    Two services each had the whole of a reduced limit.

    Its owner changed at the same time, and the new ledger answered the first
    service by the new version before it knew what the second one had.
    """
    allotments = Allotments()
    owner = ReportOwner('desk', 1)
    demand = {NAME: AccountDemand(NO_RESOURCES, cpu(50_000), 0)}
    first = allotments.report(owner, 1, demand)
    assert allotments.apply(
        LimitLedger(1).apply(first, accounts_of(90_000), ('desk',))
    )
    second = allotments.report(owner, 1, demand)
    ledger = LimitLedger(2)
    answer = ledger.apply(second, accounts_of(40_000, 2), SERVICES)
    assert allotments.apply(answer)
    assert allotments.allowed(NAME, 1) == cpu(40_000)
    assert allotments.allowed(NAME, 2) == NO_RESOURCES
