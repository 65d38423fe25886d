"""
cyclamenshift.controls.holder_probe
===================================

Asks peers whether they hear the holder of a domain.

An entry VM that has lost a holder may be the only one: its own connection to
the holder may be broken, or slow.  So it asks a few peers before it takes the
domain over, as in the SWIM protocol.
"""

import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import trio

from ..component import Host
from ..decisions.owners import (
    HolderStatus,
    choose_witnesses,
    is_loss_confirmed,
    may_replace_answering,
)
from ..decisions.watching import informed_witnesses
from ..jobmessages import HolderAnswer, HolderQuery
from ..peer import Payload, Peer
from .challenges import Challenges
from .holders import Holders
from .membership import Membership

#: How long a peer waits for the holder to answer it, ms, and how long to wait
#: for the answers of the peers.
CONTACT_TIMEOUT_MS: Final = 400
ANSWER_TIMEOUT_MS: Final = 500
#: How long the answers of an inquiry can be used, ms.
ANSWER_MAX_AGE_MS: Final = 1_000
#: A peer hears the holder if data came within this many heartbeats.  That is
#: less than ``peers.silence``, so that nobody hears a holder that has ended
#: by the time at which another entry VM has lost it.
HEARTBEATS_HEARD: Final = 2
#: How many of the candidates before this entry VM are told of a loss, and how
#: often, ms.
ALERTED_CANDIDATES: Final = 2
ALERT_INTERVAL_MS: Final = 500

#: Returns the epochs of the domains that an entry VM reports to own.
GetDomains = Callable[[str], Mapping[str, int]]


class Inquiry:
    """
    The answers about one holder.

    ``asked`` is how many peers were asked, ``answered`` whether the holder
    itself has answered through the store.  ``changed`` is set with each answer.
    """

    def __init__(self, started_at: int) -> None:
        """Start without an answer."""
        self.started_at = started_at
        self.asked = 0
        self.answers: list[bool] = []
        self.answered = False
        self.finished = False
        self.changed = trio.Event()

    def is_concluded(self, *, ended: bool) -> bool:
        """
        Return whether further answers would not change the result.

        *ended* is whether the process of the holder is known to have ended.
        """
        if self.finished or any(self.answers):
            return True
        return ended and bool(self.asked) and self._most_have_answered()

    def add(self, *, heard: bool) -> None:
        """Add the answer of a peer."""
        self.answers.append(heard)
        self.notify()

    def notify(self) -> None:
        """Wake the tasks that wait for the conclusion."""
        self.changed.set()
        self.changed = trio.Event()

    def finish(self) -> None:
        """End the inquiry, as all answers are in."""
        self.finished = True
        self.notify()

    def _most_have_answered(self) -> bool:
        return 2 * len(self.answers) >= self.asked


