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
from ..directory import Catalog, Directory
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
        kernel.get(Peer).add_call_handler(UsageReport, self._on_usage_report)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the domain of the ledger if an account has a limit."""
        return (ACCOUNTS_DOMAIN,) if limited(catalog.accounts) else ()

    async def serve(self, term: OwnershipTerm) -> None:
        """Keep the ledger until cancelled."""
        self.ledger = LimitLedger(term.epoch)
        try:
            await OwnershipCheck(
                self.clock, get_store_client(self.kernel), term
            ).keep_confirmed()
        finally:
            self.ledger = None

    def dump(self) -> Dump:
        """Return what is allotted, by account and service."""
        if self.ledger is None:
            return {}
        return {
            account: {
                service: amount._asdict()
                for service, amount in by_service.items()
            }
            for account, by_service in self.ledger.allotted.items()
        }

    async def _on_usage_report(
        self, entry_id: str, report: UsageReport
    ) -> Allotment | NotOwned:
        catalog = self.directory.catalog
        if self.ledger is None or catalog is None:
            return NotOwned()
        services = set(self.kernel.get(SchedulerDuty).domains(catalog))
        return self.ledger.apply(report, catalog, services)
