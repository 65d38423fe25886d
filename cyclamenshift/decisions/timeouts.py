"""
cyclamenshift.decisions.timeouts
================================

Adaptive timeouts from the response times of a server.

The estimate follows the retransmission timer of RFC 6298: a smoothed response
time plus four times its deviation, doubled with each timeout.
"""

from typing import Final

#: The weight of the newest response time in the smoothed time and in its
#: deviation.
SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
#: The number of deviations that are added to the smoothed time.
DEVIATIONS: Final = 4


class Timeout:
    """The timeout of calls to one server, ms."""

    def __init__(self, minimum: int, maximum: int) -> None:
        """Start with four times *minimum* and stay within the bounds."""
        self.minimum = minimum
        self.maximum = maximum
        self.smoothed: float | None = None
        self.deviation: float = 0
        self.backoff = 1

    def record(self, elapsed: int) -> None:
        """Record a response that took *elapsed* ms."""
        self.backoff = 1
        if self.smoothed is None:
            self.smoothed = elapsed
            self.deviation = elapsed / 2
            return
        error = abs(elapsed - self.smoothed)
        self.deviation += DEVIATION_SMOOTHING * (error - self.deviation)
        self.smoothed += SMOOTHING * (elapsed - self.smoothed)

    def expire(self) -> None:
        """Record a timeout."""
        self.backoff = min(self.backoff * 2, self.maximum)

    def current(self) -> int:
        """Return the current timeout, ms."""
        if self.smoothed is None:
            base = float(self.minimum * DEVIATIONS)
        else:
            base = self.smoothed + DEVIATIONS * self.deviation
        timeout = max(self.minimum, round(base)) * self.backoff
        return min(self.maximum, timeout)
