"""
cyclamenshift.peers.connection
==============================

A connection between two entry VMs, with message framing.
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
from ..peer import Call, Message, Notification, Reply
from ..settings import PeerSettings
from .frames import Decoder, encode

#: The exceptions raised when a connection is lost.
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
#: Size of the receive buffer, bytes.
RECEIVE_BYTES = 65_536
#: A connection is lost if sending this many bytes takes ``peers.silence``.
SEND_CHUNK_BYTES = 16_384


#: What the kinds of traffic between entry VMs start with in the metrics.
KIND_PREFIX: Final = 'peer.'


class Connection:
    """
    A bidirectional connection that sends and receives whole messages.

    ``receive`` waits without a limit; ``last_received_at`` is when data came
    last, by which the heartbeat task finds lost connections.  It ends them by
    ``abort``, as their tasks run within ``lifetime``.  ``enqueue`` appends a
    message to the send queue; the task that runs ``send_queued`` sends the
    queue in order.
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
        self.silence = settings['silence']
        self.last_received_at = clock.now()
        self.lifetime = trio.CancelScope()
        self.heartbeat_received = trio.Event()
        self.load = load
        self._decoder = Decoder(settings['frame_limit'])
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
        await trio.aclose_forcefully(self.stream)

    async def receive(self) -> Message:
        """
        Return the next message.

        Raises BrokenResourceError if the peer has closed the connection.
        """
        while True:
            for message in self._messages:
                self.last_received_at = self.clock.now()
                self.load.received_bytes.increase(
                    _kind(message), self._decoder.frame_bytes
                )
                return message
            received = await self.stream.receive_some(RECEIVE_BYTES)
            if not received:
                raise trio.BrokenResourceError('closed by the peer')
            self.last_received_at = self.clock.now()
            self._messages = self._decoder.feed(received)

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
        """Wait until the queue is sent, at most for ``peers.silence``."""
        self._wakeup.set()
        with self.clock.move_on_after(self.silence):
            await self._flushed.wait()

    def mark_heartbeat(self) -> None:
        """Wake the tasks that wait for a heartbeat."""
        self.heartbeat_received.set()
        self.heartbeat_received = trio.Event()

    def silent_for(self) -> int:
        """Return for how long no data has come, ms."""
        return self.clock.now() - self.last_received_at

    def abort(self) -> None:
        """Cancel the tasks of the connection, which closes it."""
        self.lifetime.cancel()

    def _encode(self, queued: tuple[int, Message]) -> bytes:
        _enqueued_at, message = queued
        frame = encode(message)
        self.load.sent_bytes.increase(_kind(message), len(frame))
        return frame

    def _measure_wait(self, queued: Iterable[tuple[int, Message]]) -> None:
        now = self.clock.now()
        for enqueued_at, _message in queued:
            self.load.frame_wait_ms.record(now - enqueued_at)

    async def _send(self, data: bytes) -> None:
        try:
            for start in range(0, len(data), SEND_CHUNK_BYTES):
                with trio.fail_after(self.silence / MS_PER_SECOND):
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
