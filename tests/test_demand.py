"""
tests.test_demand
=================

The forecast of demand in a scheduler, and the VMs that it gets.
"""

from collections.abc import Sequence

import trio
from trio.testing import MockClock

from cyclamenshift.decisions.arrivals import Arrivals
from cyclamenshift.decisions.overload.demand_cycle import LEAD_MS, Change
from cyclamenshift.job import NO_RESOURCES, Resources
from cyclamenshift.scheduling.demand import DemandForecast

from .builders import Arrival, arrivals_in_turns, job, turns_of
from .standins.jobs import JobCluster
from .standins.sim_worker import now_ms

#: The size of a VM: a peak takes about 12.
SIZE = Resources(32_000, 65_536)
#: Services with three peaks each, and the last one of ``desk``.
TURNS = turns_of(('billing', 'desk', 'lifts', 'portal'), 3)
PEAK = TURNS[9]


class ArrivingLoad:
    """A load that arrives at the scheduler of ``desk``, without running."""

    def __init__(self, cluster: JobCluster, seed: int) -> None:
        """Start now."""
        state = cluster.state(cluster.owner('desk'), 'desk')
        self.demand: DemandForecast = state.demand
        self.start = now_ms()
        arrivals = arrivals_in_turns(seed, TURNS[:9], rate=10)
        self.arrivals: Sequence[Arrival] = [
            arrival for arrival in arrivals if arrival.service == 'desk'
        ]

    async def run(self) -> None:
        """Let the jobs arrive until the last peak is due."""
        for arrival in self.arrivals:
            await self.sleep_until(arrival.at)
            self.demand.add(arrival.job)

    async def sleep_until(self, at: int) -> None:
        """Sleep until *at* ms after the start."""
        delay = self.start + at - now_ms()
        await trio.sleep(max(0, delay) / 1_000)


async def start_load(
    cluster: JobCluster, *, demand_forecast: bool
) -> ArrivingLoad:
    """Return a load for a cluster with one entry VM and VMs to lend."""
    cluster.overload = {'demand_forecast': demand_forecast}
    cluster.add_workers('desk', 2, resources=SIZE)
    cluster.add_workers('portal', 20, resources=SIZE)
    await cluster.start_all(1)
    return ArrivingLoad(cluster, seed=1)


async def test_vms_are_lent_before_a_peak_and_returned(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """VMs came 1.5 s after the first job of a peak that could be foreseen."""
    load = await start_load(job_cluster, demand_forecast=True)
    job_cluster.nursery.start_soon(load.run)
    await load.sleep_until(PEAK.start - LEAD_MS - 1_000)
    before = job_cluster.count_in_pool('desk')
    await load.sleep_until(PEAK.start)
    at_onset = job_cluster.count_in_pool('desk')
    # The peak does not come.
    await load.sleep_until(PEAK.start + 5_000)
    after = job_cluster.count_in_pool('desk')
    assert at_onset >= before + 4
    assert after <= before
    counted = load.demand.peaks_counted.get(
        {'service': 'desk', 'result': str(Change.missed)}
    )
    assert counted == 1


async def test_forecast_is_that_of_the_window_unless_switched_on(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Deployments that do not ask for the forecast are served as before."""
    load = await start_load(job_cluster, demand_forecast=False)
    assert load.demand.cycle is None
    window = Arrivals()
    for arrival in load.arrivals:
        await load.sleep_until(arrival.at)
        load.demand.add(arrival.job)
        window.add(arrival.job, now_ms())
        assert load.demand.expected() == window.demand(now_ms())
    await load.sleep_until(PEAK.start)
    assert load.demand.expected() == window.demand(now_ms())


async def test_new_owner_starts_empty(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The jobs that a new owner loads did not arrive when it loaded them."""
    job_cluster.overload = {'demand_forecast': True}
    job_cluster.add_workers('desk', 2)
    first, _second = await job_cluster.start_all(2)
    owner = job_cluster.owner('desk')
    for number in range(10):
        await job_cluster.submit(first, job(f'job-{number}'))
    job_cluster.kill(owner)
    await job_cluster.wait_until(job_cluster.all_owned)
    successor = job_cluster.owner('desk')
    assert successor != owner
    demand = job_cluster.state(successor, 'desk').demand
    assert demand.expected() == NO_RESOURCES
    assert demand.cycle
    assert not demand.cycle.peaks
    assert demand.cycle.detector.onset is None
