"""
cyclamenshift.decisions.overload.slowness
=========================================

Compares the run times at a worker with those at the others of its pool.

A run time is compared with those of the same step at other workers, or with
its estimate where there are none.  Estimates are wrong by a factor that the
tasks of a step share, so a step counts once for each worker.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from ...job import Step
from ..progress import WorkerInstance
from .step_records import RunTime, StepRecord

#: How many run times of a step are compared at a time; a larger step is
#: compared in parts.
BATCH_SIZE: Final = 16
#: How many run times elsewhere a comparison takes at least.
MIN_OTHERS: Final = 2
#: The variance of the logarithm of such a comparison: tasks of a step that
#: take 0.7 to 1.8 s differ by a standard deviation of about 0.3, and the time
#: until an end is reported adds to it.
SIBLING_VARIANCE: Final = 0.16
#: The variance of the logarithm of run time over estimate before it is
#: known, that of the deployment with the worst estimates.
ESTIMATE_VARIANCE: Final = 0.81
#: How many steps have to be known before estimates count, and the weight of
#: the newest one.
MIN_STEPS: Final = 8
NEWEST_WEIGHT: Final = 0.03
#: How many comparisons of a worker are kept, and how many are enough.
RECENT_SAMPLES: Final = 8
MIN_SAMPLES: Final = 3
#: How many standard errors a worker has to be above the others.
MIN_ERRORS: Final = 3
#: By how many standard deviations a run time changes what is usual, at most.
MAX_ERRORS: Final = 3

#: The slowdown above which a worker is suspected: tasks that take twice as
#: long may still end in time, as objectives have a reserve of 1.6 times and
#: 600 ms.
SUSPECT_SLOWDOWN: Final = math.log(2)


class Sample(NamedTuple):
    """The logarithm of the slowdown in one step, and its variance."""

    excess: float
    variance: float


class OverdueRuns(NamedTuple):
    """
    What the runs that go on for too long say, once for each step.

    The first one of them started at ``since``, monotonic ms.
    """

    since: int
    samples: tuple[Sample, ...]


NOTHING_OVERDUE: Final = OverdueRuns(0, ())


class EstimateErrors:
    """The distribution of the logarithm of run time over estimate."""

    def __init__(self) -> None:
        """Start without any step."""
        self.mean: float = 0
        self.variance: float = ESTIMATE_VARIANCE
        self.steps = 0

    def compare(self, elapsed: float, estimate: int) -> Sample | None:
        """Return how slow a run was, None as long as too little is known."""
        if not estimate or self.steps < MIN_STEPS:
            return None
        error = math.log(elapsed / estimate)
        variance = max(self.variance, SIBLING_VARIANCE)
        return Sample(error - self.mean, variance)

    def learn(self, elapsed: float, estimate: int) -> None:
        """Take in the run time of a step at a healthy worker."""
        if not estimate:
            return
        self.steps += 1
        distance = math.log(elapsed / estimate) - self.mean
        # One far off may be that of a slow worker.
        bound = MAX_ERRORS * math.sqrt(self.variance)
        distance = max(-bound, min(bound, distance))
        self.mean += max(1 / self.steps, NEWEST_WEIGHT) * distance
        spread = distance * distance - self.variance
        weight = max(1 / (self.steps + MIN_STEPS), NEWEST_WEIGHT)
        self.variance += weight * spread


class Slowness:
    """
    The latest comparisons of one worker, with their times.

    A worker that has become slow ends no run for a while, so its overdue runs
    count, beside those that ended since the first of them started.
    """

    def __init__(self) -> None:
        """Start without any comparison."""
        self.samples: deque[tuple[int, Sample]] = deque(maxlen=RECENT_SAMPLES)
        self.overdue = NOTHING_OVERDUE

    def add(self, sample: Sample, now: int) -> None:
        """Add the comparison of a step that ended at *now*."""
        self.samples.append((now, sample))

    def forget(self) -> None:
        """Drop all comparisons."""
        self.samples.clear()
        self.overdue = NOTHING_OVERDUE

    def measure(self) -> float:
        """Return the logarithm of the slowdown, 0 if it may be chance."""
        since, overdue = self.overdue
        samples = [sample for at, sample in self.samples if at >= since]
        samples.extend(overdue)
        if len(samples) < MIN_SAMPLES:
            return 0
        weights = [1 / sample.variance for sample in samples]
        mean = statistics.fmean((sample.excess for sample in samples), weights)
        error = 1 / math.sqrt(sum(weights))
        return mean if mean >= MIN_ERRORS * error else 0


def has_typical_time(step: Step) -> bool:
    """
    Return whether the run times of a step depend on the worker alone.

    The members of a gang wait for each other, and a best-effort task for the
    others at its worker.
    """
    return not (step.long_running or step.gang or step.best_effort)


def compare_siblings(
    record: StepRecord, instance: WorkerInstance, elapsed: float
) -> Sample | None:
    """Compare a run time with those of its step elsewhere, if known."""
    others = [
        each.elapsed for each in record.times if each.instance != instance
    ]
    if len(others) >= MIN_OTHERS:
        typical = statistics.median(others)
    elif record.typical:
        typical = record.typical
    else:
        return None
    return Sample(math.log(elapsed / typical), SIBLING_VARIANCE)


def own_times(
    times: Sequence[RunTime],
) -> Iterator[tuple[WorkerInstance, float]]:
    """Yield each worker with the median of its run times."""
    by_worker: dict[WorkerInstance, list[int]] = {}
    for instance, elapsed in times:
        by_worker.setdefault(instance, []).append(elapsed)
    for instance, own in by_worker.items():
        yield instance, statistics.median(own)
