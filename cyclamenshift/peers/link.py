"""
cyclamenshift.peers.link
========================

The dialling side: one task for each peer, over all its connections.
"""

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from ..clock import SECOND_MS
from ..errors import ProtocolError
from ..model import (
    EntryVm,
    Load,
    NotRun,
    Outcome,
    Reason,
    Request,
    Unknown,
)
from ..peer import (
    Answer,
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    Forward,
    Heartbeat,
    Leaving,
    LeavingSeen,
    Message,
    Withdraw,
)
from .connection import LOST, Connection, out_of_turn, outcome_of

if TYPE_CHECKING:
    from .stream import StreamPeer

#: The wait before a lost peer is dialled again, ms.
REDIAL_MS = 200
#: How much longer than the deadline an answer may take on its way, ms.
ANSWER_ALLOWANCE_MS = 100

PEER_LOST = Unknown(
    Reason.peer_lost,
    'Ask for the outcome by its idempotency key before trying again.',
)
OWNER_LEFT = NotRun(Reason.peer_lost, 'Try again; an owner has left.')


class Call:
    """A forwarded request that waits for its answer."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.outcome: Outcome = PEER_LOST
        self.settled = trio.Event()

    def settle(self, outcome: Outcome) -> None:
        """Give the answer to the task that waits."""
        self.outcome = outcome
        self.settled.set()


class Link:
    """What is known of one peer, and the task that keeps it connected."""

    def __init__(self, peer: 'StreamPeer', entry: EntryVm) -> None:
        """Start unconnected."""
        self.peer = peer
        self.clock = peer.clock
        self.entry = entry
        self.connection: Connection | None = None
        self.loads: dict[str, Load] = {}
        self.calls: dict[str, Call] = {}
        self.leaving = False
        self.retired = False
        self.lost_count = 0

    @property
    def usable(self) -> bool:
        """Whether the peer takes forwards now."""
        return self.connection is not None and not self.leaving

    async def keep(self) -> None:
        """Dial the peer again whenever its connection is lost."""
        while not self.retired:
            await self._dial()
            await self.clock.sleep(REDIAL_MS)

    def retire(self) -> None:
        """Forward nothing more; end when the present connection does."""
        self.leaving = True
        self.retired = True

    async def forward(self, request: Request) -> Outcome:
        """Let the peer's worker run *request*; return the exact outcome."""
        connection = self.connection
        remaining = self.clock.remaining(request.deadline)
        if connection is None or self.leaving or not remaining:
            return OWNER_LEFT
        call = Call()
        self.calls[request.request_id] = call
        try:
            await connection.send(_forward(request, remaining))
            with self.clock.move_on_after(remaining + ANSWER_ALLOWANCE_MS):
                await call.settled.wait()
        except LOST:
            return PEER_LOST
        finally:
            self._end_call(request.request_id, connection)
        return call.outcome

    def _end_call(self, request_id: str, connection: Connection) -> None:
        call = self.calls.pop(request_id, None)
        if call and not call.settled.is_set():
            connection.post(Withdraw(request_id))

    async def _dial(self) -> None:
        silence = self.peer.settings['silence']
        try:
            with trio.fail_after(silence / SECOND_MS):
                stream = await self.peer.open_stream(self.entry)
        except (OSError, trio.TooSlowError):
            return
        connection = self.peer.connect(stream)
        try:
            async with connection:
                await self._use(connection)
        except* LOST:
            self.peer.log.info('Lost %s.', self.entry.entry_id)
        except* ProtocolError as errors:
            self.peer.report(errors)
        finally:
            self._lose()

    async def _use(self, connection: Connection) -> None:
        await connection.send(self.peer.greeting())
        self.peer.check_greeting(await connection.receive(), self.entry)
        self.connection = connection
        self.leaving = self.retired
        self.peer.log.info('Connected to %s.', self.entry.entry_id)
        self.peer.dispatcher.reconcile()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peer.beat, connection, ())
            while True:
                self._take(await connection.receive())

    def _lose(self) -> None:
        self.connection = None
        self.loads.clear()
        self.lost_count += 1
        for call in self.calls.values():
            call.settle(PEER_LOST)
        self.calls.clear()
        self.peer.dispatcher.reconcile()

    @singledispatchmethod
    def _take(self, message: Message) -> None:
        raise out_of_turn(message)

    @_take.register(AnswerDone)
    @_take.register(AnswerNotRun)
    @_take.register(AnswerUnknown)
    def _take_answer(self, message: Answer) -> None:
        call = self.calls.pop(message.request_id, None)
        if call is None:
            late = self.peer.kernel.metrics.late_answers
            late.inc({'from': self.entry.entry_id})
        else:
            call.settle(outcome_of(message))

    @_take.register
    def _take_heartbeat(self, message: Heartbeat) -> None:
        self.loads.update((load.pool, load) for load in message.loads)
        self.peer.configuration.hint(message.number, message.changes)

    @_take.register
    def _take_leaving(self, message: Leaving) -> None:
        self.leaving = True
        if self.connection:
            self.connection.post(LeavingSeen())
        self.peer.log.info('%s is leaving.', self.entry.entry_id)
        self.peer.dispatcher.reconcile()


def _forward(request: Request, remaining: int) -> Forward:
    return Forward(
        request_id=request.request_id,
        service=request.service,
        work=request.work,
        body=request.body,
        content_type=request.content_type,
        remaining=remaining,
        repeatable=request.repeatable,
        key=request.key,
    )
