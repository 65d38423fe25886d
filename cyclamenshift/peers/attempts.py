"""
cyclamenshift.peers.attempts
============================

The attempts to connect to one peer.
"""

from typing import Final

import trio

from ..clock import Clock

#: How long a peer counts as down after a failed attempt, ms, while nobody
#: tries to reach it again.
DOWN_MS: Final = 5_000


class Attempts:
    """
    The attempts to connect to one peer.

    ``ended`` is set when the latest one has ended, ``connected`` tells whether
    it succeeded, ``retry`` is set when the next should begin.  ``failed_at`` is
    when the latest one failed, None if it did not; ``refused`` whether the
    peer's host refused it.  ``lost_connections`` does not count those that
    were closed because they were not needed.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without an attempt."""
        self.clock = clock
        self.running = False
        self.connected = False
        self.ended = trio.Event()
        self.retry = trio.Event()
        self.failed_at: int | None = None
        self.refused = False
        self.lost_connections = 0

    @property
    def failing(self) -> bool:
        """Whether the latest attempt has failed and will be repeated."""
        return self.running and self.failed_at is not None

    @property
    def failed_lately(self) -> bool:
        """Whether the peer counts as down."""
        if self.failed_at is None:
            return False
        return self.running or self.clock.now() - self.failed_at < DOWN_MS

    def begin(self) -> None:
        """Begin an attempt."""
        self.connected = False
        if self.ended.is_set():
            self.ended = trio.Event()

    def succeed(self) -> None:
        """End an attempt that has connected."""
        self.connected = True
        self.failed_at = None
        self.refused = False
        self.ended.set()

    def fail(self) -> None:
        """End an attempt that has failed."""
        self.failed_at = self.clock.now()
        self.ended.set()

    async def wait_for_retry(self, delay: int) -> None:
        """Wait for *delay* ms, or until the peer has connected."""
        self.retry = trio.Event()
        with self.clock.move_on_after(delay):
            await self.retry.wait()
