"""
cyclamenshift.decisions.arrivals
================================

The room that the jobs which arrive now will take once they all run.
"""

from collections import deque
from typing import Final

from ..job import NO_RESOURCES, Job, Resources
from .schedules import work_of

#: How far back arrivals are counted, ms: short against a burst, long enough
#: for some jobs.
WINDOW_MS: Final = 800


class Arrivals:
    """The work of the jobs that came lately."""

    def __init__(self) -> None:
        """Have seen no job."""
        self.recent: deque[tuple[int, Resources]] = deque()

    def add(self, job: Job, now: int) -> None:
        """Count a job that came at *now*, monotonic ms."""
        self.recent.append((now, work_of(job)))

    def demand(self, now: int) -> Resources:
        """
        Return the room that is taken if jobs go on coming like this.

        By Little's law: the work that comes in a millisecond is the room
        taken at any moment.
        """
        while self.recent and self.recent[0][0] < now - WINDOW_MS:
            self.recent.popleft()
        work = NO_RESOURCES
        for _at, job_work in self.recent:
            work = work.plus(job_work)
        return Resources(*(part // WINDOW_MS for part in work))
