"""
tests.test_account_limits
=========================

What an account has running stays within its limit, over all services.
"""

import random
from typing import Final

import pytest

from cyclamenshift.accountmessages import Allotment, UsageReport
from cyclamenshift.decisions.accounts.allotments import (
    AccountDemand,
    Allotments,
    ReportOwner,
)
from cyclamenshift.decisions.accounts.limits import LimitLedger
from cyclamenshift.directory import Catalog
from cyclamenshift.job import NO_RESOURCES, Resources

from .builders import account, account_usage, catalog, usage_report

NAME: Final = 'account-1'
SERVICES: Final = ('desk', 'billing', 'portal')
STEPS: Final = 1_000
LIMITS: Final = (4_000, 20_000, 60_000, 0)
#: More than a script starts.
NO_LIMIT: Final = 10**9


def cpu(amount: int) -> Resources:
    """Return resources of *amount* millicores and nothing else."""
    return Resources(amount, 0)


def accounts_of(limit: int, version: int = 1) -> Catalog:
    """Return a catalog with one account."""
    accounts = {NAME: account(NAME, limit=cpu(limit))}
    return catalog(version=version, accounts=accounts)


class SimScheduler:
    """The scheduler of one service, with what the rows show as running."""

    def __init__(self, service: str) -> None:
        """Start without runs, with the first configuration."""
        self.owner = ReportOwner(service, 1)
        self.version = 1
        self.used = 0
        self.waiting = 0
        self.allotments = Allotments()

    def replace(self) -> None:
        """Let another process take the service over, with its rows."""
        self.owner = self.owner._replace(epoch=self.owner.epoch + 1)
        self.allotments = Allotments()

    def start(self, size: int) -> bool:
        """Start a task if the allotment allows it."""
        used = {NAME: cpu(self.used)}
        budget = self.allotments.budget([NAME], self.version, used)
        if budget.remaining[NAME].cpu < size:
            return False
        self.used += size
        return True

    def report(self, ledger_epoch: int) -> UsageReport:
        """Return the next report to the ledger of *ledger_epoch*."""
        self.allotments.expect(ledger_epoch)
        demand = AccountDemand(cpu(self.used), cpu(self.waiting), 0)
        return self.allotments.report(self.owner, self.version, {NAME: demand})


