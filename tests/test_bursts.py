"""
tests.test_bursts
=================

The forecast of demand at the onset and the end of a burst.
"""

import statistics
from functools import cache

from cyclamenshift.decisions.arrivals import WINDOW_MS, Arrivals
from cyclamenshift.decisions.overload.bursts import BurstArrivals
from cyclamenshift.decisions.schedules import work_of
from cyclamenshift.job import NO_RESOURCES, Resources

from .builders import Arrival, arrivals_in_turns, job, step, turns_of

#: The load is replayed with these seeds.
SEEDS = range(20)
#: A second peak of 20 jobs a second, between two quiet times.
TURNS = turns_of(('desk', 'billing'), 2)
PEAK = TURNS[2]
#: The forecast before and the one that is tested.
KINDS = {'window': Arrivals, 'burst': BurstArrivals}
#: The interval between two forecasts, ms.
INTERVAL_MS = 10


@cache
def replay(kind: str, seed: int) -> dict[int, int]:
    """Return the forecasts of CPU by the time since the start of ``PEAK``."""
    arrivals = KINDS[kind]()
    waiting = jobs_of(seed)
    forecasts = {}
    for now in range(0, TURNS[-1].end, INTERVAL_MS):
        while waiting and waiting[0].at <= now:
            arrival = waiting.pop(0)
            arrivals.add(arrival.job, arrival.at)
        forecasts[now - PEAK.start] = arrivals.demand(now).cpu
    return forecasts


def jobs_of(seed: int) -> list[Arrival]:
    """Return the jobs of ``desk``."""
    return [
        arrival
        for arrival in arrivals_in_turns(seed, TURNS)
        if arrival.service == PEAK.service
    ]


def demand_of(seed: int) -> float:
    """Return the mean demand of the jobs that arrive in ``PEAK``."""
    span = range(PEAK.start, PEAK.end)
    works = [
        work_of(arrival.job).cpu
        for arrival in jobs_of(seed)
        if arrival.at in span
    ]
    return sum(works) / len(span)


def times_of(kind: str, part: float) -> tuple[float, float]:
    """Return when *part* of a peak's demand is forecast, first and last, ms."""
    rises = []
    falls = []
    length = PEAK.end - PEAK.start
    for seed in SEEDS:
        known = part * demand_of(seed)
        forecasts = replay(kind, seed).items()
        rises.append(
            min(at for at, cpu in forecasts if cpu >= known and at > 0)
        )
        falls.append(
            min(at for at, cpu in forecasts if cpu < known and at > length)
            - length
        )
    return statistics.mean(rises), statistics.mean(falls)


def test_half_of_a_burst_is_known_sooner() -> None:
    """The window of 800 ms cost a seventh of the slack of a burst's jobs."""
    before, _fall = times_of('window', 0.5)
    now, _fall = times_of('burst', 0.5)
    assert now <= before - 150


def test_most_of_a_burst_is_known_sooner() -> None:
    """Most of the VMs of a burst were asked for after half a second."""
    before, _fall = times_of('window', 0.75)
    now, _fall = times_of('burst', 0.75)
    assert now <= before - 150


def test_forecast_falls_sooner_after_the_last_job() -> None:
    """A pool was counted as busy for 500 ms after the end of a burst."""
    _rise, before = times_of('window', 0.25)
    _rise, now = times_of('burst', 0.25)
    assert now <= before - 100


def test_forecast_of_a_burst_is_bounded() -> None:
    """Short windows could ask for many times the VMs that are needed."""
    for seed in SEEDS:
        highest = max(replay('burst', seed).values())
        assert highest <= 1.75 * max(replay('window', seed).values())


def test_one_large_job_raises_no_more_than_before() -> None:
    """One large job in a short window looked like a burst of large jobs."""
    arrivals = BurstArrivals()
    for number in range(10):
        arrivals.add(job(), number * WINDOW_MS)
    now = 10 * WINDOW_MS
    large = job(steps=(step(tasks=100, estimate=1_000),))
    work = arrivals.add(large, now)
    assert arrivals.demand(now).cpu <= work.cpu / WINDOW_MS + 1


def test_new_forecast_is_that_of_the_window() -> None:
    """The mean work of the first few jobs is not known well enough."""
    burst, plain = BurstArrivals(), Arrivals()
    for number in range(3):
        arrival = job(steps=(step(estimate=1_000 * number),))
        burst.add(arrival, number)
        plain.add(arrival, number)
    assert plain.demand(3) != NO_RESOURCES
    assert burst.demand(3) == plain.demand(3)


def test_memory_is_bounded() -> None:
    """What arrived before the windows and the sample is forgotten."""
    arrivals = BurstArrivals()
    for now in range(2_000):
        arrivals.add(job(steps=(step(resources=Resources(1, 1)),)), now)
        arrivals.demand(now)
    assert len(arrivals.recent) <= WINDOW_MS + 1
    assert len(arrivals.sample) <= 64
