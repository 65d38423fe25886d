"""
cyclamenshift.decisions.health
==============================

Outlier detection: ejects failing workers and readmits them by a probe.
"""

from collections.abc import Container
from typing import Final

#: The weight of the newest result in a worker's failure rate, which is an
#: exponentially weighted moving average.
NEWEST_WEIGHT: Final = 0.2
#: The failure rate above which a worker is ejected.
EJECT_RATE: Final = 0.7
#: The least margin between the rate and the mean of the other workers.
EJECT_MARGIN: Final = 0.3
#: How long an ejected worker gets no request before one probe, ms.
PROBE_DELAY_MS: Final = 5_000
#: How long a worker that refuses connections gets no request, ms.
UNREACHABLE_DELAY_MS: Final = 1_000
#: The largest share of the workers that may be ejected at a time.
EJECT_SHARE: Final = 0.25


class Health:
    """The failure rates of the workers of one pool, kept by their owner."""

    def __init__(self) -> None:
        """Start without any ejected worker."""
        self.rates: dict[str, float] = {}
        self.ejected: dict[str, int] = {}

    def record(self, worker: str, now: int, *, failed: bool) -> None:
        """Count one result of *worker*, which may eject or readmit it."""
        rate = self.rates.get(worker, 0)
        self.rates[worker] = rate + NEWEST_WEIGHT * (failed - rate)
        if worker in self.ejected:
            self._end_probe(worker, now, failed=failed)
        elif failed and self._is_outlier(worker):
            self.ejected[worker] = now + PROBE_DELAY_MS

    def mark_unreachable(self, worker: str, now: int) -> None:
        """Eject *worker* briefly; it certainly did not start the request."""
        self.ejected[worker] = now + UNREACHABLE_DELAY_MS

    def usable(self, worker: str, now: int, busy: int) -> bool:
        """Return whether *worker* may get a request now."""
        probe_at = self.ejected.get(worker)
        if probe_at is None:
            return True
        return now >= probe_at and busy == 0

    def retain_workers(self, workers: Container[str]) -> None:
        """Remove the state of all workers that are not in *workers*."""
        for by_worker in (self.rates, self.ejected):
            departed = tuple(name for name in by_worker if name not in workers)
            for worker in departed:
                by_worker.pop(worker)

    def _end_probe(self, worker: str, now: int, *, failed: bool) -> None:
        if failed:
            self.ejected[worker] = now + PROBE_DELAY_MS
        else:
            self.ejected.pop(worker)
            self.rates[worker] = 0

    def _is_outlier(self, worker: str) -> bool:
        rate = self.rates[worker]
        others = [
            other_rate
            for other, other_rate in self.rates.items()
            if other != worker
        ]
        if rate < EJECT_RATE or not others:
            return False
        mean = sum(others) / len(others)
        max_ejected = EJECT_SHARE * len(self.rates)
        return rate > mean + EJECT_MARGIN and len(self.ejected) < max_ejected
