"""
cyclamenshift.decisions.leases
==============================

What can be said of a worker's clock and lease from here.
"""

from typing import Final

#: How much slower than true a worker's clock may run, per cent.  From the
#: platform's description of leases.
CLOCK_LAG_PERCENT: Final = 2
PERCENT: Final = 100


class Lease:
    """
    The lease that one scheduler gives to one life of a worker.

    Times of the worker are on its own clock; ``now`` is monotonic here.
    Until the worker has answered once, ``prior_leases_until`` bounds, on
    the clock here, the leases that earlier schedulers may have given.
    """

    def __init__(self, prior_leases_until: int) -> None:
        """Know nothing of the worker's clock."""
        self.prior_leases_until = prior_leases_until
        self.clock = 0
        self.answered_at: int | None = None
        self.heard_at: int | None = None
        self.granted_until = 0

    def heard_since(self, then: int) -> bool:
        """Return whether the worker has answered since *then*."""
        return self.heard_at is not None and self.heard_at >= then

    def observe(self, clock: int, now: int) -> None:
        """
        Note the time that the worker told in an answer just now.

        A time that is behind what it must be by now comes from an answer
        that was long on its way, and says nothing new of the clock.
        """
        self.heard_at = now
        if clock >= self.earliest(now):
            self.clock = clock
            self.answered_at = now

    def estimate(self, now: int) -> int:
        """Return the worker's likely time."""
        if self.answered_at is None:
            return 0
        return self.clock + now - self.answered_at

    def earliest(self, now: int) -> int:
        """Return the least that the worker's clock may show."""
        if self.answered_at is None:
            return 0
        elapsed = now - self.answered_at
        return self.clock + elapsed * (PERCENT - CLOCK_LAG_PERCENT) // PERCENT

    def grant(self, now: int, length: int) -> int:
        """Return the expiry of a lease of *length* ms from now."""
        expires = self.estimate(now) + length
        self.granted_until = max(self.granted_until, expires)
        return expires

    def all_expired(self, now: int) -> bool:
        """Return whether every lease given has certainly expired."""
        if self.answered_at is None:
            return now >= self.prior_leases_until
        return (
            now >= self.prior_leases_until
            and self.earliest(now) > self.granted_until
        )


def max_elapsed(length: int) -> int:
    """Return how long *length* ms of a worker's clock may last, ms."""
    return -(-length * PERCENT // (PERCENT - CLOCK_LAG_PERCENT))
