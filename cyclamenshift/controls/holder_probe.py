"""
cyclamenshift.controls.holder_probe
===================================

Asks peers whether they hear the holder of a domain.

An entry VM that has lost a holder may be the only one: its own connection to
the holder may be broken, or slow.  So it asks a few peers before it takes the
domain over, as in the SWIM protocol.
"""

import itertools
from collections.abc import Callable, Mapping
from typing import Final

import trio

from ..component import Host
from ..decisions.heartbeats import HEARTBEATS_HEARD
from ..decisions.owners import choose_witnesses, is_loss_confirmed
from ..jobmessages import HolderAnswer, HolderQuery
from ..peer import Payload, Peer
from .membership import Membership

#: How long to wait for the answers of the peers, ms.
ANSWER_TIMEOUT_MS: Final = 300

#: Returns the epochs of the domains that an entry VM reports to own.
GetDomains = Callable[[str], Mapping[str, int]]


class HolderProbe:
    """Asks peers whether they hear a holder, and answers their queries."""

    def __init__(self, host: Host, get_domains: GetDomains) -> None:
        """Answer queries from now on."""
        self.clock = host.clock
        self.peer = host.get(Peer)
        self.membership = host.get(Membership)
        self.get_domains = get_domains
        self.heard_within = (
            HEARTBEATS_HEARD * host.settings['peers']['heartbeat']
        )
        self.attempts = itertools.count()
        self.peer.add_call_handler(HolderQuery, self._on_query)

    async def confirms_loss(self, query: HolderQuery, vacant_for: int) -> bool:
        """
        Return whether the peers that are asked don't hear the holder.

        *vacant_for* is how long the domain has had no owner, ms.
        """
        reachable = self.peer.reachable()
        own_id = self.membership.own.entry_id
        witnesses = choose_witnesses(
            (
                entry
                for entry in self.membership.registered.values()
                if entry.entry_id in reachable
            ),
            query.holder,
            f'{own_id}|{next(self.attempts)}',
        )
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for witness in witnesses:
                nursery.start_soon(self._ask, witness, query, answers)
        return is_loss_confirmed(len(witnesses), answers, vacant_for)

    async def _ask(
        self,
        witness: str,
        query: HolderQuery,
        answers: list[bool],
    ) -> None:
        answer = await self.peer.call(witness, query, ANSWER_TIMEOUT_MS)
        if isinstance(answer, HolderAnswer):
            answers.append(answer.heard)

    async def _on_query(self, entry_id: str, query: HolderQuery) -> Payload:
        epoch = self.get_domains(query.holder).get(query.domain, 0)
        return HolderAnswer(
            epoch >= query.epoch and self._hears(query.holder),
        )

    def _hears(self, holder: str) -> bool:
        if holder == self.membership.own.entry_id:
            return True
        heard_at = self.peer.last_heard(holder)
        if heard_at is None:
            return False
        return self.clock.now() - heard_at <= self.heard_within
