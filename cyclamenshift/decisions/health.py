"""
cyclamenshift.decisions.health
==============================

Ejects workers that fail what they start, and probes them back.
"""

from collections.abc import Container
from typing import Final

#: The weight of the newest result in a worker's failure rate.
NEWEST_WEIGHT: Final = 0.2
#: The failure rate above which a worker is ejected.
EJECT_RATE: Final = 0.7
#: How much worse than the other workers' mean the rate must be.
EJECT_MARGIN: Final = 0.3
#: How long an ejected worker gets nothing before one probe, ms.
PROBE_DELAY_MS: Final = 5_000
#: How long a worker that refuses connections gets nothing, ms.
UNREACHABLE_DELAY_MS: Final = 1_000
#: The share of the workers that may be ejected at a time.
EJECT_SHARE: Final = 0.25


class Health:
    """Failure rates of the workers of one pool, seen from their owner."""

    def __init__(self) -> None:
        """Start with every worker trusted."""
        self.rates: dict[str, float] = {}
        self.ejected: dict[str, int] = {}

    def record(self, worker: str, now: int, *, failed: bool) -> None:
        """Count one result of *worker*; eject or readmit it."""
        rate = self.rates.get(worker, 0)
        self.rates[worker] = rate + NEWEST_WEIGHT * (failed - rate)
        if worker in self.ejected:
            self._settle_probe(worker, now, failed=failed)
        elif failed and self._stands_out(worker):
            self.ejected[worker] = now + PROBE_DELAY_MS

    def mark_unreachable(self, worker: str, now: int) -> None:
        """Eject *worker*, which certainly started nothing, for a moment."""
        self.ejected[worker] = now + UNREACHABLE_DELAY_MS

    def usable(self, worker: str, now: int, busy: int) -> bool:
        """Return whether *worker* may get a request now."""
        probe_at = self.ejected.get(worker)
        if probe_at is None:
            return True
        return now >= probe_at and busy == 0

    def forget_all_but(self, workers: Container[str]) -> None:
        """Drop what is known of workers that left."""
        for known in (self.rates, self.ejected):
            gone = tuple(name for name in known if name not in workers)
            for worker in gone:
                known.pop(worker)

    def _settle_probe(self, worker: str, now: int, *, failed: bool) -> None:
        if failed:
            self.ejected[worker] = now + PROBE_DELAY_MS
        else:
            self.ejected.pop(worker)
            self.rates[worker] = 0

    def _stands_out(self, worker: str) -> bool:
        rate = self.rates[worker]
        others = [
            other_rate
            for other, other_rate in self.rates.items()
            if other != worker
        ]
        if rate < EJECT_RATE or not others:
            return False
        mean = sum(others) / len(others)
        allowed = EJECT_SHARE * len(self.rates)
        return rate > mean + EJECT_MARGIN and len(self.ejected) < allowed
