"""
tests.test_demand_cycle
=======================

How the cycle of a service's demand is learned, and its next peak forecast.
"""

import random
from collections import Counter
from typing import NamedTuple

import pytest

from cyclamenshift.decisions.overload.demand_cycle import (
    ADVANCE_PERCENT,
    DETECTION_MS,
    LEAD_MS,
    MAX_GAP_MS,
    MAX_MISSES,
    MAX_PEAKS,
    MAX_TOLERANCE_MS,
    PERCENT,
    Change,
    DemandCycle,
    CycleEvent,
)
from cyclamenshift.decisions.schedules import work_of
from cyclamenshift.job import NO_RESOURCES, Resources

from .builders import Turn, arrivals_in_turns, turns_of, uneven_job

#: The load is replayed with these seeds.
SEEDS = range(10)
#: The interval between two forecasts, ms.
INTERVAL_MS = 50
#: Four services with four peaks each, and the peaks of one of them.
TURNS = turns_of(('billing', 'desk', 'lifts', 'portal'), 4)
PEAKS = [turn for turn in TURNS if turn.service == 'desk']
#: The longest time for which VMs are asked for in vain, ms.
MAX_ASKED_MS = LEAD_MS + MAX_TOLERANCE_MS + DETECTION_MS


class Noted(NamedTuple):
    """An event, noted at ``at`` ms."""

    at: int
    event: CycleEvent


class Replay:
    """A load that is replayed to a new ``DemandCycle``."""

    def __init__(self, seed: int, turns: list[Turn]) -> None:
        """Prepare to replay the jobs of ``desk``."""
        self.cycle = DemandCycle(0)
        self.arrivals = [
            arrival
            for arrival in arrivals_in_turns(seed, turns)
            if arrival.service == 'desk'
        ]
        self.noted: list[Noted] = []
        self.forecasts: dict[int, Resources] = {}

    def run(self, until: int) -> 'Replay':
        """Replay the load until *until*, ms."""
        for now in range(0, until, INTERVAL_MS):
            while self.arrivals and self.arrivals[0].at <= now:
                arrival = self.arrivals.pop(0)
                self.cycle.record(work_of(arrival.job), arrival.at)
            self.forecasts[now] = self.cycle.forecast(now)
            self.noted.extend(
                Noted(now, event) for event in self.cycle.take_events()
            )
        return self

    def count(self, change: Change) -> int:
        """Return how often *change* was noted."""
        return sum(noted.event.change is change for noted in self.noted)

    def asked_ms(self) -> int:
        """Return for how long VMs were asked for."""
        asked = sum(map(any, self.forecasts.values()))
        return asked * INTERVAL_MS


@pytest.mark.parametrize('seed', SEEDS)
def test_third_peak_is_forecast(seed: int) -> None:
    """A day may have only three peaks, and VMs came 1.5 s after each onset."""
    replay = Replay(seed, TURNS).run(TURNS[-1].end)
    forecasts = [
        noted.event.onset
        for noted in replay.noted
        if noted.event.change is Change.forecast
    ]
    assert len(forecasts) == 2
    for onset, peak in zip(forecasts, PEAKS[2:], strict=True):
        assert abs(onset - peak.start) <= MAX_TOLERANCE_MS
    assert replay.count(Change.came) == 2
    assert not replay.count(Change.missed)


@pytest.mark.parametrize('seed', SEEDS)
def test_vms_are_asked_for_before_the_peak(seed: int) -> None:
    """A part of the peak's demand is forecast a move ahead of its onset."""
    replay = Replay(seed, TURNS)
    work = sum(work_of(arrival.job).cpu for arrival in replay.arrivals)
    height = work / sum(peak.end - peak.start for peak in PEAKS)
    replay.run(TURNS[-1].end)
    for peak in PEAKS[2:]:
        asked = [
            now
            for now, forecast in replay.forecasts.items()
            if now in range(peak.start - 5_000, peak.start) and any(forecast)
        ]
        assert LEAD_MS - 600 <= peak.start - asked[0] <= LEAD_MS + 600
        share = replay.forecasts[asked[-1]].cpu / height * PERCENT
        assert 0.7 * ADVANCE_PERCENT <= share <= 1.3 * ADVANCE_PERCENT


