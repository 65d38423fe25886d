"""
cyclamenshift.clock
===================

The clock of the process, in whole milliseconds.
"""

import math
import time

import trio

#: Milliseconds in one second.
MS_PER_SECOND = 1000


class Clock:
    """
    Reads the time and sleeps, in milliseconds.

    The monotonic time is that of trio's clock, so that tests can use virtual
    time.  The wall time is the system time at creation plus the monotonic
    time elapsed since.  Use it only for timestamps that other processes read.
    """

    def __init__(self, wall_start: int | None = None) -> None:
        """Start the wall time at *wall_start*, ms since the epoch."""
        if wall_start is None:
            wall_start = time.time_ns() // (MS_PER_SECOND * MS_PER_SECOND)
        self.wall_start = wall_start
        # Looking up the clock of the run takes longer than reading it.
        self.current_time = trio.lowlevel.current_clock().current_time
        self.started_at = self.now()

    def now(self) -> int:
        """Return the monotonic time."""
        return math.floor(self.current_time() * MS_PER_SECOND)

    def wall_time(self) -> int:
        """Return the time since the epoch."""
        return self.wall_start + self.now() - self.started_at

    def remaining(self, deadline: int) -> int:
        """Return the time until *deadline*, at least 0."""
        return max(0, deadline - self.now())

    async def sleep(self, delay: int) -> None:
        """Sleep for *delay* milliseconds."""
        await trio.sleep(delay / MS_PER_SECOND)

    def move_on_after(self, delay: int) -> trio.CancelScope:
        """Return a scope that is cancelled after *delay* milliseconds."""
        return trio.move_on_after(delay / MS_PER_SECOND)
