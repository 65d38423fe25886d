"""
cyclamenshift.decisions.timeouts
================================

How long to wait for an answer, from how long earlier ones took.

The estimate is that of RFC 6298 for retransmissions: a smoothed time, four
times its deviation, and a doubling with each answer that did not come.
"""

from typing import Final

#: The weight of the newest time in the smoothed one, and in its deviation.
SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
#: How many deviations are waited for beyond the smoothed time.
DEVIATIONS: Final = 4


class Timeout:
    """The wait for the answers of one server, ms."""

    def __init__(self, shortest: int, longest: int) -> None:
        """Start with four times *shortest*; never leave the bounds."""
        self.shortest = shortest
        self.longest = longest
        self.smoothed: float | None = None
        self.deviation: float = 0
        self.backoff = 1

    def record(self, took: int) -> None:
        """Count an answer that took *took* ms."""
        self.backoff = 1
        if self.smoothed is None:
            self.smoothed = took
            self.deviation = took / 2
            return
        error = abs(took - self.smoothed)
        self.deviation += DEVIATION_SMOOTHING * (error - self.deviation)
        self.smoothed += SMOOTHING * (took - self.smoothed)

    def expire(self) -> None:
        """Count an answer that did not come in time."""
        self.backoff = min(self.backoff * 2, self.longest)

    def current(self) -> int:
        """Return how long to wait now."""
        if self.smoothed is None:
            base = float(self.shortest * DEVIATIONS)
        else:
            base = self.smoothed + DEVIATIONS * self.deviation
        wanted = max(self.shortest, round(base)) * self.backoff
        return min(self.longest, wanted)