class HolderProbe:
    """Asks peers whether they hear a holder, and answers their queries."""

    def __init__(
        self,
        host: Host,
        holders: Holders,
        challenges: Challenges,
        get_domains: GetDomains,
    ) -> None:
        """Answer queries from now on."""
        self.clock = host.clock
        self.peer = host.get(Peer)
        self.membership = host.get(Membership)
        self.holders = holders
        self.challenges = challenges
        self.inquiries: dict[HolderQuery, Inquiry] = {}
        self.alerted_at: dict[str, int] = {}
        self.get_domains = get_domains
        self.heard_within = (
            HEARTBEATS_HEARD * host.settings['peers']['heartbeat']
        )
        self.attempts = itertools.count()
        self.peer.add_call_handler(HolderQuery, self._on_query)
        self.peer.add_watcher(self._on_peer_change)

    async def confirms_loss(
        self, query: HolderQuery, status: HolderStatus, vacant_for: int
    ) -> bool:
        """
        Return whether the holder is lost, or at least to callers.

        *vacant_for* is how long the domain has had no owner, ms.
        """
        inquiry = await self.question(query)
        if inquiry.answered and not may_replace_answering(status, vacant_for):
            return False
        return is_loss_confirmed(inquiry.asked, inquiry.answers, vacant_for)

    async def question(self, query: HolderQuery) -> Inquiry:
        """Ask about a holder, or wait for an inquiry that was just begun."""
        inquiry = self._recent_inquiries().get(query)
        if inquiry is None:
            inquiry = Inquiry(self.clock.now())
            self.inquiries = {**self._recent_inquiries(), query: inquiry}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._question_all, query, inquiry)
                await self._wait_for_conclusion(query, inquiry)
                nursery.cancel_scope.cancel()
            inquiry.finish()
        await self._wait_for_conclusion(query, inquiry)
        return inquiry

    async def alert(self, domain: str, earlier: Sequence[str]) -> None:
        """
        Tell the first of the *earlier* candidates that *domain* is vacant.

        They may not watch its holder.  Asked about it, they find out.
        """
        row = self.holders.rows.get(domain)
        now = self.clock.now()
        alerted_at = self.alerted_at.get(domain)
        if row is None or (
            alerted_at is not None and now < alerted_at + ALERT_INTERVAL_MS
        ):
            return
        self.alerted_at[domain] = now
        query = HolderQuery(domain, row['holder'], row['epoch'])
        registered = self.membership.registered
        unused = Inquiry(now)
        async with trio.open_nursery() as nursery:
            for candidate in earlier[:ALERTED_CANDIDATES]:
                if registered[candidate].answers_probes:
                    nursery.start_soon(self._ask, candidate, query, unused)

    def _recent_inquiries(self) -> dict[HolderQuery, Inquiry]:
        now = self.clock.now()
        return {
            query: inquiry
            for query, inquiry in self.inquiries.items()
            if now - inquiry.started_at <= ANSWER_MAX_AGE_MS
        }

    async def _wait_for_conclusion(
        self, query: HolderQuery, inquiry: Inquiry
    ) -> None:
        """
        Wait until further answers would not change the result.

        A host that refuses connections has no process that could answer.
        """
        while not inquiry.finished:
            refused = query.holder in self.peer.responding()
            is_down = query.holder not in self.peer.alive()
            if inquiry.is_concluded(ended=refused and is_down):
                return
            await inquiry.changed.wait()

    async def _question_all(self, query: HolderQuery, inquiry: Inquiry) -> None:
        witnesses = self._choose_witnesses(query)
        inquiry.asked = len(witnesses)
        async with trio.open_nursery() as nursery:
            for witness in witnesses:
                nursery.start_soon(self._ask, witness, query, inquiry)
            entry = self.membership.registered.get(query.holder)
            if entry and entry.takes_pace:
                nursery.start_soon(self._challenge, query, inquiry)
        inquiry.finish()

    async def _challenge(self, query: HolderQuery, inquiry: Inquiry) -> None:
        inquiry.answered = await self.challenges.is_answered(
            query.domain, query.epoch
        )

    def _choose_witnesses(self, query: HolderQuery) -> list[str]:
        alive = self.peer.alive()
        own_id = self.membership.own.entry_id
        view = self.holders.view(())
        return choose_witnesses(
            (
                entry
                for entry in self.membership.registered.values()
                if entry.entry_id in alive
            ),
            query.holder,
            f'{own_id}|{next(self.attempts)}',
            informed_witnesses(view, query.domain, query.holder),
        )

    async def _ask(
        self, witness: str, query: HolderQuery, inquiry: Inquiry
    ) -> None:
        answer = await self.peer.call(witness, query, ANSWER_TIMEOUT_MS)
        if isinstance(answer, HolderAnswer):
            inquiry.add(heard=answer.heard)

    def _on_peer_change(self, entry_id: str) -> None:
        for query, inquiry in self.inquiries.items():
            if query.holder == entry_id:
                inquiry.notify()

    async def _on_query(self, entry_id: str, query: HolderQuery) -> Payload:
        heard = await self._hears(query.holder)
        epoch = self.get_domains(query.holder).get(query.domain, 0)
        return HolderAnswer(heard and epoch >= query.epoch)

    async def _hears(self, holder: str) -> bool:
        if holder == self.membership.own.entry_id:
            return True
        heard_at = self.peer.last_heard(holder)
        if heard_at is not None and holder in self.peer.reachable():
            if self.clock.now() - heard_at <= self.heard_within:
                return True
        return await self.peer.contact(holder, CONTACT_TIMEOUT_MS)
