"""
cyclamenshift.decisions.accounts.limits
=======================================

Divides the limit of each account among the services that run its tasks.

Each service has its own scheduler, and their demand peaks alternate, so that
a fixed division would leave most of a limit unused.
"""

from collections.abc import Collection

from ...accountmessages import (
    EARLIER_VERSION,
    AccountUsage,
    Allotment,
    AllottedAmount,
    UsageReport,
)
from ...directory import Account, Catalog
from ...job import NO_RESOURCES, Resources
from .usage import effective_limit, larger_of, smaller_of


class LimitLedger:
    """
    How much each service may have in use for each account.

    One owner at a time keeps it, in memory.  ``allotted`` has by account and
    service an upper bound of what the service has recorded: its last
    allotment, or what it has in use if that is more.  ``reports`` has the
    last report of each service to this owner.
    """

    def __init__(self, epoch: int) -> None:
        """Start before the first report to the owner of *epoch*."""
        self.epoch = epoch
        self.allotted: dict[str, dict[str, Resources]] = {}
        self.reports: dict[str, UsageReport] = {}

    def missing(self, services: Collection[str]) -> set[str]:
        """
        Return the *services* that have not reported.

        What they may have in use is known to an earlier owner only, so nothing
        more is allotted before they have.
        """
        return set(services) - self.reports.keys()

    def apply(
        self,
        report: UsageReport,
        catalog: Catalog,
        services: Collection[str],
    ) -> Allotment:
        """
        Record *report* and return the new allotment of its service.

        The limits are those of *catalog*, and *services* all that may run
        tasks of accounts.  A report that a later one has overtaken changes
        nothing and gets nothing.
        """
        if self._is_overtaken(report):
            return Allotment(self.epoch, report.number, catalog.version, ())
        self.reports[report.service] = report
        self._record_usage(report)
        may_grow = not self.missing(services)
        amounts = tuple(
            self._allot(report.service, usage, account, may_grow=may_grow)
            for usage in report.usages
            if (account := catalog.accounts.get(usage.account))
        )
        version = catalog.version if may_grow else EARLIER_VERSION
        return Allotment(self.epoch, report.number, version, amounts)

    def total(self, account: str) -> Resources:
        """Return the sum of what the services may have in use."""
        total = NO_RESOURCES
        for amount in self.allotted.get(account, {}).values():
            total = total.plus(amount)
        return total

    def _is_overtaken(self, report: UsageReport) -> bool:
        known = self.reports.get(report.service)
        if known is None:
            return False
        last = (known.epoch, known.number)
        return (report.epoch, report.number) <= last

    def _record_usage(self, report: UsageReport) -> None:
        for by_service in self.allotted.values():
            by_service.pop(report.service, None)
        for usage in report.usages:
            by_service = self.allotted.setdefault(usage.account, {})
            by_service[report.service] = larger_of(usage.used, usage.kept)

    def _allot(
        self,
        service: str,
        usage: AccountUsage,
        account: Account,
        *,
        may_grow: bool,
    ) -> AllottedAmount:
        """
        Allot what the limit leaves, up to what the service can use.

        That may be less than it has in use, after the limit was reduced: then
        nothing starts until enough has ended.
        """
        by_service = self.allotted[usage.account]
        kept = by_service.pop(service)
        others = self.total(usage.account)
        room = larger_of(
            effective_limit(account.limit).minus(others), NO_RESOURCES
        )
        wanted = kept.plus(usage.extra) if may_grow else usage.kept
        part = self._fair_part(usage, effective_limit(account.limit))
        amount = smaller_of(wanted, smaller_of(room, part))
        # Until the service has the answer, it may start up to what it keeps.
        by_service[service] = larger_of(amount, kept)
        return AllottedAmount(
            usage.account,
            amount,
            self._arrivals_elsewhere(service, usage.account),
        )

    def _fair_part(self, usage: AccountUsage, limit: Resources) -> Resources:
        """
        Return the part of a limit for a service that wants more with others.

        It is in proportion to what each wants.  A service that has more gives
        the rest back as its runs end.
        """
        wanted = _wanted(usage)
        total = NO_RESOURCES
        for report in self.reports.values():
            for each in report.usages:
                if each.account == usage.account:
                    total = total.plus(_wanted(each))
        return Resources(
            *(
                amount if all_wanted <= most else most * amount // all_wanted
                for most, amount, all_wanted in zip(
                    limit, wanted, total, strict=True
                )
            )
        )

    def _arrivals_elsewhere(self, service: str, account: str) -> int:
        return sum(
            usage.arrivals
            for name, report in self.reports.items()
            if name != service
            for usage in report.usages
            if usage.account == account
        )


def _wanted(usage: AccountUsage) -> Resources:
    """Return what a service has in use for an account and could use soon."""
    return larger_of(usage.used, usage.kept).plus(usage.extra)
