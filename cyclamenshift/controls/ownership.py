"""
cyclamenshift.controls.ownership
================================

Assigns each domain to one owner among the live entry VMs.

An entry VM becomes the owner by a conditional write of the domain's row.
Peers report to each other which domains they own.  When an owner is gone,
the candidate with the highest rank takes over the row with a higher epoch.
"""

from collections.abc import Mapping
from typing import ClassVar

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions.membership import live_members
from ..decisions.owners import (
    ISOLATED_DELAY_MS,
    HeldDomains,
    held_by_predecessor,
    rank_members,
)
from ..directory import Directory
from ..duty import Duty, OwnershipTerm, TermEnd
from ..jobmessages import Holdings, OwnedDomain
from ..jobrows import OwnerRow, owner_key
from ..peer import ChangeReporter, NoReply, Payload, Peer, Reporter
from ..plugin import register
from ..rows import decode_row
from ..store import (
    ABSENT,
    Unavailable,
    get_store_client,
)
from .acquirer import Acquirer
from .holder_probe import HolderProbe
from .holders import Holders
from .membership import Membership

#: The interval at which vacant domains are checked for, ms.
CHECK_INTERVAL_MS = 100
#: How long a new process waits to hear from its peers before it takes a
#: domain that had an owner before, ms.
RESTART_DELAY_MS = 600
#: The additional delay for each rank behind the first candidate, ms.
RANK_DELAY_MS = 400
#: How long a new process waits before it takes a domain that never had an
#: owner, ms.  By then all processes of the first start are connected.
FIRST_START_DELAY_MS = 1_500

#: The result of a call when no owner of the domain is known.
NO_OWNER = NoReply(sent=False, reason='no owner')


