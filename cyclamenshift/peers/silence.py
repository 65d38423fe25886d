"""
cyclamenshift.peers.silence
===========================

The heartbeats of one connection: when to send them, and when to miss them.
"""

from collections.abc import Callable

import trio
from trio.abc import ReceiveStream

from ..clock import MS_PER_SECOND, Clock
from ..decisions.heartbeats import HEARTBEATS_HEARD
from ..settings import PeerSettings

#: Size of the receive buffer, bytes.
RECEIVE_BYTES = 65_536


class HeartbeatTimer:
    """
    Determines when to send heartbeats.

    They are *factor* times ``peers.heartbeat`` apart, as the peer requests.
    """

    def __init__(self, clock: Clock, settings: PeerSettings) -> None:
        """Start at the full rate."""
        self.clock = clock
        self.heartbeat = settings['heartbeat']
        self.factor = 1
        self._requested = trio.Event()

    def request(self, factor: int | None = None) -> None:
        """Let a heartbeat be due now, and then each *factor* intervals."""
        self.factor = factor or self.factor
        self._requested.set()

    async def wait(self) -> None:
        """Return when the next heartbeat is due."""
        with self.clock.move_on_after(self.heartbeat * self.factor):
            await self._requested.wait()
        self._requested = trio.Event()


class SilenceLimit:
    """
    Limits how long a connection may be silent.

    It is quiet after ``HEARTBEATS_HEARD`` intervals between heartbeats, and
    lost after ``peers.silence`` at the full rate, or in proportion at a
    lower one.  A heartbeat that was requested must come within the limits of
    the full rate.
    """

    def __init__(self, settings: PeerSettings) -> None:
        """Expect heartbeats at the full rate."""
        quiet = HEARTBEATS_HEARD * settings['heartbeat']
        self.lost_after_s = settings['silence'] / MS_PER_SECOND
        self.quiet_after_s = min(quiet / MS_PER_SECOND, self.lost_after_s)
        self.factor = 1
        self.reply_due = False
        self.quiet = False
        self.on_change: Callable[[], None] = _ignore
        self._since = trio.current_time()
        self._scope = trio.CancelScope()

    @property
    def is_reply_pending(self) -> bool:
        """Whether a heartbeat was requested that may still be on its way."""
        elapsed_s = trio.current_time() - self._since
        return self.reply_due and elapsed_s < self.quiet_after_s

    async def receive_some(self, stream: ReceiveStream) -> bytes | bytearray:
        """
        Return the next data of *stream*.

        Calls ``on_change`` when the connection gets quiet and when it is
        heard again.  Raises TooSlowError when it is lost.
        """
        self._since = trio.current_time()
        with self._limit(self.quiet_after_s):
            return self._on_data(await stream.receive_some(RECEIVE_BYTES))
        self.quiet = True
        self.on_change()
        with self._limit(self.lost_after_s):
            return self._on_data(await stream.receive_some(RECEIVE_BYTES))
        raise trio.TooSlowError

    def expect(self, factor: int) -> None:
        """Expect a heartbeat now, and then each *factor* intervals."""
        self.factor = factor
        self.reply_due = True
        self._since = trio.current_time()
        limit = self.lost_after_s if self.quiet else self.quiet_after_s
        self._scope.deadline = min(self._scope.deadline, self._since + limit)

    def _limit(self, limit_s: float) -> trio.CancelScope:
        factor = 1 if self.reply_due else self.factor
        self._scope = trio.CancelScope(deadline=self._since + limit_s * factor)
        return self._scope

    def _on_data(self, received: bytes | bytearray) -> bytes | bytearray:
        self.reply_due = False
        if self.quiet:
            self.quiet = False
            self.on_change()
        return received


def _ignore() -> None:
    """Do nothing, where nobody needs to know of a quiet connection."""
