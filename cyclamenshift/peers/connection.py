"""
cyclamenshift.peers.connection
==============================

A connection between two entry VMs, with message framing and a timeout.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from functools import singledispatch
from types import TracebackType
from typing import Final, Self

import trio
from trio.abc import Stream

from ..clock import MS_PER_SECOND, Clock
from ..errors import ProtocolError
from ..loadmetrics import LoadMetrics
from ..logs import get_logger
from ..peer import Call, HeartbeatRequest, Message, Notification, Reply
from ..settings import PeerSettings
from .frames import Decoder, encode
from .silence import HeartbeatTimer, SilenceLimit

log = get_logger('peers')

#: The exceptions raised when a connection is lost.
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
#: The exceptions raised for a message that can't be packed.
UNENCODABLE_ERRORS: Final = (OverflowError, ValueError)
#: A connection is lost if sending this many bytes takes ``peers.silence``.
SEND_CHUNK_BYTES = 16_384


#: What the kinds of traffic between entry VMs start with in the metrics.
KIND_PREFIX: Final = 'peer.'


class Connection:
    """
    A bidirectional connection that sends and receives whole messages.

    ``receive`` fails if nothing arrives within the limit of ``silence``.  The
    peer sends heartbeats more often than that, so a silent connection is lost.
    ``timer`` tells when to send heartbeats to the peer.
    ``enqueue`` appends a message to the send queue; the task that runs
    ``send_queued`` sends the queue in order.
    """

    def __init__(
        self,
        stream: Stream,
        clock: Clock,
        settings: PeerSettings,
        load: LoadMetrics,
    ) -> None:
        """Take ownership of *stream*; count its traffic in *load*."""
        self.stream = stream
        self.clock = clock
        self.silence = SilenceLimit(settings)
        self.timer = HeartbeatTimer(clock, settings)
        self.last_received_at = clock.now()
        self.load = load
        self.frame_limit = settings['frame_limit']
        self._decoder = Decoder(self.frame_limit)
        self._messages: Iterator[Message] = iter(())
        self._queue: deque[tuple[int, Message]] = deque()
        self._wakeup = trio.Event()
        self._flushed = trio.Event()

    async def __aenter__(self) -> Self:
        """Return the connection itself."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection."""
        self._flushed.set()
        await trio.aclose_forcefully(self.stream)

    async def receive(self) -> Message:
        """
        Return the next message.

        Raises TooSlowError if the connection is silent for too long, and
        BrokenResourceError if the peer has closed it.
        """
        while True:
            for message in self._messages:
                self.last_received_at = self.clock.now()
                self.load.received_bytes.increase(
                    _kind(message), self._decoder.frame_bytes
                )
                return message
            received = await self.silence.receive_some(self.stream)
            if not received:
                raise trio.BrokenResourceError('closed by the peer')
            self.last_received_at = self.clock.now()
            self._messages = self._decoder.feed(received)

    def request_heartbeats(self, factor: int) -> None:
        """Request a heartbeat now, and then one each *factor* intervals."""
        self.silence.expect(factor)
        self.enqueue(HeartbeatRequest(factor))

    def check(self) -> None:
        """Request a heartbeat from a peer that sends few, if it is quiet."""
        silence = self.silence
        if silence.factor > 1 and not silence.reply_due:
            silent_s = (
                self.clock.now() - self.last_received_at
            ) / MS_PER_SECOND
            if silent_s >= silence.quiet_after_s:
                self.request_heartbeats(silence.factor)

    def enqueue(self, message: Message) -> None:
        """Append *message* to the send queue."""
        self._queue.append((self.clock.now(), message))
        self._wakeup.set()

    async def send_queued(self) -> None:
        """Send the queued messages until the connection is lost."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            queued = tuple(self._queue)
            self._queue.clear()
            try:
                await self._send(b''.join(map(self._encode, queued)))
            finally:
                self._measure_wait(queued)
            if not self._queue:
                self._flushed.set()
                self._flushed = trio.Event()

    async def flush(self) -> None:
        """
        Wait until the queue is sent or the connection is closed.

        Waits at most for ``peers.silence``.
        """
        self._wakeup.set()
        with trio.move_on_after(self.silence.lost_after_s):
            await self._flushed.wait()

    def _encode(self, queued: tuple[int, Message]) -> bytes:
        """Return the frame of a message, nothing if it can't be sent."""
        _enqueued_at, message = queued
        try:
            frame = encode(message)
        except UNENCODABLE_ERRORS as error:
            return self._drop(message, repr(error))
        if len(frame) > self.frame_limit:
            return self._drop(message, f'{len(frame)} bytes')
        self.load.sent_bytes.increase(_kind(message), len(frame))
        return frame

    def _drop(self, message: Message, problem: str) -> bytes:
        """Leave out a message, so that the others are sent."""
        log.error(
            'Message to a peer dropped.',
            kind=_kind(message),
            problem=problem,
            frame_limit=self.frame_limit,
        )
        return b''

    def _measure_wait(self, queued: Iterable[tuple[int, Message]]) -> None:
        now = self.clock.now()
        for enqueued_at, _message in queued:
            self.load.frame_wait_ms.record(now - enqueued_at)

    async def _send(self, data: bytes) -> None:
        try:
            for start in range(0, len(data), SEND_CHUNK_BYTES):
                with trio.fail_after(self.silence.lost_after_s):
                    await self.stream.send_all(
                        data[start : start + SEND_CHUNK_BYTES],
                    )
        except trio.TooSlowError:
            await trio.aclose_forcefully(self.stream)
            raise


def unexpected_message(message: object) -> ProtocolError:
    """Return the error for a message that is not valid at this point."""
    return ProtocolError(
        f'A peer sent an unexpected {type(message).__qualname__} message.',
        'Run the same version at every entry VM.',
    )


@singledispatch
def _kind(message: Message) -> str:
    """Return the kind of traffic that a message is, for the metrics."""
    return KIND_PREFIX + type(message).__name__


@_kind.register(Call)
@_kind.register(Reply)
@_kind.register(Notification)
def _payload_kind(message: Call | Reply | Notification) -> str:
    return KIND_PREFIX + type(message.payload).__name__