@register
class Ownership(Control):
    """Acquires vacant domains, and runs their duties while it owns them."""

    name = 'ownership'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 8

    def __init__(self, kernel: Host) -> None:
        """Start without domains, and register with the peers."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.peer = kernel.get(Peer)
        self.membership = kernel.get(Membership)
        self.directory = kernel.get(Directory)
        self.duties = kernel.get_all(Duty)
        self.terms: dict[str, OwnershipTerm] = {}
        self.peer_domains: dict[str, dict[str, int]] = {}
        self.vacant_since: dict[str, int] = {}
        self.domain_tasks: set[str] = set()
        self.holders = Holders(self.clock, self.peer, self.membership)
        self.previously_owned: set[str] = set()
        self.acquirer = Acquirer(
            kernel, self.holders, HolderProbe(kernel, self._domains_of)
        )
        self.started_at = self.clock.now()
        self.peer.add_listener(Holdings, self._on_holdings)
        self.peer.add_reporter(self._make_reporter)
        self.peer.add_watcher(self._on_peer_change)
        self._check_requested = trio.Event()
        kernel.metrics.load.owned_epochs.source = self.owned_epochs

    def owned_epochs(self) -> dict[str, int]:
        """Return the epoch of each domain that this entry VM owns."""
        return {domain: term.epoch for domain, term in self.terms.items()}

    def owner_of(self, domain: str) -> str | None:
        """Return the id of the entry VM that owns *domain*, if known."""
        if domain in self.terms:
            return self.membership.own.entry_id
        alive = self.peer.alive()
        owners = [
            (held[domain], entry_id)
            for entry_id, held in self.peer_domains.items()
            if domain in held and entry_id in alive
        ]
        return max(owners)[1] if owners else None

    def latest_epoch(self, domain: str) -> int:
        """Return the highest epoch of an owner of *domain* known here."""
        owner = self.owner_of(domain)
        current = self._domains_of(owner).get(domain, 0) if owner else 0
        known, _since = self.holders.epochs.get(domain, (0, 0))
        return max(current, known)

    async def call_owner(
        self,
        domain: str,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """Call the owner of *domain*, local or remote; return its reply."""
        owner = self.owner_of(domain)
        if owner is None:
            return NO_OWNER
        return await self.peer.call(owner, payload, timeout)

    def notify_owner(self, domain: str, payload: Payload) -> bool:
        """Notify the owner of *domain*; return whether that was possible."""
        owner = self.owner_of(domain)
        return owner is not None and self.peer.notify(owner, payload)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Acquire vacant domains, periodically and after changes of peers."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            nursery.start_soon(self._read_epochs)
            while True:
                self._acquire_vacant(nursery)
                with self.clock.move_on_after(CHECK_INTERVAL_MS):
                    await self._check_requested.wait()
                self._check_requested = trio.Event()

    async def announce_leaving(self) -> None:
        """Cancel all duties; peers acquire the domains once they are vacant."""
        for term in tuple(self.terms.values()):
            term.cancel_scope.cancel()

    def dump(self) -> Dump:
        """Return the domains that this entry VM and its peers own."""
        return {
            'entry': self.membership.own.entry_id,
            'own': self.owned_epochs(),
            'peers': self.peer_domains,
        }

    def _on_holdings(self, entry_id: str, holdings: Holdings) -> None:
        self.peer_domains[entry_id] = dict(holdings.domains)
        self.peer.change_rate(entry_id, full=bool(holdings.domains))
        for domain, epoch in holdings.domains:
            self.holders.record_epoch(domain, epoch)
        self._check_requested.set()

    def _on_peer_change(self, entry_id: str) -> None:
        if entry_id not in self.peer.alive():
            self.peer_domains.pop(entry_id, None)
        self._check_requested.set()

    def _domains_of(self, entry_id: str) -> Mapping[str, int]:
        if entry_id == self.membership.own.entry_id:
            return dict(self._current_holdings().domains)
        return self.peer_domains.get(entry_id, {})

    def _make_reporter(self) -> Reporter:
        return ChangeReporter(self._current_holdings)

    def _current_holdings(self) -> Holdings:
        return Holdings(
            tuple(
                OwnedDomain(domain, term.epoch)
                for domain, term in self.terms.items()
            ),
        )

    def _acquire_vacant(self, nursery: trio.Nursery) -> None:
        catalog = self.directory.catalog
        if catalog is None or self.kernel.draining:
            return
        now = self.clock.now()
        self.holders.check_isolation()
        duty_by_domain = {
            domain: duty
            for duty in self.duties
            for domain in duty.domains(catalog)
        }
        vacant = {
            domain for domain in duty_by_domain if not self.owner_of(domain)
        }
        for domain in self.vacant_since.keys() - vacant:
            self.vacant_since.pop(domain)
        for domain in vacant:
            self.vacant_since.setdefault(domain, now)
        for domain in self._due_domains(vacant - self.domain_tasks):
            self.domain_tasks.add(domain)
            nursery.start_soon(self._own_domain, domain, duty_by_domain[domain])

    def _due_domains(self, vacant: set[str]) -> list[str]:
        """
        Return the vacant domains that this entry VM should acquire now.

        Candidates wait by rank.  A domain that an earlier process of this
        entry VM still holds is taken without a delay.
        """
        now = self.clock.now()
        members = live_members(
            self.membership.registered,
            self.peer.alive(),
            self.membership.own,
        )
        own_id = self.membership.own.entry_id
        held: HeldDomains = {**self.peer_domains, own_id: self.terms}
        ranking = rank_members(vacant, members, held)
        return [
            domain
            for domain, order in ranking.items()
            if domain in self.previously_owned
            or now
            >= self._eligible_from(domain) + order.index(own_id) * RANK_DELAY_MS
        ]

    def _eligible_from(self, domain: str) -> int:
        """Return from when *domain* may be acquired, monotonic ms."""
        epoch, _since = self.holders.epochs.get(domain, (0, 0))
        vacant_since = self.vacant_since[domain]
        if not epoch:
            return max(vacant_since, self.started_at + FIRST_START_DELAY_MS)
        isolated_since = self.holders.isolated_since
        if isolated_since is not None:
            vacant_since = max(vacant_since, isolated_since + ISOLATED_DELAY_MS)
        return max(vacant_since, self.started_at + RESTART_DELAY_MS)

    async def _own_domain(self, domain: str, duty: Duty) -> None:
        vacant_since = self.vacant_since.get(domain, self.clock.now())
        try:
            term = await self.acquirer.acquire(domain, vacant_since)
            self.previously_owned.discard(domain)
            if term is None:
                await self.clock.sleep(CHECK_INTERVAL_MS)
                return
            await self._serve(term, duty)
        finally:
            self.domain_tasks.discard(domain)

    async def _serve(self, term: OwnershipTerm, duty: Duty) -> None:
        self.terms[term.domain] = term
        self.peer.flush_updates()
        self.log.note(
            'Domain acquired.',
            domain=term.domain,
            epoch=term.epoch,
            resumed=term.resumed,
            **term.takeover,
        )
        with term.cancel_scope:
            await duty.serve(term)
        if self.terms.get(term.domain) is term:
            self.terms.pop(term.domain)
        self.peer.flush_updates()
        end = term.end or TermEnd('leaving', None)
        self.log.note(
            'Domain released.',
            domain=term.domain,
            epoch=term.epoch,
            found_by=end.found_by,
            row=end.row,
            unconfirmed_ms=self.clock.now() - term.confirmed_at,
        )

    async def _read_epochs(self) -> None:
        """Read which domains had an owner, once the catalog is known."""
        while self.directory.catalog is None:
            await self.directory.wait_for_change()
        domains = [
            domain
            for duty in self.duties
            for domain in duty.domains(self.directory.catalog)
        ]
        rows = await self.store.read([owner_key(name) for name in domains])
        if isinstance(rows, Unavailable):
            return
        for domain, row in zip(domains, rows, strict=True):
            if row.version != ABSENT:
                self.holders.record_epoch(
                    domain, decode_row(row, OwnerRow)['epoch']
                )
            if held_by_predecessor(row, self.membership.own):
                self.previously_owned.add(domain)
        self._check_requested.set()
