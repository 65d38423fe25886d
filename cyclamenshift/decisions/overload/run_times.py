"""
cyclamenshift.decisions.overload.run_times
==========================================

Learns how actual run times relate to the estimates of callers.

The load that it handles: estimates that are wrong at random by a factor of two
or more, so that jobs with little time left wait behind others.
"""

import math
import statistics
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, TypeAlias

from ..admission import DURATION_LIMIT
from .run_time_lines import IDENTITY, Line, Pair

#: The most pairs of queue and image that are kept: several times what a
#: service runs at a time, in less than 1 MB.
MAX_PAIRS: Final = 256
#: The number of steps from which on the spread of the run times is known.
MIN_STEPS_OF_SPREAD: Final = 8
#: The upper bound of run times: so many standard deviations and at least so
#: many times the typical one.  About one run in a thousand takes longer.
UPPER_DEVIATIONS: Final = 3
MIN_UPPER_FACTOR: Final = 3
#: A queue and an image.
PairName: TypeAlias = tuple[str, str]


class RunTimeModel:
    """
    Predicts run times by queue, image and estimate.

    Where predictions have not been clearly better than the estimates, they
    are the estimates.  ``revision`` grows when predictions change noticeably.
    """

    def __init__(self) -> None:
        """Start without any pair."""
        #: The least recently used one is first.
        self.pairs: dict[PairName, Pair] = {}
        self.revision = 0

    def record(
        self, queue: str, image: str, estimate: int, *actual: int
    ) -> None:
        """
        Count the *actual* run times of the tasks of one step, ms.

        The error of an estimate is common to the tasks of its step, so they
        are one observation.
        """
        logs = [
            math.log(min(max(1, run_time), DURATION_LIMIT))
            for run_time in actual
        ]
        pair = self._use(queue, image) or Pair()
        self.pairs[queue, image] = pair
        if len(self.pairs) > MAX_PAIRS:
            self.pairs.pop(next(iter(self.pairs)))
        pair.add(estimate, statistics.fmean(logs), statistics.pvariance(logs))
        self.revision += pair.announce()

    @contextmanager
    def order_kept(self) -> Iterator[None]:
        """Let the predictions within not count as uses of their pairs."""
        pairs = self.pairs.copy()
        try:
            yield
        finally:
            self.pairs = pairs

    def predict(self, queue: str, image: str, estimate: int) -> int:
        """
        Return the typical run time of a task, ms: the median.

        An *estimate* of 0 is none; without any run time it remains 0.
        """
        line = self._line(queue, image, estimate)
        return _duration(line, estimate, line.at(_log(estimate)))

    def predict_mean(self, queue: str, image: str, estimate: int) -> int:
        """Return the mean run time of tasks, ms, which adds up to their sum."""
        line = self._line(queue, image, estimate)
        log_mean = line.at(_log(estimate)) + line.variance / 2
        return _duration(line, estimate, log_mean)

    def predict_longest(
        self, queue: str, image: str, estimate: int
    ) -> int | None:
        """Return a run time that few tasks exceed, ms, None if unknown."""
        line = self._line(queue, image, estimate)
        pair = self.pairs.get((queue, image))
        known = pair.weight_for(estimate) if pair else 0
        if line is IDENTITY or known < MIN_STEPS_OF_SPREAD:
            return None
        margin = max(
            math.log(MIN_UPPER_FACTOR),
            UPPER_DEVIATIONS * math.sqrt(line.variance),
        )
        return _duration(line, estimate, line.at(_log(estimate)) + margin)

    def _line(self, queue: str, image: str, estimate: int) -> Line:
        pair = self._use(queue, image)
        return pair.line_for(estimate) if pair else IDENTITY

    def _use(self, queue: str, image: str) -> Pair | None:
        """Return a pair and mark it as the most recently used one."""
        pair = self.pairs.pop((queue, image), None)
        if pair is not None:
            self.pairs[queue, image] = pair
        return pair


def _log(estimate: int) -> float:
    return math.log(max(1, estimate))


def _duration(line: Line, estimate: int, log_run_time: float) -> int:
    """Return a run time, ms; the identity line gives the exact estimate."""
    if line is IDENTITY:
        return estimate
    longest = math.log(DURATION_LIMIT)
    return max(1, round(math.exp(min(log_run_time, longest))))
