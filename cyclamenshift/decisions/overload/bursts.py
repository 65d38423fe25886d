"""
cyclamenshift.decisions.overload.bursts
=======================================

Forecasts resource demand from arrivals, by short windows at sudden changes.

Handles demand that rises to many times its level within a moment: the window
of ``Arrivals`` needs 800 ms to see all of it, half of what a move of a VM
takes.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from ...job import NO_RESOURCES, Job, Resources
from ..arrivals import WINDOW_MS, Arrivals, rate_of
from .run_times import RunTimeModel

#: The windows that are looked at besides ``WINDOW_MS``, ms.  One of 100 ms
#: sees a burst of 20 jobs a second 60 ms sooner, but raises the highest
#: forecast in the burst from 2.1 to 2.5 times the demand.
SHORT_WINDOWS_MS: Final = (400, 200)
#: The standard errors by which the number of jobs in a short window may be too
#: high.  One job counts nothing then, and two count as 0.6 jobs.
RISE_ERRORS: Final = 1
#: The standard errors by which a short window must be below the rate before
#: arrivals are taken to have stopped.  About 2 % of the gaps in a steady flow
#: are that long.
FALL_ERRORS: Final = 3.9
#: From how many jobs the mean work of a job is taken, at most and at least.
SAMPLE_JOBS: Final = 64
MIN_SAMPLE_JOBS: Final = 4


class BurstArrivals(Arrivals):
    """The resource time of recent jobs, and that of a sample of jobs."""

    def __init__(self, run_times: RunTimeModel | None = None) -> None:
        """Start without any job; *run_times* predicts run times."""
        super().__init__(run_times)
        self.sample: deque[Resources] = deque(maxlen=SAMPLE_JOBS)

    def add(self, job: Job, now: int) -> Resources:
        """Count a job that arrived at *now*; return its resource time."""
        work = super().add(job, now)
        self.sample.append(work)
        return work

    def demand(self, now: int) -> Resources:
        """
        Return the resources in use if jobs keep arriving at this rate.

        A short window with nearly no jobs replaces the longer ones.  One with
        many jobs raises the forecast by their number and the mean work of a
        job, because the sizes of a few jobs say little.
        """
        demand = super().demand(now)
        job_count = len(self.recent)
        for window in SHORT_WINDOWS_MS:
            works = self._since(now - window)
            if _has_stopped(len(works), job_count * window / WINDOW_MS):
                demand = rate_of(_total(works), window)
            bound = self._lower_bound(len(works), window)
            demand = Resources(*map(max, demand, bound))
        return demand

    def _since(self, start: int) -> list[Resources]:
        return [work for at, work in self.recent if at >= start]

    def _lower_bound(self, job_count: int, window: int) -> Resources:
        """Return the least demand that explains the jobs of a window."""
        certain = job_count - RISE_ERRORS * math.sqrt(job_count)
        if certain <= 0 or len(self.sample) < MIN_SAMPLE_JOBS:
            return NO_RESOURCES
        factor = certain / len(self.sample)
        work = _total(self.sample)
        return rate_of(
            Resources(*(int(amount * factor) for amount in work)), window
        )


def _has_stopped(job_count: int, expected: float) -> bool:
    """Return whether *job_count* is too low for a flow of *expected* jobs."""
    # The square root of a Poisson number has a standard error of 1/2.
    drop = math.sqrt(expected) - math.sqrt(job_count)
    return 2 * drop >= FALL_ERRORS


def _total(works: Iterable[Resources]) -> Resources:
    """Return the sum of *works*."""
    summed = NO_RESOURCES
    for work in works:
        summed = summed.plus(work)
    return summed
