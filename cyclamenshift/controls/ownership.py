"""
cyclamenshift.controls.ownership
================================

Sees to it that each domain has an owner among the live entry VMs.

An owner is made by a conditional write on the row of the domain.  Peers
tell each other what they own; when the owner of a domain is gone, the
next in order takes the row under a higher epoch.
"""

from typing import ClassVar

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions.membership import live_members
from ..decisions.owners import (
    HolderStatus,
    HeldDomains,
    rank_members,
    next_owner_row,
    may_take_over,
    held_by_predecessor,
)
from ..directory import Directory
from ..duty import Duty, OwnershipTerm
from ..jobmessages import Holdings, OwnedDomain
from ..jobrows import OwnerRow, owner_key
from ..model import EntryVm
from ..peer import ChangeReporter, NoReply, Payload, Peer, Reporter
from ..plugin import register
from ..rows import decode_row
from ..store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
    get_store_client,
)
from .membership import Membership

#: How often the owners are looked at, ms.
LOOK_MS = 100
#: How long a new process waits for its peers before it takes a domain, ms.
SETTLE_MS = 600
#: How much longer each next candidate waits than the one before, ms.
RANK_DELAY_MS = 400
#: The wait before a write whose answer was lost is looked at, ms.
READ_BACK_MS = 100
#: How long a new process waits before it takes a domain that nobody ever
#: had, ms: all processes of a first start are there by then.
FIRST_START_MS = 1_500

#: Nobody owns the domain, as far as is known here.
NO_OWNER = NoReply(sent=False, reason='no owner')


