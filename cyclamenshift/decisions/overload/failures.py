"""
cyclamenshift.decisions.overload.failures
=========================================

Weighs whether the failed runs at a worker are its fault.

The measure is the ratio between the probability of the worker's last ends if
it fails half of its runs, and that if it is like the rest of the pool.
"""

import math
from collections import Counter, deque
from collections.abc import Set
from typing import Final, NamedTuple

from ..progress import Task, WorkerInstance
from .step_records import StepRecord

#: How many ends of a worker are looked at: twice what runs there at a time.
RECENT_ENDS: Final = 16
#: The share of its runs that a faulty worker fails at least.
FAULTY_RATE: Final = 0.5
#: The probability that a step fails of itself, while none of its tasks is done.
UNPROVED_RATE: Final = 0.1
#: The failure rate that a pool has at least: a single failure is not enough to
#: suspect a worker, and two are not enough to eject it.
LEAST_RATE: Final = 0.05
#: How many ends of the pool are counted until older ones count half: those of
#: some seconds.
RATE_ENDS: Final = 256
#: The ratio of probabilities above which a worker is suspected: two failures
#: in a row of different steps where a tenth of all runs fail, three where a
#: seventh does.
SUSPECT_RATIO: Final = 20


class Failure(NamedTuple):
    """A failed run of *task*, whose step has *record*."""

    task: Task
    record: StepRecord

    @property
    def proved(self) -> bool:
        """Whether the step is known to be able to succeed."""
        return self.task.done or self.record.done > 0

    def is_excused(self, ignored: Set[WorkerInstance]) -> bool:
        """Return whether the task fails at other workers than *ignored*."""
        return bool(self.task.failed_at - ignored) and not self.task.done

    def rate_elsewhere(
        self, ignored: Set[WorkerInstance], pool_rate: float, counted: int
    ) -> float:
        """
        Return how probable the failure is at a healthy worker.

        Failures at the workers *ignored* do not count.  *counted* is the number
        of failed runs of the step at this worker that were weighed before; if
        the step is at fault, they fail together.
        """
        if self.task.done:
            return pool_rate
        done = self.record.done
        first = pool_rate if done else max(pool_rate, UNPROVED_RATE)
        elsewhere = sum(
            count
            for instance, count in self.record.failed.items()
            if instance not in ignored
        )
        failed = elsewhere + counted
        return max(pool_rate, (first + failed) / (1 + done + failed))


class Evidence(NamedTuple):
    """
    The logarithms of the ratios that speak against a worker.

    ``proved`` counts only failures of steps that can succeed.  ``failures``
    is the number of failed runs, of that many ``steps``.
    """

    total: float = 0
    proved: float = 0
    failures: int = 0
    steps: int = 0

    @property
    def failing(self) -> bool:
        """Whether the worker is suspected to fail its runs."""
        return self.total >= math.log(SUSPECT_RATIO)


class PoolRate:
    """How often runs fail at the healthy workers of a pool."""

    def __init__(self) -> None:
        """Start without any end."""
        self.ended: float = 0
        self.failed: float = 0

    def record(self, *, failed: bool) -> None:
        """Count the end of a run."""
        self.ended += 1
        self.failed += failed
        if self.ended >= RATE_ENDS:
            self.ended /= 2
            self.failed /= 2

    def without(self, ends: 'RecentEnds') -> float:
        """Return the failure rate of the pool without these *ends*."""
        failed = max(0, self.failed - ends.failures)
        ended = max(failed, self.ended - len(ends.ends))
        rate = (failed + 1) / (ended + 1 / LEAST_RATE)
        return max(LEAST_RATE, rate)


class RecentEnds:
    """The ends of runs at one worker since its first failure; None is done."""

    def __init__(self, instance: WorkerInstance) -> None:
        """Start without any end."""
        self.instance = instance
        self.ends: deque[Failure | None] = deque(maxlen=RECENT_ENDS)

    @property
    def failures(self) -> int:
        """How many of them have failed."""
        return len(self.ends) - self.ends.count(None)

    def add_failure(self, failure: Failure) -> None:
        """Add the failure of a run."""
        self.ends.append(failure)

    def add_success(self) -> None:
        """Add a run that is done; it only matters after a failure."""
        if self.ends:
            self.ends.append(None)

    def weigh(self, pool_rate: float, ejected: Set[WorkerInstance]) -> Evidence:
        """
        Return what the ends say, if *pool_rate* of the other runs fail.

        Failures at the workers that are *ejected* excuse none here.
        """
        ignored = ejected | {self.instance}
        success = math.log(
            (1 - FAULTY_RATE) / (1 - min(pool_rate, FAULTY_RATE))
        )
        counted: Counter[int] = Counter()
        total, proved = float(0), float(0)
        for end in self.ends:
            ratio = success
            if end is not None:
                ratio = _ratio(end, ignored, pool_rate, counted)
            total = max(0, total + ratio)
            if end is None or end.proved:
                proved = max(0, proved + ratio)
        return Evidence(total, proved, self.failures, len(counted))


def _ratio(
    failure: Failure,
    ignored: Set[WorkerInstance],
    pool_rate: float,
    counted: Counter[int],
) -> float:
    """Return the logarithm of the ratio for a failure, 0 if it is excused."""
    if failure.is_excused(ignored):
        return 0
    key = id(failure.record)
    rate = failure.rate_elsewhere(ignored, pool_rate, counted[key])
    counted[key] += 1
    return max(0, math.log(FAULTY_RATE / rate))
