"""
cyclamenshift.peers.connection
==============================

One TCP connection between entry VMs: whole messages, and silence noticed.
"""

import contextlib
from collections import deque
from collections.abc import Iterator
from functools import singledispatch
from types import TracebackType
from typing import TYPE_CHECKING, Self

import trio
from trio.abc import Stream

from ..clock import SECOND_MS, Clock
from ..errors import ProtocolError
from ..model import Done, NotRun, Outcome, Request, Unknown
from ..peer import (
    Answer,
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    Message,
)
from .frames import Decoder, encode

if TYPE_CHECKING:
    from ..settings import PeerSettings

#: What a lost connection raises.
LOST = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
#: The most bytes taken from the socket at a time.
RECEIVE_BYTES = 65_536


class Meter:
    """Counts the bytes that one process sends to its peers."""

    def __init__(self) -> None:
        """Start at 0."""
        self.bytes_sent = 0


class Connection:
    """
    A stream of messages, both ways.

    ``receive`` fails after ``peers.silence``; the other end's heartbeats
    come more often, so a silent connection is one that was lost.
    """

    def __init__(
        self,
        stream: Stream,
        clock: Clock,
        settings: 'PeerSettings',
        meter: Meter,
    ) -> None:
        """Take over *stream*; count in *meter* what goes out."""
        self.stream = stream
        self.clock = clock
        self.silence = settings['silence'] / SECOND_MS
        self.heard_at = clock.now()
        self.meter = meter
        self._decoder = Decoder(settings['frame_limit'])
        self._messages: Iterator[Message] = iter(())
        self._lock = trio.Lock()
        self._posted: deque[Message] = deque()

    async def __aenter__(self) -> Self:
        """Return the connection itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)

    async def receive(self) -> Message:
        """
        Return the next message.

        Raises TooSlowError on silence, BrokenResourceError at the end.
        """
        while True:
            for message in self._messages:
                self.heard_at = self.clock.now()
                return message
            with trio.fail_after(self.silence):
                received = await self.stream.receive_some(RECEIVE_BYTES)
            if not received:
                raise trio.BrokenResourceError('closed by the peer')
            self._messages = self._decoder.feed(received)

    async def send(self, message: Message) -> None:
        """
        Send *message*, after those that were posted.

        A frame is never cut short by a cancelled caller: what has begun
        to go out goes out whole, or the connection breaks.
        """
        async with self._lock:
            with trio.CancelScope(shield=True):
                await self._send_in_time(message)

    async def try_send(self, message: Message) -> None:
        """Send *message*; a lost connection is not an error here."""
        with contextlib.suppress(*LOST):
            await self.send(message)

    def post(self, message: Message) -> None:
        """Let *message* go out before the next one that is sent."""
        self._posted.append(message)

    async def send_answer(self, request: Request, outcome: Outcome) -> None:
        """Send the answer that *outcome* makes."""
        await self.try_send(answer(outcome, request.request_id))

    async def _send_in_time(self, message: Message) -> None:
        try:
            with trio.fail_after(self.silence):
                await self._send_all(message)
        except trio.TooSlowError:
            await trio.aclose_forcefully(self.stream)
            raise

    async def _send_all(self, message: Message) -> None:
        frames = [encode(posted) for posted in self._posted]
        self._posted.clear()
        data = b''.join((*frames, encode(message)))
        self.meter.bytes_sent += len(data)
        await self.stream.send_all(data)


@singledispatch
def answer(outcome: Outcome, request_id: str) -> Message:
    """Return the message that carries *outcome*."""
    raise NotImplementedError(type(outcome).__qualname__)


@answer.register
def _done(outcome: Done, request_id: str) -> Message:
    return AnswerDone(request_id, *outcome)


@answer.register
def _not_run(outcome: NotRun, request_id: str) -> Message:
    return AnswerNotRun(request_id, *outcome)


@answer.register
def _unknown(outcome: Unknown, request_id: str) -> Message:
    return AnswerUnknown(request_id, *outcome)


@singledispatch
def outcome_of(message: Answer) -> Outcome:
    """Return the outcome that *message* carries."""
    raise NotImplementedError(type(message).__qualname__)


@outcome_of.register
def _from_done(message: AnswerDone) -> Outcome:
    return Done(*message[1:])


@outcome_of.register
def _from_not_run(message: AnswerNotRun) -> Outcome:
    return NotRun(*message[1:])


@outcome_of.register
def _from_unknown(message: AnswerUnknown) -> Outcome:
    return Unknown(*message[1:])


def out_of_turn(message: Message) -> ProtocolError:
    """Return the error for a message that may not come here."""
    return ProtocolError(
        f'A peer sent {type(message).__qualname__} out of turn.',
        'Run the same version at every entry VM.',
    )