@pytest.mark.parametrize('seed', SEEDS)
def test_missed_peak_withdraws_the_demand(seed: int) -> None:
    """A peak that does not come must not hold VMs that others need."""
    missed = PEAKS[2]
    turns = [turn for turn in TURNS if turn.start < missed.start]
    turns.append(Turn('billing', missed.start, missed.start + 60_000))
    replay = Replay(seed, turns).run(turns[-1].end)
    assert replay.count(Change.missed) == 1
    assert not replay.count(Change.came)
    assert 0 < replay.asked_ms() <= MAX_ASKED_MS + INTERVAL_MS


@pytest.mark.parametrize('rate', [1, 5, 20, 60])
@pytest.mark.parametrize('seed', range(3))
def test_steady_flow_has_no_forecast(seed: int, rate: int) -> None:
    """Chance clusters of jobs looked like peaks."""
    numbers = random.Random(seed)
    cycle = DemandCycle(0)
    now: float = 0
    while now < 120_000:
        now += numbers.expovariate(rate / 1_000)
        cycle.record(work_of(uneven_job(numbers)), round(now))
        assert cycle.forecast(round(now)) == NO_RESOURCES


def random_turns(numbers: random.Random) -> list[Turn]:
    """Return 30 peaks of random length after random pauses."""
    turns = []
    end = 0
    for _number in range(30):
        start = end + round(numbers.uniform(2_000, 30_000))
        end = start + round(numbers.uniform(1_500, 9_000))
        turns.append(Turn('desk', start, end))
    return turns


@pytest.mark.parametrize('seed', SEEDS)
def test_peaks_without_a_cycle_stop_the_forecast(seed: int) -> None:
    """Intervals that agree by chance must not cost VMs again and again."""
    turns = random_turns(random.Random(seed))
    replay = Replay(seed, turns).run(turns[-1].end)
    missed = replay.count(Change.missed)
    came = replay.count(Change.came)
    assert missed <= came + MAX_MISSES
    assert replay.asked_ms() <= (missed + came) * (MAX_ASKED_MS + 1_000)


def test_few_random_intervals_agree() -> None:
    """Forecasts by chance follow one of 20 peaks at most."""
    changes: Counter[Change] = Counter()
    for seed in range(20):
        turns = random_turns(random.Random(seed))
        replay = Replay(seed, turns).run(turns[-1].end)
        changes.update(noted.event.change for noted in replay.noted)
    assert changes[Change.forecast] <= 30


@pytest.mark.parametrize('length', [3_000, 6_500])
def test_interval_is_learned(length: int) -> None:
    """The period belongs to the load; none is set."""
    turns = turns_of(('billing', 'desk', 'lifts'), 4, length)
    replay = Replay(1, turns).run(turns[-1].end)
    learned = [
        noted.event.interval
        for noted in replay.noted
        if noted.event.change is Change.learned
    ]
    assert learned
    for interval in learned:
        assert abs(interval - 3 * length) <= MAX_TOLERANCE_MS


def test_paused_process_starts_empty() -> None:
    """After a pause, a forecast was made from a history with a gap."""
    replay = Replay(1, TURNS).run(PEAKS[2].start - LEAD_MS - 1_000)
    cycle = replay.cycle
    assert cycle.expected
    now = cycle.seen_at + MAX_GAP_MS + 1
    assert cycle.forecast(now) == NO_RESOURCES
    assert not cycle.expected
    assert not cycle.peaks


def test_memory_is_bounded() -> None:
    """A long day leaves no more behind than a short one."""
    turns = turns_of(('billing', 'desk'), 30)
    cycle = Replay(1, turns).run(turns[-1].end).cycle
    assert len(cycle.peaks) == MAX_PEAKS
    assert not cycle.events
