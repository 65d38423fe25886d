"""
cyclamenshift.decisions.concurrency
===================================

Limits the number of calls in flight by the round-trip time.

The limit follows the congestion control of TCP (RFC 5681), with the queueing
delay as the sign of congestion: slow start, then additive increase and
multiplicative decrease.
"""

from typing import Final

#: The limit to start with, and its range.  As many orders of 400 bytes as the
#: minimum take 0.08 s at 2 Mbit/s, and fewer leave a link idle while starts are
#: recorded, which takes several times as long as an order.  The maximum only
#: bounds a burst before the first answers; a fast link carries as many in a
#: round trip.
INITIAL_LIMIT: Final = 64
MIN_LIMIT: Final = 48
MAX_LIMIT: Final = 256
#: The queueing delay above which the path is congested, ms; well below the
#: silence after which a peer is taken for lost.
MAX_QUEUEING_MS: Final = 100
#: The factor of a decrease.
DECREASE_FACTOR: Final = 0.7


class ConcurrencyLimit:
    """The adaptive limit of the calls in flight on one path."""

    def __init__(self) -> None:
        """Start in slow start."""
        self.limit: float = INITIAL_LIMIT
        self.slow_start = True
        self.decreased_at = 0

    def current(self) -> int:
        """Return how many calls may be in flight."""
        return int(self.limit)

    def record(self, sent_at: int, now: int, fastest: int) -> None:
        """
        Record an answer at *now* to a call sent at *sent_at*.

        *fastest* is the shortest round-trip time to the same server, ms.
        """
        if now - sent_at > fastest + MAX_QUEUEING_MS:
            self.decrease(sent_at, now)
            return
        step = 1 if self.slow_start else 1 / self.limit
        self.limit = min(MAX_LIMIT, self.limit + step)

    def decrease(self, sent_at: int, now: int) -> None:
        """
        Lower the limit after a late answer or a timeout.

        Calls sent before the last decrease do not lower it again.
        """
        self.slow_start = False
        if sent_at >= self.decreased_at:
            self.decreased_at = now
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
