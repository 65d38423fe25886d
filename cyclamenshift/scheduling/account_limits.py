"""
cyclamenshift.scheduling.account_limits
=======================================

Keeps the scheduler of one service within the limits of client accounts.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final

import trio

from ..accountmessages import Allotment, UsageReport
from ..component import Host
from ..controls.ownership import Ownership
from ..decisions.accounts.allotments import (
    AccountDemand,
    Allotments,
    Holds,
    ReportOwner,
    StartBudget,
    has_grown,
)
from ..decisions.accounts.shares import AccountShares, accounts_over_share
from ..decisions.accounts.usage import (
    larger_of,
    limited,
    resources_by_account,
    smaller_of,
)
from ..directory import NO_ACCOUNTS, Account, Directory
from ..job import NO_RESOURCES, Job, Resources
from .state import ServiceState

#: The domain of the ledger of account limits; no service has this name.
ACCOUNTS_DOMAIN: Final = '~accounts'
#: How long the ledger may take to answer, ms.
CALL_TIMEOUT_MS: Final = 1_000
#: The pause after a report while tasks wait for an allotment, ms: first after
#: an answer that allotted more, then after one that did not.  A service uses
#: again what it was allotted without a report, so that a pause delays only what
#: moves between services; a report costs about as much as a third of a run.
GROWING_PAUSE_MS: Final = 40
EXHAUSTED_PAUSE_MS: Final = 200
#: The time between two reports while no task waits for an allotment, ms.  What
#: is not needed is given back with them, and a new ledger gets the usage.
IDLE_PAUSE_MS: Final = 500
#: Nothing may start, not even a task that asks for no resources.
NOTHING: Final = Resources(-1, -1, -1)


class AccountLimits:
    """Reports the usage of accounts, and tells what may start for them."""

    def __init__(self, kernel: Host, state: ServiceState) -> None:
        """Start without any allotment; *state* is that of the scheduler."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.directory = kernel.get(Directory)
        self.max_age = kernel.settings['jobs']['configuration_age']
        self.state = state
        self.tracker = state.tracker
        self.allotments = Allotments()
        self.shares = AccountShares()
        self.beyond_share: set[str] = set()
        self.limited_accounts: Mapping[str, Account] = NO_ACCOUNTS
        self.known_limits: Mapping[str, Resources] = {}
        self.holds = Holds()
        self.wanted = trio.Event()

    @property
    def accounts(self) -> Mapping[str, Account]:
        """The accounts of the active configuration."""
        catalog = self.directory.catalog
        return catalog.accounts if catalog else NO_ACCOUNTS

    def record_arrival(self, job: Job) -> None:
        """Count a new job, which may be beyond the share of its account."""
        account = self.accounts.get(job.account)
        if account is None:
            return
        elsewhere = self.allotments.elsewhere(account.name)
        if not self.shares.add(account, elsewhere, self.clock.now()):
            self.beyond_share.add(job.job_id)

    def is_within_share(self, name: str) -> bool:
        """Return whether a job that comes now is within its account's share."""
        return self._has_room(self.shares, name)

    def would_be_within_share(self, name: str) -> bool:
        """Return the same without any effect on the shares."""
        return self._has_room(self.shares.copy(), name)

    def over_share(
        self, capacity: Resources, joining: Iterable[str] = ()
    ) -> frozenset[str]:
        """
        Return the accounts that have more than their part of the pool.

        The accounts *joining* have tasks that wait, besides those tracked.
        """
        if not self.accounts:
            return frozenset()
        waiting = {
            task.job.job.account for task in self.tracker.waiting.values()
        }
        return accounts_over_share(
            self.tracker.account_usages.used,
            waiting.union(joining),
            self.accounts,
            capacity,
        )

    @property
    def version(self) -> int:
        """The version of the active configuration, 0 before the first."""
        catalog = self.directory.catalog
        return catalog.version if catalog else 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration is recent enough to start by its limits."""
        return self.directory.catalog_age <= self.max_age

    @property
    def limits(self) -> Mapping[str, Resources]:
        """The limits of the accounts that have one, by name."""
        accounts = self.accounts
        if accounts is not self.limited_accounts:
            self.limited_accounts = accounts
            self.known_limits = limited(accounts)
        return self.known_limits

    def budget(self) -> StartBudget:
        """
        Return what may start now.

        By a configuration that is not confirmed nothing starts for accounts
        with a limit, since a newer one may have reduced it.
        """
        limits = self.limits
        if not self.is_confirmed:
            return StartBudget(dict.fromkeys(limits, NOTHING))
        used = self.tracker.account_usages.used
        return self.allotments.budget(limits, self.version, used)

    @property
    def exhausted(self) -> Collection[str]:
        """The accounts of which a task could not start in the last pass."""
        return self.holds.needed.keys()

    def request(self, budget: StartBudget) -> None:
        """Ask for more for the accounts whose tasks could not start."""
        self.holds.update(budget, self.clock.now())
        if self.exhausted:
            self.wanted.set()

    async def run(self) -> None:
        """Report the usage again and again, while accounts have limits."""
        while True:
            pause = IDLE_PAUSE_MS
            if self.limits:
                pause = await self._report()
            self.wanted = trio.Event()
            if self.exhausted:
                await self.clock.sleep(pause)
                continue
            with self.clock.move_on_after(IDLE_PAUSE_MS):
                await self.wanted.wait()

    async def _report(self) -> int:
        """Report once and return how long to pause, ms."""
        ownership = self.kernel.get(Ownership)
        self.allotments.expect(ownership.latest_epoch(ACCOUNTS_DOMAIN))
        report = self._next_report()
        answer = await ownership.call_owner(
            ACCOUNTS_DOMAIN, report, CALL_TIMEOUT_MS
        )
        if not isinstance(answer, Allotment):
            return EXHAUSTED_PAUSE_MS
        if not self.allotments.apply(answer):
            return EXHAUSTED_PAUSE_MS
        if not has_grown(report, answer, self.limits):
            return EXHAUSTED_PAUSE_MS
        self.state.wake()
        return GROWING_PAUSE_MS

    def _has_room(self, shares: AccountShares, name: str) -> bool:
        account = self.accounts.get(name)
        if account is None:
            return True
        elsewhere = self.allotments.elsewhere(name)
        return shares.has_room(account, elsewhere, self.clock.now())

    def _next_report(self) -> UsageReport:
        used = self.tracker.account_usages.used
        now = self.clock.now()
        arrivals = self.shares.arrivals(now)
        self.beyond_share.intersection_update(self.tracker.jobs)
        waiting = resources_by_account(self.tracker.waiting.values())
        room = self._room()
        active = set().union(used, waiting, arrivals)
        # Copies of slow runs are not among the waiting tasks.
        needed = self.holds.needed
        # Accounts without a limit are reported too, as a newer version, which
        # the ledger may know already, may give them one.
        demands = {
            account: AccountDemand(
                used.get(account, NO_RESOURCES),
                larger_of(
                    smaller_of(waiting.get(account, NO_RESOURCES), room),
                    needed.get(account, NO_RESOURCES),
                ),
                arrivals.get(account, 0),
                releases=self.holds.must_release(account, now),
            )
            for account in active
        }
        owner = ReportOwner(self.state.service, self.state.term.epoch)
        return self.allotments.report(owner, self.version, demands)

    def _room(self) -> Resources:
        """
        Return the free resources of the workers.

        Tasks beyond that wait for VMs, and must not keep a part of a limit from
        a service that has room.
        """
        room = NO_RESOURCES
        for instance, session in self.state.sessions.items():
            if not session.closed:
                used = self.tracker.used.get(instance, NO_RESOURCES)
                room = room.plus(session.worker.resources.minus(used))
        return larger_of(room, NO_RESOURCES)
