"""
cyclamenshift.decisions.leases
==============================

Bounds a worker's clock, and from it the expiry of its lease.
"""

from typing import Final

#: How much slower than real time a worker's clock may run, per cent, as the
#: platform specifies for leases.
CLOCK_LAG_PERCENT: Final = 2
PERCENT: Final = 100


class Lease:
    """
    The lease that a scheduler grants to one worker process.

    ``clock`` and ``granted_until`` are on the worker's clock; ``now`` and
    the other times are on the scheduler's monotonic clock.
    ``prior_leases_until`` is when the leases that earlier schedulers may
    have granted have expired; until the worker first answers, it is the
    only bound.
    """

    def __init__(self, prior_leases_until: int) -> None:
        """Create a lease before the worker's clock is known."""
        self.prior_leases_until = prior_leases_until
        self.clock = 0
        self.synced_at: int | None = None
        self.heard_at: int | None = None
        self.granted_until = 0

    def heard_since(self, then: int) -> bool:
        """Return whether the worker has answered since *then*."""
        return self.heard_at is not None and self.heard_at >= then

    def observe(self, clock: int, now: int) -> None:
        """
        Record the worker's clock from an answer received at *now*.

        A value below the least possible one comes from an answer that was
        delayed on its way and is not used.
        """
        self.heard_at = now
        if clock >= self.min_clock(now):
            self.clock = clock
            self.synced_at = now

    def estimate_clock(self, now: int) -> int:
        """Return the estimated time on the worker's clock."""
        if self.synced_at is None:
            return 0
        return self.clock + now - self.synced_at

    def min_clock(self, now: int) -> int:
        """Return the lower bound of the time on the worker's clock."""
        if self.synced_at is None:
            return 0
        elapsed = now - self.synced_at
        return self.clock + elapsed * (PERCENT - CLOCK_LAG_PERCENT) // PERCENT

    def grant(self, now: int, length: int) -> int:
        """Grant *length* ms from now; return the worker's time of expiry."""
        expires = self.estimate_clock(now) + length
        self.granted_until = max(self.granted_until, expires)
        return expires

    def all_expired(self, now: int) -> bool:
        """Return whether every granted lease has certainly expired."""
        if self.synced_at is None:
            return now >= self.prior_leases_until
        return (
            now >= self.prior_leases_until
            and self.min_clock(now) > self.granted_until
        )


def max_elapsed(length: int) -> int:
    """Return the longest real time of *length* ms on a worker's clock, ms."""
    return -(-length * PERCENT // (PERCENT - CLOCK_LAG_PERCENT))
