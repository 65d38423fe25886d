"""
cyclamenshift.decisions.overload.demand_cycle
=============================================

Learns the interval between the peaks of a service, and forecasts the next.

Handles demand that rises in a moment to many times its level, again and
again: a VM takes 1.5 s to move, so the first jobs of a peak wait too long
unless it was asked for before.
"""

import enum
from collections import deque
from collections.abc import Sequence
from itertools import pairwise, takewhile
from typing import Final, NamedTuple

from ...job import NO_RESOURCES, Resources
from .peaks import Peak, PeakDetector

#: How long before a peak its VMs are asked for, ms: a move takes 1,500 ms,
#: and the report and the order up to 200 ms.
LEAD_MS: Final = 1_700
#: The part of a peak's height that is asked for before it, per cent.  The
#: later steps of its first jobs need the rest, after the arrivals are known.
ADVANCE_PERCENT: Final = 70
PERCENT: Final = 100
#: How far the onsets of equal intervals may be off, as a part of the interval
#: and with its bounds, ms.  The upper bound limits the cost of a forecast.
TOLERANCE_PARTS: Final = 16
MIN_TOLERANCE_MS: Final = 400
MAX_TOLERANCE_MS: Final = 1_000
#: How long a peak may take to be detected after its first job, ms.
DETECTION_MS: Final = 500
#: For how long after the onset the height is forecast, ms: until the window
#: of the arrivals knows it.
HOLD_MS: Final = 1_000
#: Shorter bursts are no part of a cycle, ms.
MIN_PEAK_MS: Final = 1_000
#: Peaks are alike if lengths and heights differ by at most this factor.
ALIKE_RATIO: Final = 1.5
#: How many peaks are kept.
MAX_PEAKS: Final = 6
#: The intervals that must agree, one more after each miss, and the misses
#: beyond the onsets that came after which nothing is forecast any more.
MIN_INTERVALS: Final = 2
MAX_MISSES: Final = 3
#: A history with a longer gap is dropped, ms: the process was paused, and
#: does not know what arrived meanwhile.
MAX_GAP_MS: Final = 5_000


class Change(enum.StrEnum):
    """A change of what is known about the cycle."""

    learned = 'learned'
    forecast = 'forecast'
    came = 'came'
    missed = 'missed'


class CycleEvent(NamedTuple):
    """A change; ``interval`` and ``onset`` are those forecast, ms."""

    change: Change
    interval: int
    onset: int


class Expectation(NamedTuple):
    """
    The onset of the next peak.

    The peak is ``missed_at`` unless it was detected before.
    """

    interval: int
    onset: int
    tolerance: int
    height: Resources

    @property
    def requested_at(self) -> int:
        """From when VMs are asked for."""
        return self.onset - LEAD_MS

    @property
    def missed_at(self) -> int:
        """When the demand is withdrawn unless the peak has come."""
        return self.onset + self.tolerance + DETECTION_MS