@register
class Ownership(Control):
    """Takes vacant domains, and runs their duties while it owns them."""

    name = 'ownership'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 8

    def __init__(self, kernel: Host) -> None:
        """Own nothing; duties and peers are known."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.peer = kernel.get(Peer)
        self.membership = kernel.get(Membership)
        self.directory = kernel.get(Directory)
        self.duties = kernel.get_all(Duty)
        self.terms: dict[str, OwnershipTerm] = {}
        self.told: dict[str, dict[str, int]] = {}
        self.vacant_since: dict[str, int] = {}
        self.taking: set[str] = set()
        self.epochs: dict[str, tuple[int, int]] = {}
        self.formerly: set[str] = set()
        self.started_at = self.clock.now()
        self.peer.add_listener(Holdings, self._take_holdings)
        self.peer.add_reporter(self._news)
        self.peer.add_watcher(self._notice_peer)
        self._wake = trio.Event()

    def owner_of(self, domain: str) -> str | None:
        """Return the id of the entry VM that owns *domain*, if known."""
        if domain in self.terms:
            return self.membership.own.entry_id
        alive = self.peer.alive()
        owners = [
            (held[domain], entry_id)
            for entry_id, held in self.told.items()
            if domain in held and entry_id in alive
        ]
        return max(owners)[1] if owners else None

    async def call_owner(
        self,
        domain: str,
        question: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """Return the answer of the owner of *domain*, here or at a peer."""
        owner = self.owner_of(domain)
        if owner is None:
            return NO_OWNER
        return await self.peer.call(owner, question, timeout)

    def notify_owner(self, domain: str, told: Payload) -> bool:
        """Tell the owner of *domain*; return whether it could be told."""
        owner = self.owner_of(domain)
        return owner is not None and self.peer.notify(owner, told)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Look at the owners again and again."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            nursery.start_soon(self._read_epochs)
            while True:
                self._look(nursery)
                with self.clock.move_on_after(LOOK_MS):
                    await self._wake.wait()
                self._wake = trio.Event()

    async def announce_leaving(self) -> None:
        """Decide nothing more; peers take over when they are told."""
        for term in tuple(self.terms.values()):
            term.cancel_scope.cancel()

    def dump(self) -> Dump:
        """Return what this entry VM and its peers own."""
        return {
            'entry': self.membership.own.entry_id,
            'own': {domain: term.epoch for domain, term in self.terms.items()},
            'peers': self.told,
        }

    def _take_holdings(self, entry_id: str, told: Holdings) -> None:
        self.told[entry_id] = dict(told.domains)
        for domain, epoch in told.domains:
            self._note_epoch(domain, epoch)
        self._wake.set()

    def _notice_peer(self, entry_id: str) -> None:
        if entry_id not in self.peer.alive():
            self.told.pop(entry_id, None)
        self._wake.set()

    def _news(self) -> Reporter:
        return ChangeReporter(self._holdings)

    def _holdings(self) -> Holdings:
        return Holdings(
            tuple(
                OwnedDomain(domain, term.epoch)
                for domain, term in self.terms.items()
            ),
        )

    def _look(self, nursery: trio.Nursery) -> None:
        catalog = self.directory.catalog
        if catalog is None or self.kernel.draining:
            return
        now = self.clock.now()
        wanted = {
            domain: duty
            for duty in self.duties
            for domain in duty.domains(catalog)
        }
        vacant = {domain for domain in wanted if not self.owner_of(domain)}
        for domain in self.vacant_since.keys() - vacant:
            self.vacant_since.pop(domain)
        for domain in vacant:
            self.vacant_since.setdefault(domain, now)
        for domain in self._mine(vacant - self.taking):
            self.taking.add(domain)
            nursery.start_soon(self._hold, domain, wanted[domain])

    def _mine(self, vacant: set[str]) -> list[str]:
        """Return the vacant domains that it is this entry VM's turn to take."""
        now = self.clock.now()
        members = live_members(
            self.membership.registered,
            self.peer.alive(),
            self.membership.own,
        )
        own_id = self.membership.own.entry_id
        held: HeldDomains = {**self.told, own_id: self.terms}
        ranked = rank_members(vacant, members, held)
        return [
            domain
            for domain, order in ranked.items()
            if domain in self.formerly
            or now
            >= self._vacant_from(domain) + order.index(own_id) * RANK_DELAY_MS
        ]

    def _vacant_from(self, domain: str) -> int:
        """Return since when *domain* could have been taken, monotonic ms."""
        epoch, _since = self.epochs.get(domain, (0, 0))
        settle = SETTLE_MS if epoch else FIRST_START_MS
        return max(self.vacant_since[domain], self.started_at + settle)

    async def _hold(self, domain: str, duty: Duty) -> None:
        try:
            term = await self._acquire(domain)
            self.formerly.discard(domain)
            if term is None:
                await self.clock.sleep(LOOK_MS)
                return
            await self._serve(term, duty)
        finally:
            self.taking.discard(domain)

    async def _serve(self, term: OwnershipTerm, duty: Duty) -> None:
        self.terms[term.domain] = term
        self.peer.flush_updates()
        self.log.note(
            'Owns a domain.',
            domain=term.domain,
            epoch=term.epoch,
            resumed=term.resumed,
        )
        with term.cancel_scope:
            await duty.serve(term)
        if self.terms.get(term.domain) is term:
            self.terms.pop(term.domain)
        self.peer.flush_updates()
        self.log.note(
            'Does not own a domain any more.',
            domain=term.domain,
            epoch=term.epoch,
        )

    async def _acquire(self, domain: str) -> OwnershipTerm | None:
        """Take the row of *domain*; None if it is not to be had now."""
        key = owner_key(domain)
        asked_at = self.clock.now()
        rows = await self.store.read([key])
        if isinstance(rows, Unavailable):
            return None
        if not self._may_take(domain, rows[0]):
            return None
        row = next_owner_row(rows[0], self.membership.own)
        version = await self._write(rows[0], row)
        if version == ABSENT:
            return None
        term = OwnershipTerm(domain, row, version, asked_at)
        term.resumed = held_by_predecessor(rows[0], self.membership.own)
        return term

    async def _write(self, present: Row, row: OwnerRow) -> int:
        """Write over *present*; return the version, ABSENT if refused."""
        key = present.key
        transaction = Transaction(
            (Check(key, present.version),),
            (Write(key, row),),
        )
        result = await self.store.commit(transaction)
        while isinstance(result, Uncertain):
            await self.clock.sleep(READ_BACK_MS)
            result = await self.store.commit(transaction)
        if isinstance(result, Committed):
            return result.version
        if isinstance(result, Conflict) and result.rows[0].fields == row:
            return result.rows[0].version
        return ABSENT

    async def _read_epochs(self) -> None:
        """Learn which domains ever had an owner, once there are any."""
        while self.directory.catalog is None:
            await self.directory.changed()
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
                self._note_epoch(domain, decode_row(row, OwnerRow)['epoch'])
            if held_by_predecessor(row, self.membership.own):
                self.formerly.add(domain)
        self._wake.set()

    def _may_take(self, domain: str, row: Row) -> bool:
        if row.version == ABSENT:
            return True
        holder = decode_row(row, OwnerRow)
        self._note_epoch(domain, holder['epoch'])
        entry_id = holder['holder']
        return may_take_over(
            HolderStatus(
                row=holder,
                registered=self._registered(entry_id),
                connected=entry_id in self.peer.reachable(),
                known_for=self.clock.now() - self.epochs[domain][1],
            ),
        )

    def _registered(self, entry_id: str) -> EntryVm | None:
        if entry_id == self.membership.own.entry_id:
            return self.membership.own
        return self.membership.registered.get(entry_id)

    def _note_epoch(self, domain: str, epoch: int) -> None:
        known = self.epochs.get(domain)
        if known is None or known[0] < epoch:
            self.epochs[domain] = (epoch, self.clock.now())
