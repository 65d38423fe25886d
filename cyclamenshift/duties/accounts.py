"""
cyclamenshift.duties.accounts
=============================

Keeps the ledger of account limits on one entry VM at a time.
"""

from collections.abc import Iterable

from ..accountmessages import Allotment, UsageReport
from ..component import Dump, Host
from ..decisions.accounts.limits import LimitLedger
from ..decisions.accounts.usage import limited
from ..directory import Account, Catalog, Directory
from ..duty import Duty, OwnershipTerm
from ..jobmessages import NotOwned
from ..peer import Peer
from ..plugin import register
from ..scheduling.account_limits import ACCOUNTS_DOMAIN
from ..scheduling.ownership_check import OwnershipCheck
from ..store import get_store_client
from .scheduler import SchedulerDuty


@register
class AccountsDuty(Duty):
    """Allots the limits of accounts to the schedulers that ask for them."""

    name = 'accounts'

    def __init__(self, kernel: Host) -> None:
        """Register for the reports of the schedulers."""
        super().__init__(kernel)
        self.directory = kernel.get(Directory)
        self.ledger: LimitLedger | None = None
        self.ownership: OwnershipCheck | None = None
        self.outcomes = kernel.metrics.load.overload.accounts
        kernel.get(Peer).add_call_handler(UsageReport, self._on_usage_report)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the domain of the ledger if an account has a limit."""
        return (ACCOUNTS_DOMAIN,) if limited(catalog.accounts) else ()

    async def serve(self, term: OwnershipTerm) -> None:
        """Keep the ledger until cancelled."""
        self.ledger = LimitLedger(term.epoch)
        self.ownership = OwnershipCheck(
            self.clock, get_store_client(self.kernel), term
        )
        try:
            await self.ownership.keep_confirmed()
        finally:
            self.ledger = None
            self.ownership = None

    def dump(self) -> Dump:
        """Return the accounts as known here, and as the ledger divides them."""
        catalog = self.directory.catalog
        if catalog is None:
            return {}
        return {
            name: self._describe(account)
            for name, account in catalog.accounts.items()
        }

    def _describe(self, account: Account) -> Dump:
        name = account.name
        scheduler = self.kernel.get(SchedulerDuty)
        allotted = self.ledger.allotted.get(name, {}) if self.ledger else {}
        return {
            'limit': account.limit._asdict(),
            'weight': account.weight,
            'running_millicores': scheduler.account_cpu()[name],
            'waiting_tasks': scheduler.account_tasks_waiting()[name],
            'served_percent': self.outcomes.served_percent(name),
            **self.outcomes.counts(name),
            'allotted': {
                service: amount._asdict()
                for service, amount in allotted.items()
            },
        }

    async def _on_usage_report(
        self, entry_id: str, report: UsageReport
    ) -> Allotment | NotOwned:
        catalog = self.directory.catalog
        if self.ledger is None or catalog is None:
            return NotOwned()
        if self.ownership is None or not self.ownership.is_recent:
            # A later owner may have allotted what this one would.
            return NotOwned()
        services = set(self.kernel.get(SchedulerDuty).domains(catalog))
        return self.ledger.apply(report, catalog, services)