class SimFleet:
    """Schedulers and ledgers whose messages are lost, late or reordered."""

    def __init__(self, seed: int) -> None:
        """Draw all that happens from *seed*."""
        self.rng = random.Random(seed)
        self.limits = {1: self.rng.choice(LIMITS)}
        self.schedulers = [SimScheduler(each) for each in SERVICES]
        self.ledgers = [LimitLedger(1)]
        self.ledger_versions = {1: 1}
        self.reports: list[tuple[int, UsageReport]] = []
        self.answers: list[tuple[ReportOwner, Allotment]] = []
        self.started = 0

    def step(self) -> None:
        """Let one thing happen."""
        scheduler = self.rng.choice(self.schedulers)
        self.rng.choice(
            (
                self.start,
                self.start,
                self.end,
                self.send_report,
                self.deliver_report,
                self.deliver_report,
                self.deliver_answer,
                self.deliver_answer,
                self.adopt_version,
                self.disrupt,
            )
        )(scheduler)

    def start(self, scheduler: SimScheduler) -> None:
        """Start a task if it may; more of them wait in any case."""
        size = self.rng.choice((500, 1_000, 3_000))
        scheduler.waiting = self.rng.choice((0, size, 30_000))
        before = sum(each.used for each in self.schedulers)
        if scheduler.start(size):
            self.started += 1
            oldest = min(each.version for each in self.schedulers)
            in_force = [
                limit or NO_LIMIT
                for version, limit in self.limits.items()
                if version >= oldest
            ]
            assert before + size <= max(in_force)

    def end(self, scheduler: SimScheduler) -> None:
        """End some of the runs."""
        scheduler.used -= self.rng.randint(0, scheduler.used)

    def send_report(self, scheduler: SimScheduler) -> None:
        """Send a report; usually only once the one before is settled."""
        number = scheduler.allotments.number
        is_settled = all(
            report.number != number for _epoch, report in self.reports
        ) and all(answer.number != number for _owner, answer in self.answers)
        if not is_settled and self.rng.randrange(3):
            return
        ledger = self.rng.choice(self.ledgers[-2:])
        report = scheduler.report(ledger.epoch)
        self.reports.append((ledger.epoch, report))

    def deliver_report(self, scheduler: SimScheduler) -> None:
        """Deliver any of the reports under way, or lose it."""
        if not self.reports:
            return
        index = self.rng.randrange(len(self.reports))
        epoch, report = self.reports.pop(index)
        if not self.rng.randrange(10):
            return
        version = self.ledger_versions[epoch]
        answer = self.ledgers[epoch - 1].apply(
            report, accounts_of(self.limits[version], version), SERVICES
        )
        owner = ReportOwner(report.service, report.epoch)
        self.answers.append((owner, answer))

    def deliver_answer(self, scheduler: SimScheduler) -> None:
        """Deliver any of the answers under way, or lose it."""
        if not self.answers:
            return
        index = self.rng.randrange(len(self.answers))
        owner, answer = self.answers.pop(index)
        for each in self.schedulers:
            if each.owner == owner and self.rng.randrange(10):
                each.allotments.apply(answer)

    def adopt_version(self, scheduler: SimScheduler) -> None:
        """Let a scheduler, or a ledger, read the newest configuration."""
        newest = max(self.limits)
        if self.rng.randrange(2):
            scheduler.version = newest
        else:
            ledger = self.rng.choice(self.ledgers[-2:])
            self.ledger_versions[ledger.epoch] = newest

    def disrupt(self, scheduler: SimScheduler) -> None:
        """Change the limit, or replace a scheduler or the ledger."""
        kind = self.rng.randrange(20)
        if kind < 2:
            self.limits[max(self.limits) + 1] = self.rng.choice(LIMITS)
        elif kind == 2:
            scheduler.replace()
        elif kind == 3:
            epoch = len(self.ledgers) + 1
            self.ledgers.append(LimitLedger(epoch))
            self.ledger_versions[epoch] = max(self.limits)


@pytest.mark.parametrize('seed', range(60))
def test_starts_stay_within_the_limits_in_force(seed: int) -> None:
    """
    Two services together exceeded a limit that each of them observed.

    Owners are replaced, limits change, and messages are lost or late.  In seed
    41 of an earlier version, a limit was raised and reduced again unseen.
    """
    fleet = SimFleet(seed)
    for _step in range(STEPS):
        fleet.step()
    assert fleet.started


def test_limit_moves_to_where_the_demand_is() -> None:
    """A fixed division would leave most of the limit unused."""
    ledger = LimitLedger(1)
    wanted = account_usage(NAME, extra=cpu(9_000))
    services = ('desk', 'billing')
    limits = accounts_of(10_000)
    ledger.apply(usage_report(service='billing'), limits, services)
    first = ledger.apply(usage_report(wanted), limits, services)
    assert first.amounts[0].amount.cpu == 9_000
    report = usage_report(wanted, service='billing', number=2)
    second = ledger.apply(report, limits, services)
    assert second.amounts[0].amount.cpu == 1_000


def test_new_ledger_allots_nothing_before_each_service_has_reported() -> None:
    """It does not know yet what the others have in use."""
    ledger = LimitLedger(2)
    limits = accounts_of(10_000)
    wanted = account_usage(
        NAME, used=cpu(1_000), kept=cpu(1_000), extra=cpu(5_000)
    )
    services = ('desk', 'billing')
    answer = ledger.apply(usage_report(wanted), limits, services)
    assert answer.amounts[0].amount.cpu == 1_000
    ledger.apply(usage_report(service='billing'), limits, services)
    answer = ledger.apply(usage_report(wanted, number=2), limits, services)
    assert answer.amounts[0].amount.cpu == 6_000


