"""
cyclamenshift.decisions.accounts.usage
======================================

Sums up the resources that the runs of each account have.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from ...directory import Account
from ...job import NO_RESOURCES, Resources
from ..progress import Task

#: Stands for a resource without a limit; more than any fleet has, and within
#: the integers that all encodings of messages hold.
UNLIMITED: Final = 9_007_199_254_740_991


class AccountUsages:
    """
    The resources of the tracked runs of one service, by account.

    A run counts from when it is planned, before it is recorded, until it is
    proved to be over.  Best-effort tasks count in full.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.used: dict[str, Resources] = {}

    def add(self, task: Task) -> None:
        """Count a run of *task*."""
        account = task.job.job.account
        if account:
            self.used[account] = self.of(account).plus(task.step.resources)

    def remove(self, task: Task) -> None:
        """Count a run of *task* no longer."""
        account = task.job.job.account
        if not account:
            return
        remaining = self.of(account).minus(task.step.resources)
        if remaining == NO_RESOURCES:
            self.used.pop(account)
        else:
            self.used[account] = remaining

    def of(self, account: str) -> Resources:
        """Return what the runs of *account* have."""
        return self.used.get(account, NO_RESOURCES)


def resources_by_account(tasks: Iterable[Task]) -> dict[str, Resources]:
    """Return the sum of the resources of *tasks* by account."""
    sums: dict[str, Resources] = {}
    for task in tasks:
        account = task.job.job.account
        if account:
            earlier = sums.get(account, NO_RESOURCES)
            sums[account] = earlier.plus(task.step.resources)
    return sums


def effective_limit(limit: Resources) -> Resources:
    """Return *limit* with ``UNLIMITED`` for the resources without one."""
    return Resources(*(amount or UNLIMITED for amount in limit))


def limited(accounts: Mapping[str, Account]) -> dict[str, Resources]:
    """Return the limits of the accounts that have one, by name."""
    return {
        name: effective_limit(account.limit)
        for name, account in accounts.items()
        if any(account.limit)
    }


def smaller_of(one: Resources, other: Resources) -> Resources:
    """Return the smaller amount of each resource."""
    return Resources(*map(min, one, other))


def larger_of(one: Resources, other: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(*map(max, one, other))
