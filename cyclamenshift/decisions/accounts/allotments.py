"""
cyclamenshift.decisions.accounts.allotments
===========================================

Keeps a scheduler within what it may have in use for each account.
"""

from collections.abc import Container, Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from ...accountmessages import (
    EARLIER_VERSION,
    AccountUsage,
    Allotment,
    AllottedAmount,
    UsageReport,
)
from ...job import NO_RESOURCES, Resources
from ..progress import Task
from .usage import larger_of, smaller_of

#: The part of what an account has in use that is asked for in advance, so
#: that its next tasks need not wait for an answer.
ADVANCE_DIVISOR: Final = 4
#: How long an allotment is held of which nothing starts, ms: short tasks end
#: within that time, so that their room adds up to what a larger one needs.
MAX_HOLD_MS: Final = 2_000
#: For how long it is then left to other services, ms: for two of their reports.
RELEASE_MS: Final = 200


class ReportOwner(NamedTuple):
    """The service that a scheduler reports for, and the epoch of its term."""

    service: str
    epoch: int


class StartBudget:
    """
    What may start in one scheduling pass, by account.

    ``remaining`` has the resources that are left for the accounts with a
    limit, ``needed`` what the largest task, or gang, of an account asks for
    that could not start.  ``started`` are the accounts of which a task starts.
    """

    def __init__(self, remaining: dict[str, Resources]) -> None:
        """Start with *remaining* resources for each account with a limit."""
        self.remaining = remaining
        self.needed: dict[str, Resources] = {}
        self.started: set[str] = set()

    def select(self, tasks: Iterable[Task]) -> Iterator[Task]:
        """Yield those of *tasks* that may start once they are asked for."""
        for task in tasks:
            if self.allows(task):
                yield task

    def allows(self, task: Task) -> bool:
        """Return whether *task*, or the whole gang of it, may start."""
        account = task.job.job.account
        if account not in self.remaining:
            return True
        count = task.step.tasks if task.step.gang else 1
        needed = task.step.resources.times(count)
        if self.remaining[account].can_fit(needed):
            return True
        known = self.needed.get(account, NO_RESOURCES)
        self.needed[account] = larger_of(known, needed)
        return False

    def spend(self, placed: Iterable[Task]) -> None:
        """Count the runs of *placed* tasks, which are about to start."""
        for task in placed:
            account = task.job.job.account
            left = self.remaining.get(account)
            if left is not None:
                self.remaining[account] = left.minus(task.step.resources)
                self.started.add(account)


#: The budget where no account has a limit.
NO_LIMITS: Final = StartBudget({})


class Allotments:
    """
    The amounts that the ledger has allotted to one scheduler.

    ``number`` is that of the last report, ``epoch`` the highest of a ledger
    that has answered.  An amount is void once a configuration is active that
    is newer than the ``version`` by which it was computed: a limit may have
    been raised, given to other services, and reduced again since.
    """

    def __init__(self) -> None:
        """Start without any allotment."""
        self.number = 0
        self.epoch = 0
        self.version = 0
        self.amounts: dict[str, AllottedAmount] = {}

    def expect(self, epoch: int) -> None:
        """Drop later answers of ledgers before that of *epoch*."""
        self.epoch = max(self.epoch, epoch)

    def budget(
        self,
        limited_accounts: Iterable[str],
        version: int,
        used: Mapping[str, Resources],
    ) -> StartBudget:
        """Return what may start by *version* of the configuration."""
        return StartBudget(
            {
                account: self.allowed(account, version).minus(
                    used.get(account, NO_RESOURCES)
                )
                for account in limited_accounts
            }
        )

    def allowed(self, account: str, version: int) -> Resources:
        """Return how much may be in use for *account*."""
        allotted = self.amounts.get(account)
        if allotted is None or self.version < version:
            return NO_RESOURCES
        return allotted.amount

    def elsewhere(self, account: str) -> int:
        """Return how many jobs a second other services got."""
        allotted = self.amounts.get(account)
        return allotted.elsewhere if allotted else 0

    def report(
        self,
        owner: ReportOwner,
        version: int,
        demands: Mapping[str, 'AccountDemand'],
    ) -> UsageReport:
        """
        Return the next report, and keep to what it says until the answer.

        It gives back what is not needed by *demands* of the accounts.
        """
        self.number += 1
        rows = tuple(
            self._usage(account, self.allowed(account, version), demand)
            for account, demand in demands.items()
        )
        self.amounts = {
            row.account: AllottedAmount(
                row.account, row.kept, self.elsewhere(row.account)
            )
            for row in rows
        }
        return UsageReport(owner.service, owner.epoch, self.number, rows)

    def apply(self, allotment: Allotment) -> bool:
        """
        Take over the answer to the last report; return whether it was used.

        Answers to earlier reports, and those of a ledger that was superseded,
        count for nothing.
        """
        if allotment.number != self.number or allotment.epoch < self.epoch:
            return False
        self.epoch = allotment.epoch
        if allotment.version != EARLIER_VERSION:
            self.version = allotment.version
        self.amounts = {each.account: each for each in allotment.amounts}
        return True

    def _usage(
        self, account: str, allowed: Resources, demand: 'AccountDemand'
    ) -> AccountUsage:
        useful = demand.useful()
        kept = smaller_of(allowed, useful)
        in_use = larger_of(kept, demand.used)
        extra = larger_of(useful.minus(in_use), NO_RESOURCES)
        return AccountUsage(account, demand.used, kept, extra, demand.arrivals)


class Holds:
    """
    Since when accounts have had an allotment of which nothing starts.

    ``needed`` is what tasks ask for that could not start in the last pass.
    Each service could hold a part of a limit while the task, or the gang, that
    waits there needs more: then none of them would ever start it.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.since: dict[str, int] = {}
        self.needed: Mapping[str, Resources] = {}

    def update(self, budget: StartBudget, now: int) -> None:
        """Record which accounts lacked room in a pass that started nothing."""
        self.needed = budget.needed
        stuck = budget.needed.keys() - budget.started
        self.since = {name: self.since.get(name, now) for name in stuck}

    def must_release(self, account: str, now: int) -> bool:
        """Return whether an account is to ask for nothing for a moment."""
        held_for = now - self.since.get(account, now)
        return held_for % (MAX_HOLD_MS + RELEASE_MS) >= MAX_HOLD_MS


class AccountDemand(NamedTuple):
    """
    What the tasks of an account use and ask for at one service.

    ``waiting`` is what its tasks ask for that wait, ``arrivals`` how many of
    its jobs came in the last second.  ``releases`` is whether it is to ask for
    nothing beyond what it uses, for the sake of other services.
    """

    used: Resources
    waiting: Resources
    arrivals: int
    releases: bool = False

    def useful(self) -> Resources:
        """Return how much could be in use soon."""
        if self.releases:
            return self.used
        advance = Resources(*(each // ADVANCE_DIVISOR for each in self.used))
        return self.used.plus(self.waiting).plus(advance)


def has_grown(
    report: UsageReport, allotment: Allotment, limited_accounts: Container[str]
) -> bool:
    """Return whether *allotment* allows more than *report* has kept."""
    kept = {usage.account: usage.kept for usage in report.usages}
    return any(
        each.account in limited_accounts
        and not kept[each.account].can_fit(each.amount)
        for each in allotment.amounts
    )
