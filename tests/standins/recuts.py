"""
tests.standins.recuts
=====================

Workers that restart under their id and are cut off soon after, or before.
"""

import random
from typing import Final, NamedTuple

import trio

from .race_events import Scenario
from .race_scripts import apply_event
from .restarts import Restart, restart_worker
from .soak_events import SubmitSteps
from .worker_faults import Cut

#: How long after a restart a worker is cut off at most, ms, and how long in
#: many draws: before a report has named the new process.
MAX_DELAY_MS: Final = 3_000
SHORT_DELAY_MS: Final = 150
#: The duration of a cut, ms; the longest lease may expire in it.
CUT_RANGE_MS: Final = (4_000, 16_000)
#: How long a worker is down at most, ms, and the choice of the longest times
#: until it is registered: some of them only after the cut.
MAX_DOWNTIME_MS: Final = 1_000
REGISTRATIONS_MS: Final = (0, 3_000, *CUT_RANGE_MS)
#: How long before the cut a job is submitted, ms: its orders are executed, but
#: no report has told where.  Those after a cut of one way are as well.
LEAD_RANGE_MS: Final = (10, 70)
ONE_WAY_LEAD_RANGE_MS: Final = (-300, 70)
#: The longest run of the tasks of that job, ms, and how many of them run at
#: one worker at most.
MAX_LONG_RUN_MS: Final = 20_000
WORKER_LIMIT: Final = 2


class TimedRestart(NamedTuple):
    """A restart that begins ``at`` ms; its times are those of a ``Restart``."""

    at: int
    downtime: int
    registration_delay: int


class RestartAndCut(NamedTuple):
    """
    A worker restarts, once or more, and is cut off soon after or before.

    ``pick`` chooses the worker, an idle one if it ``prefers_idle``: nobody
    calls that, so its restart is not seen before the next order.  The cut
    begins at ``cut_at`` and lasts ``cut_ms``; all times are in ms, from the
    beginning of the event.
    """

    pick: int
    restarts: tuple[TimedRestart, ...]
    cut_at: int
    cut_ms: int
    one_way: bool
    prefers_idle: bool


def draw_restart_and_cut(rng: random.Random) -> RestartAndCut:
    """Draw a cut before or after a restart, or after the second of two."""
    delay = rng.choice(
        (rng.randrange(SHORT_DELAY_MS), rng.randrange(MAX_DELAY_MS))
    )
    first = _draw_restart(rng, 0)
    second = _draw_restart(rng, first.downtime + delay)
    variant = rng.randrange(6)
    if variant == 0:
        restarts: tuple[TimedRestart, ...] = (first._replace(at=delay),)
        cut_at = 0
    elif variant == 1:
        restarts = (first, second)
        second_up = second.at + second.downtime
        cut_at = second_up + rng.randrange(SHORT_DELAY_MS)
    else:
        restarts = (first,)
        cut_at = first.downtime + delay
    return RestartAndCut(
        rng.randrange(100),
        restarts,
        cut_at,
        rng.randint(*CUT_RANGE_MS),
        one_way=not rng.randrange(3),
        prefers_idle=rng.randrange(4) > 0,
    )


def draw_submission_time(rng: random.Random, event: RestartAndCut) -> int:
    """Draw when to submit a job, ms from the beginning of *event*."""
    lead = ONE_WAY_LEAD_RANGE_MS if event.one_way else LEAD_RANGE_MS
    return max(0, event.cut_at - rng.randint(*lead))


def draw_long_job(rng: random.Random, workers: int) -> SubmitSteps:
    """Draw a job that takes most of the workers, but leaves room elsewhere."""
    count = rng.randint(workers, WORKER_LIMIT * workers - WORKER_LIMIT)
    run_ms = tuple(rng.randint(1, MAX_LONG_RUN_MS) for _ in range(count))
    return SubmitSteps((run_ms,), speculative=False, worker_limit=WORKER_LIMIT)


def _draw_restart(rng: random.Random, at: int) -> TimedRestart:
    downtime = rng.choice((0, rng.randrange(MAX_DOWNTIME_MS)))
    longest = rng.choice(REGISTRATIONS_MS)
    return TimedRestart(at, downtime, rng.randint(longest // 2, longest))


@apply_event.register
async def _restart_and_cut(event: RestartAndCut, scenario: Scenario) -> None:
    workers = scenario.workers()
    if event.prefers_idle:
        workers = _idle_of(workers, scenario) or workers
    if not workers:
        return
    worker_id = workers[event.pick % len(workers)]
    async with trio.open_nursery() as nursery:
        for restart in event.restarts:
            nursery.start_soon(_restart_later, worker_id, restart, scenario)
        nursery.start_soon(_cut_later, worker_id, event, scenario)


async def _restart_later(
    worker_id: str, timed: TimedRestart, scenario: Scenario
) -> None:
    await trio.sleep(timed.at / 1000)
    restart = Restart(worker_id, timed.downtime, timed.registration_delay)
    await restart_worker(scenario.cluster, restart)


async def _cut_later(
    worker_id: str, event: RestartAndCut, scenario: Scenario
) -> None:
    faults = scenario.cluster.workers.faults
    await trio.sleep(event.cut_at / 1000)
    cut = Cut(worker_id, event.one_way)
    faults.cuts.append(cut)
    await trio.sleep(event.cut_ms / 1000)
    faults.heal(cut)


def _idle_of(workers: list[str], scenario: Scenario) -> list[str]:
    """Return those of *workers* that run nothing and are not cut off."""
    sims = scenario.cluster.workers
    return [
        each
        for each in workers
        if not sims.current_instance(each).running
        and not sims.faults.loses_responses(each)
    ]
