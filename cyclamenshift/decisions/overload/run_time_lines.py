"""
cyclamenshift.decisions.overload.run_time_lines
===============================================

Fits lines through the run times of steps, by the estimates of callers.
"""

import math
from typing import Final, NamedTuple

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
