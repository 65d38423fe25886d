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
from typing import Final, NamedTuple, TypeAlias

from ..admission import DURATION_LIMIT

#: The most pairs of queue and image that are kept: several times what a
#: service runs at a time, in less than 1 MB.
MAX_PAIRS: Final = 256
#: The factor by which the weight of the earlier steps falls with each step.
#: About the last 40 steps count: enough for a line through random errors, and
#: few enough to follow a new version of an image.
FADING: Final = 0.975
#: The number of pseudo-observations on the identity line, and their variance
#: around the mean of the logarithms of the estimates.
PRIOR_STEPS: Final = 3
PRIOR_VARIANCE: Final = 0.81
#: How much closer to the run times predictions must have been than estimates
#: to be used, as a mean difference of the absolute errors of the logarithm.
#: Estimates that are right to within a tenth are left alone.
MIN_GAIN: Final = 0.1
#: The change of a prediction, as a difference of logarithms, from which on
#: schedules are computed again: a tenth.
NOTICEABLE_CHANGE: Final = 0.1
#: The largest residual variance that the mean run time is derived from, which
#: makes it 1.65 times the typical one; a larger one is due to a few outliers.
MAX_VARIANCE: Final = 1
#: The number of steps from which on the spread of the run times is known.
MIN_STEPS_OF_SPREAD: Final = 8
#: The upper bound of run times: so many standard deviations and at least so
#: many times the typical one.  About one run in a thousand takes longer.
UPPER_DEVIATIONS: Final = 3
MIN_UPPER_FACTOR: Final = 3

#: A queue and an image.
PairName: TypeAlias = tuple[str, str]


class Line(NamedTuple):
    """
    The logarithm of the typical run time by that of the estimate.

    ``offset`` is their difference at ``center``, ``variance`` the residual
    variance around the line.
    """

    center: float = 0
    offset: float = 0
    slope: float = 1
    variance: float = 0

    def at(self, log_estimate: float) -> float:
        """Return the logarithm of the typical run time."""
        distance = log_estimate - self.center
        return self.center + self.offset + self.slope * distance

    def differs_from(self, other: 'Line') -> bool:
        """Return whether predictions by *other* are noticeably different."""
        deviation = math.sqrt(PRIOR_VARIANCE)
        return any(
            abs(self.at(point) - other.at(point)) > NOTICEABLE_CHANGE
            for point in (self.center - deviation, self.center + deviation)
        )


#: Predicts the estimate itself.
IDENTITY: Final = Line()


class Moments(NamedTuple):
    """
    The faded sums over steps of one pair.

    ``estimate`` is the logarithm of the estimate, ``ratio`` that of the run
    time over the estimate, and ``common`` their product; ``estimate_error`` and
    ``line_error`` are the absolute errors of the estimates and of the line that
    was known before each step.
    """

    weight: float = 0
    estimate: float = 0
    ratio: float = 0
    estimate_square: float = 0
    common: float = 0
    ratio_square: float = 0
    estimate_error: float = 0
    line_error: float = 0

    def with_step(self, step: 'Moments') -> 'Moments':
        """Return the sums after another *step*."""
        return Moments(
            *(
                FADING * earlier + new
                for earlier, new in zip(self, step, strict=True)
            )
        )

    @property
    def improves(self) -> bool:
        """Whether the line has been clearly better than the estimates."""
        gain = self.estimate_error - self.line_error
        return gain > MIN_GAIN * (self.weight + PRIOR_STEPS)

    def fit(self) -> Line:
        """
        Return the regression line, shrunk towards the identity line.

        Random errors of estimates make it flatter than the identity line; it
        is never steeper, nor does it fall.
        """
        center = self.estimate / self.weight
        mean = self.ratio / self.weight
        spread = max(0, self.estimate_square - self.estimate * center)
        common = self.common - self.estimate * mean
        known = self.weight + PRIOR_STEPS
        tilt = common / (spread + PRIOR_STEPS * PRIOR_VARIANCE)
        tilt = min(0, max(-1, tilt))
        residual = self.ratio_square - self.ratio * mean
        residual += tilt * (tilt * spread - 2 * common)
        return Line(
            center,
            self.ratio / known,
            1 + tilt,
            min(MAX_VARIANCE, max(0, residual / known)),
        )


class Pair:
    """
    What is known of one queue and image.

    ``estimated`` are the moments of the steps with an estimate, ``line`` the
    one that predictions follow, and ``fitted`` the line through the moments.
    ``every`` are those of all steps, with the logarithm of the run time as
    ``ratio``.  ``announced`` and ``announced_typical`` are what predictions
    were when they last changed noticeably.
    """

    def __init__(self) -> None:
        """Start without any step."""
        self.estimated = Moments()
        self.every = Moments()
        self.line = IDENTITY
        self.fitted = IDENTITY
        self.announced = IDENTITY
        self.announced_typical: float = 0

    def add(self, estimate: int, mean: float, variance: float) -> None:
        """Count a step by the *mean* and *variance* of the logarithms."""
        self.every = self.every.with_step(
            Moments(1, ratio=mean, ratio_square=mean * mean + variance)
        )
        if not estimate:
            return
        log_estimate = math.log(estimate)
        ratio = mean - log_estimate
        self.estimated = self.estimated.with_step(
            Moments(
                1,
                log_estimate,
                ratio,
                log_estimate * log_estimate,
                log_estimate * ratio,
                ratio * ratio + variance,
                abs(ratio),
                abs(mean - self.fitted.at(log_estimate)),
            )
        )
        self.fitted = self.estimated.fit()
        self.line = self.fitted if self.estimated.improves else IDENTITY

    def line_for(self, estimate: int) -> Line:
        """Return the line that predicts the run time of *estimate*."""
        if estimate or not self.every.weight:
            return self.line
        typical = self.every.ratio / self.every.weight
        squares = self.every.ratio_square / self.every.weight
        variance = max(0, squares - typical * typical)
        return Line(0, typical, 0, min(MAX_VARIANCE, variance))

    def weight_for(self, estimate: int) -> float:
        """Return how many steps the prediction for *estimate* is based on."""
        return self.estimated.weight if estimate else self.every.weight

    def announce(self) -> bool:
        """Return whether predictions have changed noticeably."""
        has_others = self.every.weight > self.estimated.weight
        typical = self.line_for(0).offset if has_others else 0
        moved = abs(typical - self.announced_typical) > NOTICEABLE_CHANGE
        if not moved and not self.line.differs_from(self.announced):
            return False
        self.announced = self.line
        self.announced_typical = typical
        return True


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
