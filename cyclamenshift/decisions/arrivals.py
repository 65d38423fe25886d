"""
cyclamenshift.decisions.arrivals
================================

Forecasts resource demand from the rate at which jobs arrive.
"""

from collections import deque
from typing import Final

from ..job import NO_RESOURCES, Job, Resources
from .admission import AMOUNT_LIMIT, TASK_LIMIT
from .overload.run_times import RunTimeModel
from .schedules import work_of

#: The window in which arrivals are counted, ms: short enough to follow a
#: burst, long enough to hold several jobs.
WINDOW_MS: Final = 800
#: The most of a resource that is forecast: what the tasks of one job can have.
MAX_DEMAND: Final = AMOUNT_LIMIT * TASK_LIMIT


class Arrivals:
    """The resource time of recently arrived jobs."""

    def __init__(self, run_times: RunTimeModel | None = None) -> None:
        """Start without any job; *run_times* predicts run times."""
        self.run_times = run_times
        self.recent: deque[tuple[int, Resources]] = deque()

    def add(self, job: Job, now: int) -> Resources:
        """Count a job that arrived at *now*; return its resource time."""
        work = work_of(job, self.run_times)
        self.recent.append((now, work))
        return work

    def demand(self, now: int) -> Resources:
        """
        Return the resources in use if jobs keep arriving at this rate.

        By Little's law, the resource time that arrives per millisecond is
        the amount of resources in use at any moment.
        """
        while self.recent and self.recent[0][0] < now - WINDOW_MS:
            self.recent.popleft()
        work = NO_RESOURCES
        for _at, job_work in self.recent:
            work = work.plus(job_work)
        return rate_of(work, WINDOW_MS)


def rate_of(work: Resources, duration: int) -> Resources:
    """Return the resources in use if *work* arrives in each *duration*, ms."""
    return Resources(*(min(MAX_DEMAND, amount // duration) for amount in work))