def test_nothing_starts_while_more_runs_than_a_reduced_limit() -> None:
    """A run that ended was replaced although the total was above the limit."""
    ledger = LimitLedger(1)
    running = account_usage(NAME, used=cpu(40_000), kept=cpu(40_000))
    services = ('desk', 'billing')
    elsewhere = usage_report(running, service='billing')
    ledger.apply(elsewhere, accounts_of(90_000), services)
    ledger.apply(usage_report(running), accounts_of(90_000), services)
    answer = ledger.apply(
        usage_report(running, number=2), accounts_of(50_000), services
    )
    assert answer.amounts[0].amount.cpu == 10_000
    assert ledger.total(NAME).cpu == 80_000


def test_reduced_allotment_counts_in_full_until_it_is_reported() -> None:
    """What started while the answer was under way was given away as well."""
    ledger = LimitLedger(1)
    services = ('desk', 'billing')
    running = account_usage(NAME, used=cpu(40_000), kept=cpu(40_000))
    elsewhere = usage_report(running, service='billing')
    ledger.apply(elsewhere, accounts_of(90_000), services)
    keeping = account_usage(NAME, kept=cpu(40_000))
    ledger.apply(usage_report(keeping), accounts_of(50_000, 2), services)
    wanted = account_usage(NAME, extra=cpu(90_000))
    answer = ledger.apply(
        usage_report(wanted, service='billing', number=2),
        accounts_of(50_000, 2),
        services,
    )
    assert answer.amounts[0].amount.cpu == 10_000


def test_allotment_by_an_earlier_configuration_is_void() -> None:
    """A limit that was cut went on to allow what it had allowed before."""
    allotments = Allotments()
    demand = {NAME: AccountDemand(NO_RESOURCES, cpu(5_000), 0)}
    report = allotments.report(ReportOwner('desk', 1), 1, demand)
    ledger = LimitLedger(1)
    answer = ledger.apply(report, accounts_of(9_000), ('desk',))
    assert allotments.apply(answer)
    assert allotments.allowed(NAME, 1).cpu == 5_000
    assert allotments.allowed(NAME, 2) == NO_RESOURCES


def test_answers_of_earlier_ledgers_are_dropped() -> None:
    """A paused owner of the ledger allotted what was given away since."""
    allotments = Allotments()
    owner = ReportOwner('desk', 1)
    demand = {NAME: AccountDemand(NO_RESOURCES, cpu(5_000), 0)}
    limits = accounts_of(9_000)
    first = allotments.report(owner, 1, demand)
    late = LimitLedger(1).apply(first, limits, ('desk',))
    allotments.expect(2)
    assert not allotments.apply(late)
    second = allotments.report(owner, 1, demand)
    assert not allotments.apply(late)
    assert allotments.apply(LimitLedger(2).apply(second, limits, ('desk',)))


def test_answers_to_earlier_reports_are_dropped() -> None:
    """A late answer allowed what had been given back since."""
    allotments = Allotments()
    owner = ReportOwner('desk', 1)
    ledger = LimitLedger(1)
    demand = {NAME: AccountDemand(NO_RESOURCES, cpu(5_000), 0)}
    first = allotments.report(owner, 1, demand)
    late = ledger.apply(first, accounts_of(9_000), ('desk',))
    allotments.report(owner, 1, {})
    assert not allotments.apply(late)
    assert allotments.allowed(NAME, 1) == NO_RESOURCES


def test_service_that_came_first_gives_back_a_part() -> None:
    """It kept the whole limit for as long as its tasks waited."""
    ledger = LimitLedger(1)
    limits = accounts_of(60_000)
    services = ('desk', 'billing')
    first = account_usage(
        NAME, used=cpu(60_000), kept=cpu(60_000), extra=cpu(30_000)
    )
    second = account_usage(NAME, extra=cpu(30_000))
    ledger.apply(usage_report(first), limits, services)
    other = usage_report(second, service='billing')
    assert ledger.apply(other, limits, services).amounts[0].amount.cpu == 0
    answer = ledger.apply(usage_report(first, number=2), limits, services)
    assert answer.amounts[0].amount.cpu == 45_000
    less = account_usage(
        NAME, used=cpu(45_000), kept=cpu(45_000), extra=cpu(45_000)
    )
    ledger.apply(usage_report(less, number=3), limits, services)
    answer = ledger.apply(other._replace(number=2), limits, services)
    assert answer.amounts[0].amount.cpu == 15_000
