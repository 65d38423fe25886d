"""
cyclamenshift.peers.connection
==============================

One TCP connection between entry VMs: whole messages, and silence noticed.
"""

from collections import deque
from collections.abc import Iterator
from types import TracebackType
from typing import Self

import trio
from trio.abc import Stream

from ..clock import MS_PER_SECOND, Clock
from ..errors import ProtocolError
from ..peer import Message
from ..settings import PeerSettings
from .frames import Decoder, encode

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
    come more often, so a silent connection is one that was lost.  Messages
    are posted, and go out in that order from the task that runs ``pump``.
    """

    def __init__(
        self,
        stream: Stream,
        clock: Clock,
        settings: PeerSettings,
        meter: Meter,
    ) -> None:
        """Take over *stream*; count in *meter* what goes out."""
        self.stream = stream
        self.clock = clock
        self.silence = settings['silence'] / MS_PER_SECOND
        self.heard_at = clock.now()
        self.meter = meter
        self._decoder = Decoder(settings['frame_limit'])
        self._messages: Iterator[Message] = iter(())
        self._posted: deque[Message] = deque()
        self._wanted = trio.Event()
        self._flushed = trio.Event()

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

    def post(self, message: Message) -> None:
        """Let *message* go out after those posted before."""
        self._posted.append(message)
        self._wanted.set()

    async def pump(self) -> None:
        """Send what is posted, until the connection is lost."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            frames = map(encode, tuple(self._posted))
            self._posted.clear()
            await self._send_in_time(b''.join(frames))
            if not self._posted:
                self._flushed.set()
                self._flushed = trio.Event()

    async def flush(self) -> None:
        """Wait until everything posted has gone out, or for the silence."""
        self._wanted.set()
        with trio.move_on_after(self.silence):
            await self._flushed.wait()

    async def _send_in_time(self, data: bytes) -> None:
        self.meter.bytes_sent += len(data)
        try:
            with trio.fail_after(self.silence):
                await self.stream.send_all(data)
        except trio.TooSlowError:
            await trio.aclose_forcefully(self.stream)
            raise


def out_of_turn(message: object) -> ProtocolError:
    """Return the error for a message that may not come here."""
    return ProtocolError(
        f'A peer sent {type(message).__qualname__} out of turn.',
        'Run the same version at every entry VM.',
    )
