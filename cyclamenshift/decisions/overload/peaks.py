"""
cyclamenshift.decisions.overload.peaks
======================================

Detects the peaks of a service's demand from the arrivals of its jobs.

Handles demand that changes within a moment between a low and a high level.
Both changes are detected by cumulative sums, so that the detection takes a
number of jobs and not a fixed time, and single jobs cause none.
"""

from typing import Final, NamedTuple

from ...job import NO_RESOURCES, Resources
from ..arrivals import rate_of

#: The resolution of the history, ms.
BUCKET_MS: Final = 250
#: How many jobs beyond the threshold confirm a change.  At four times the
#: level, one of about 10,000 jobs of a steady flow confirms one by chance.
CONFIRMING_JOBS: Final = 4
#: The threshold of a peak, as a multiple of the level outside of peaks, and
#: its minimum, jobs in a bucket.
RISE_RATIO: Final = 4
MIN_THRESHOLD: Final = 0.5
#: The jobs that the buckets outside of peaks may have missed by chance.
UNSEEN_JOBS: Final = 3
#: The part of a peak's level below which it has ended.
FALL_RATIO: Final = 0.5
#: For how many buckets the level must be known, and over how many it is taken.
MIN_LEVEL_BUCKETS: Final = 8
MAX_LEVEL_BUCKETS: Final = 240
#: A peak that lasts longer than this is a new level, ms.
MAX_PEAK_MS: Final = 60_000


class Peak(NamedTuple):
    """
    A peak that has ended.

    ``onset`` is the time of its first job, ``length`` the time to its last
    one, ms.  ``height`` is the demand of the work that arrived in it.
    """

    onset: int
    length: int
    height: Resources


class Level:
    """The number of jobs in a bucket outside of peaks."""

    def __init__(self) -> None:
        """Start without a bucket."""
        self.mean: float = 0
        self.buckets = 0

    def add(self, jobs: int, buckets: int) -> None:
        """Add the *jobs* of consecutive buckets; older ones lose weight."""
        self.buckets = min(self.buckets + buckets, MAX_LEVEL_BUCKETS)
        weight = min(1, buckets / self.buckets)
        self.mean += (jobs / buckets - self.mean) * weight

    def upper_bound(self) -> float:
        """
        Return a mean that is unlikely to be exceeded.

        A mean of 3 / n leaves n buckets empty in 1 of 20 cases.
        """
        return self.mean + UNSEEN_JOBS / max(1, self.buckets)


class Burst:
    """
    Consecutive buckets whose jobs are, or may be, those of a peak.

    ``surplus`` is the number of jobs beyond the threshold of the rise, or
    missing from that of the fall.
    """

    def __init__(self, onset: int) -> None:
        """Start with the first job, at *onset*."""
        self.onset = onset
        self.work = NO_RESOURCES
        self.jobs = 0
        self.buckets = 0
        self.surplus: float = 0
        self.last_job = onset
        self.end = onset

    def add_bucket(self, jobs: int) -> None:
        """Count the *jobs* of a bucket that has ended."""
        self.jobs += jobs
        self.buckets += 1

    def to_peak(self) -> Peak:
        """Return the peak that has ended."""
        length = max(1, self.end - self.onset)
        return Peak(self.onset, length, rate_of(self.work, length))


class PeakDetector:
    """
    Detects the onsets and ends of peaks.

    ``onset`` is the time of the first job of the peak in progress.
    """

    def __init__(self, now: int) -> None:
        """Start without any job."""
        self.level = Level()
        self.bucket_end = now + BUCKET_MS
        self.bucket_jobs = 0
        self.burst: Burst | None = None
        self.onset: int | None = None

    def record(self, work: Resources, now: int) -> None:
        """Record a job that arrived at *now*, after ``advance``."""
        if self.burst is None:
            self.burst = Burst(now)
        burst = self.burst
        burst.work = burst.work.plus(work)
        burst.last_job = now
        self.bucket_jobs += 1
        surplus = burst.surplus + self.bucket_jobs - self._threshold()
        if self.onset is None and surplus >= CONFIRMING_JOBS:
            if self.level.buckets >= MIN_LEVEL_BUCKETS:
                self.onset = burst.onset
                burst.surplus = 0

    def advance(self, now: int) -> Peak | None:
        """Close the buckets before *now*; return the peak that ended."""
        ended = None
        while self.bucket_end <= now:
            ended = self._close_bucket() or ended
            self.bucket_end += BUCKET_MS
        return ended

    def _threshold(self) -> float:
        return max(MIN_THRESHOLD, RISE_RATIO * self.level.upper_bound())

    def _close_bucket(self) -> Peak | None:
        jobs = self.bucket_jobs
        self.bucket_jobs = 0
        if self.burst is None:
            self.level.add(jobs, 1)
            return None
        self.burst.add_bucket(jobs)
        if self.onset is None:
            self._follow_rise(self.burst, jobs)
            return None
        return self._follow_fall(self.burst, jobs)

    def _follow_rise(self, burst: Burst, jobs: int) -> None:
        burst.surplus += jobs - self._threshold()
        is_unknown = self.level.buckets < MIN_LEVEL_BUCKETS
        if is_unknown or burst.surplus <= 0:
            self.level.add(burst.jobs, burst.buckets)
            self.burst = None

    def _follow_fall(self, burst: Burst, jobs: int) -> Peak | None:
        if not burst.surplus:
            burst.end = burst.last_job
        missing = FALL_RATIO * burst.jobs / burst.buckets - jobs
        burst.surplus = max(0, burst.surplus + missing)
        has_ended = burst.surplus >= CONFIRMING_JOBS
        if has_ended or self.bucket_end - burst.onset > MAX_PEAK_MS:
            self.burst = None
            self.onset = None
        if has_ended:
            return burst.to_peak()
        if self.burst is None:
            self.level = Level()
        return None
