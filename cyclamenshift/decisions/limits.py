"""
cyclamenshift.decisions.limits
==============================

Learned run times, queue limits and load shedding.
"""

from ..model import Load, NotRun, Reason

#: The weight of the newest run time in the exponentially weighted mean.
NEWEST_WEIGHT = 0.1
#: A kind of request whose mean run time is above this is long, ms.
LONG_MS = 1_000
#: The longest retry delay given to a refused caller, ms.
MAX_RETRY_AFTER_MS = 30_000


class RunTimes:
    """The mean run time of each kind of request of a service, ms."""

    def __init__(self) -> None:
        """Start without any mean."""
        self.means: dict[tuple[str, str], float] = {}

    def record(self, service: str, kind: str, elapsed: int) -> None:
        """Count one run that took *elapsed* ms."""
        mean = self.means.get((service, kind), elapsed)
        mean += NEWEST_WEIGHT * (elapsed - mean)
        self.means[service, kind] = mean

    def is_long(self, service: str, kind: str, *, declared: bool) -> bool:
        """Return whether a kind is long, *declared* if no mean is known."""
        mean = self.means.get((service, kind))
        return declared if mean is None else mean > LONG_MS

    def mean(self, service: str, kind: str) -> float:
        """Return the mean run time, ms, 0 if unknown."""
        return self.means.get((service, kind), 0)


def admit(
    load: Load,
    waiting: int,
    queue_limit: int,
    mean_run: float,
    remaining: int,
) -> NotRun | None:
    """
    Return why a request is refused, or None if it may be queued.

    *waiting* is the number of queued requests of its service, which
    *queue_limit* bounds.  *mean_run* is its mean run time and *remaining*
    the time to its deadline, ms.
    """
    if load.slots == 0:
        return NotRun(
            Reason.no_worker,
            'Try again; no worker of this pool is in reach now.',
            MAX_RETRY_AFTER_MS,
        )
    if load.free > load.queued:
        return None
    wait = round(mean_run * (load.queued + 1) / load.slots)
    retry_after = min(max(wait, 1), MAX_RETRY_AFTER_MS)
    if waiting >= queue_limit:
        return NotRun(
            Reason.queue_full,
            'Try again after the time given; the queue is full.',
            retry_after,
        )
    if wait > remaining:
        return NotRun(
            Reason.deadline,
            'Allow more time, or try again; the wait is too long.',
            retry_after,
        )
    return None
