"""
cyclamenshift.clock
===================

The one clock of the package, in whole milliseconds.
"""

import math
import time

import trio

#: Milliseconds in one second.
MS_PER_SECOND = 1000


class Clock:
    """
    Tell the time and wait, in milliseconds.

    The monotonic reading follows trio's own clock, so that a test on
    virtual time moves it.  The wall reading is the wall time at creation
    plus the monotonic time passed since; it serves only for expiry stamps
    that other processes read.
    """

    def __init__(self, wall_start: int | None = None) -> None:
        """Start the wall reading at *wall_start* (ms since the epoch)."""
        if wall_start is None:
            wall_start = time.time_ns() // (MS_PER_SECOND * MS_PER_SECOND)
        self.wall_start = wall_start
        self.started_at = self.now()

    def now(self) -> int:
        """Return monotonic milliseconds."""
        return math.floor(trio.current_time() * MS_PER_SECOND)

    def wall_time(self) -> int:
        """Return milliseconds since the epoch."""
        return self.wall_start + self.now() - self.started_at

    def remaining(self, deadline: int) -> int:
        """Return the milliseconds left until *deadline*, never below 0."""
        return max(0, deadline - self.now())

    async def sleep(self, delay: int) -> None:
        """Wait *delay* milliseconds."""
        await trio.sleep(delay / MS_PER_SECOND)

    def move_on_after(self, delay: int) -> trio.CancelScope:
        """Return a scope that is cancelled after *delay* milliseconds."""
        return trio.move_on_after(delay / MS_PER_SECOND)
