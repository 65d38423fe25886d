"""
cyclamenshift.controls.challenges
=================================

Asks the holder of a domain through the store whether it is alive.

Where an entry VM and its peers don't hear a holder, the network between them
may be what fails.  The store is the reference that both sides may still reach:
a holder that answers there has not failed.
"""

from collections.abc import Callable
from typing import Final

import trio

from ..clock import Clock
from ..duty import OwnershipTerm
from ..ownerrows import AnswerRow, ChallengeRow, answer_key, challenge_key
from ..rows import decode_row
from ..store import (
    ABSENT,
    Committed,
    Row,
    StoreClient,
    Transaction,
    Write,
)

#: How long to wait for the write of a challenge and its answer, ms.
ANSWER_TIMEOUT_MS: Final = 500

#: Returns the term of a domain that is owned here and can be served.
GetTerm = Callable[[str], OwnershipTerm | None]


class Challenges:
    """Challenges the holders of domains, and answers for the own domains."""

    def __init__(
        self, clock: Clock, store: StoreClient, get_term: GetTerm
    ) -> None:
        """Start without an answer."""
        self.clock = clock
        self.store = store
        self.get_term = get_term
        self.answered: dict[str, AnswerRow] = {}
        self.changed = trio.Event()

    async def is_answered(self, domain: str, epoch: int) -> bool:
        """Return whether the holder of *domain* under *epoch* answers."""
        row = ChallengeRow(epoch=epoch)
        write = Write(challenge_key(domain), row)
        with self.clock.move_on_after(ANSWER_TIMEOUT_MS):
            result = await self.store.commit(Transaction((), (write,)))
            if isinstance(result, Committed):
                await self._wait_for_answer(domain, epoch, result.version)
                return True
        return False

    def answer(self, row: Row, nursery: trio.Nursery) -> None:
        """
        Answer the challenge in *row* if the domain is owned here.

        Raises ProtocolError if the row is invalid.
        """
        term = self.get_term(row.key.partition)
        if term is None or row.version == ABSENT:
            return
        if decode_row(row, ChallengeRow)['epoch'] == term.epoch:
            answer = AnswerRow(epoch=term.epoch, challenge=row.version)
            write = Write(answer_key(term.domain), answer)
            transaction = Transaction((term.check(),), (write,))
            nursery.start_soon(self.store.commit, transaction)

    def record_answer(self, row: Row) -> None:
        """
        Record an answer that another entry VM has written.

        Raises ProtocolError if the row is invalid.
        """
        if row.version != ABSENT:
            self.answered[row.key.partition] = decode_row(row, AnswerRow)
            self.changed.set()
            self.changed = trio.Event()

    async def _wait_for_answer(
        self, domain: str, epoch: int, version: int
    ) -> None:
        while True:
            answer = self.answered.get(domain)
            if answer and answer['challenge'] >= version:
                if answer['epoch'] >= epoch:
                    return
            await self.changed.wait()