class DemandCycle:
    """The cycle of one service's demand; times are monotonic, ms."""

    def __init__(self, now: int) -> None:
        """Start without any job at *now*."""
        self.detector = PeakDetector(now)
        self.seen_at = now
        self.peaks: deque[Peak] = deque(maxlen=MAX_PEAKS)
        self.expected: Expectation | None = None
        #: The height of the peak that came as forecast, and until when it is
        #: part of the forecast.
        self.confirmed = NO_RESOURCES
        self.confirmed_until = now
        self.misses = 0
        self.is_learned = False
        self.is_requested = False
        self.events: list[CycleEvent] = []

    def record(self, work: Resources, now: int) -> None:
        """Record the resource time of a job that arrived at *now*."""
        self._advance(now)
        had_onset = self.detector.onset is not None
        self.detector.record(work, now)
        if self.detector.onset is not None and not had_onset:
            self._check_onset(self.detector.onset)

    def forecast(self, now: int) -> Resources:
        """Return the demand that is to be met for the next peak."""
        self._advance(now)
        if now < self.confirmed_until:
            return self.confirmed
        expected = self.expected
        if expected is None or now < expected.requested_at:
            return NO_RESOURCES
        return Resources(
            *(amount * ADVANCE_PERCENT // PERCENT for amount in expected.height)
        )

    def time_until_change(self, now: int) -> int | None:
        """Return in what time the forecast changes by itself, ms."""
        times = [self.confirmed_until]
        if self.expected:
            times += [self.expected.requested_at, self.expected.missed_at]
        return min((at - now for at in times if at > now), default=None)

    def take_events(self) -> list[CycleEvent]:
        """Return the events since the previous call."""
        events = self.events
        self.events = []
        return events

    def _advance(self, now: int) -> None:
        if now - self.seen_at > MAX_GAP_MS:
            self._forget(now)
        self.seen_at = now
        ended = self.detector.advance(now)
        if ended and ended.length >= MIN_PEAK_MS:
            self.peaks.append(ended)
            self._learn()
        expected = self.expected
        if expected and now >= expected.missed_at:
            self._miss(expected)
        elif (
            expected and now >= expected.requested_at and not self.is_requested
        ):
            self.is_requested = True
            self._note(expected, Change.forecast)

    def _forget(self, now: int) -> None:
        self.detector = PeakDetector(now)
        self.peaks.clear()
        self.expected = None
        self.is_learned = False

    def _check_onset(self, onset: int) -> None:
        """Confirm the forecast if the peak with this *onset* was expected."""
        expected = self.expected
        if expected and abs(onset - expected.onset) <= expected.tolerance:
            self.misses = max(0, self.misses - 1)
            self.confirmed = expected.height
            self.confirmed_until = onset + HOLD_MS
            self._end_expectation(expected, Change.came)

    def _learn(self) -> None:
        """Expect the next peak if the intervals between the last agree."""
        if self.expected and self.is_requested:
            self._miss(self.expected)
        was_learned = self.is_learned
        agreeing = _agreeing_intervals(self.peaks)
        needed = MIN_INTERVALS + self.misses
        self.is_learned = self.misses < MAX_MISSES and (
            len(agreeing) >= needed or self._may_follow_one_interval()
        )
        if not self.is_learned:
            self.expected = None
            return
        interval = sum(agreeing) // len(agreeing)
        last, before = self.peaks[-1], self.peaks[-2]
        self.expected = Expectation(
            interval=interval,
            onset=last.onset + interval,
            tolerance=_tolerance(interval),
            height=Resources(*map(min, last.height, before.height)),
        )
        self.is_requested = False
        if not was_learned:
            self._note(self.expected, Change.learned)

    def _may_follow_one_interval(self) -> bool:
        """
        Return whether the only two peaks are alike enough to expect a third.

        A day may have no more than three.  A VM that is lent in vain costs
        less than half of what one that is lent in time saves.
        """
        if self.misses or len(self.peaks) != MIN_INTERVALS:
            return False
        first, second = self.peaks
        pairs = zip(
            (first.length, *first.height),
            (second.length, *second.height),
            strict=True,
        )
        return all(max(pair) <= ALIKE_RATIO * min(pair) for pair in pairs)

    def _miss(self, expected: Expectation) -> None:
        self.misses += 1
        self._end_expectation(expected, Change.missed)

    def _end_expectation(self, expected: Expectation, change: Change) -> None:
        self._note(expected, change)
        self.expected = None

    def _note(self, expected: Expectation, change: Change) -> None:
        self.events.append(
            CycleEvent(change, expected.interval, expected.onset)
        )


def _agreeing_intervals(peaks: Sequence[Peak]) -> list[int]:
    """Return the last intervals that are equal, the latest first."""
    intervals = [
        later.onset - earlier.onset
        for later, earlier in pairwise(reversed(peaks))
    ]
    return list(
        takewhile(
            lambda interval: (
                abs(interval - intervals[0]) <= _tolerance(intervals[0])
            ),
            intervals,
        )
    )


def _tolerance(interval: int) -> int:
    return min(
        MAX_TOLERANCE_MS, max(MIN_TOLERANCE_MS, interval // TOLERANCE_PARTS)
    )
