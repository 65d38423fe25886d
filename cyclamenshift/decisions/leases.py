"""
cyclamenshift.decisions.leases
==============================

Bounds the clock of a worker process, and from it the expiry of its leases.
"""

from typing import Final, NamedTuple

#: How much slower than real time a worker's clock may run, per cent, as the
#: platform specifies for leases.
CLOCK_LAG_PERCENT: Final = 2
PERCENT: Final = 100
#: The epoch of the first owner of a domain.
FIRST_EPOCH: Final = 1
#: How long a worker may hold a report while no run ends (long poll), ms.  The
#: lease that the poll grants may count from its end.
REPORT_WAIT_MS: Final = 1_000
#: How long after it was sent an unanswered order may still be executed, ms.
MAX_ORDER_DELAY_MS: Final = 3_000


class ClockReading(NamedTuple):
    """The clock of a worker process, in an answer received at ``at``; ms."""

    clock: int
    at: int

    def min_clock(self, now: int) -> int:
        """Return the lower bound of the time on that clock at *now*."""
        elapsed = now - self.at
        return self.clock + elapsed * (PERCENT - CLOCK_LAG_PERCENT) // PERCENT


class Lease:
    """
    The leases that a scheduler grants to a worker.

    They are for one process, but orders name the worker by its id: another
    process under that id takes them as well.  It reads an expiry on its own
    clock, and its lease is ``max_lease`` ms at most.

    ``clock`` and ``granted_until`` are on the clock of the process that the
    leases are for; ``now`` and the other times are on the scheduler's
    monotonic clock.  ``prior_leases_until`` is when the leases that earlier
    schedulers may have granted have expired; until the worker first answers,
    it is the only bound.  ``longest_until`` is when every lease has expired
    that any process under the id may have got.
    """

    def __init__(
        self, prior_leases_until: int, longest_until: int, max_lease: int
    ) -> None:
        """Create a lease before the worker's clock is known."""
        self.prior_leases_until = prior_leases_until
        self.longest_until = max(prior_leases_until, longest_until)
        self.max_lease = max_lease
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
        return ClockReading(self.clock, self.synced_at).min_clock(now)

    def grant(self, now: int, length: int) -> int:
        """Grant *length* ms from now; return the worker's time of expiry."""
        expires = self.estimate_clock(now) + length
        self.granted_until = max(self.granted_until, expires)
        latest = now + MAX_ORDER_DELAY_MS + REPORT_WAIT_MS
        longest_until = latest + max_elapsed(self.max_lease)
        self.longest_until = max(self.longest_until, longest_until)
        return expires

    def extend_prior(self, until: int) -> None:
        """Expect leases until *until* that this scheduler did not grant."""
        self.prior_leases_until = max(self.prior_leases_until, until)
        self.longest_until = max(self.longest_until, until)

    def all_expired(self, now: int) -> bool:
        """Return whether every lease of the known process has expired."""
        if self.synced_at is None:
            return now >= self.prior_leases_until
        return (
            now >= self.prior_leases_until
            and self.min_clock(now) > self.granted_until
        )

    def all_expired_since(self, reading: ClockReading, now: int) -> bool:
        """Return whether every lease of the process of *reading* has."""
        is_past = reading.min_clock(now) > self.granted_until
        return self.all_expired(now) and (is_past or now >= self.longest_until)

    def longest_expired(self, now: int) -> bool:
        """Return whether every lease of any process has expired."""
        return self.all_expired(now) and now >= self.longest_until


class LeaseBounds(NamedTuple):
    """
    The bounds on leases that a scheduler started at ``started_at`` knows.

    Earlier schedulers granted none beyond ``horizon`` after that.  But where
    they had not seen the restart of a worker, it has the longest lease that
    workers accept, ``max_lease``.  All in ms, the start on the monotonic clock.
    The scheduler of the first ``epoch`` of its domain has no predecessor.
    """

    started_at: int
    horizon: int
    max_lease: int
    epoch: int

    @property
    def prior_until(self) -> int:
        """When the leases by orders of earlier schedulers have expired."""
        if self.epoch <= FIRST_EPOCH:
            return self.started_at
        return max(
            self.started_at + max_elapsed(self.horizon),
            self.longest_from(self.started_at + REPORT_WAIT_MS),
        )

    @property
    def longest_prior_until(self) -> int:
        """When those have that any process got by the last of their orders."""
        if self.epoch <= FIRST_EPOCH:
            return self.started_at
        return self.longest_from(self.started_at + MAX_ORDER_DELAY_MS)

    def longest_from(self, now: int) -> int:
        """Return when the longest lease that was given by *now* expires."""
        return now + max_elapsed(self.max_lease)

    def initial_lease(self) -> Lease:
        """Return the lease of a worker that has not answered."""
        return Lease(self.prior_until, self.longest_prior_until, self.max_lease)


def max_elapsed(length: int) -> int:
    """Return the longest real time of *length* ms on a worker's clock, ms."""
    return -(-length * PERCENT // (PERCENT - CLOCK_LAG_PERCENT))
