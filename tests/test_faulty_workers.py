"""
tests.test_faulty_workers
=========================

Schedulers beside workers that fail, or are slow, and report good health.
"""

import logging
import random
from typing import Final

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.overload.worker_states import Rank
from cyclamenshift.job import Job, JobState, RunOutcome

from .builders import mixed_jobs
from .standins.jobs import JobCluster
from .standins.sim_worker import SimWorker, now_ms

#: A seventh of the workers are faulty for that long, s, as on the deployment
#: with uneven demand, after the pool has run for a while.
WORKERS: Final = 14
FAULTY_WORKERS: Final = 2
FAULT_S: Final = 6.5
WARM_UP_S: Final = 3
#: Jobs a second, which fill about three quarters of the pool.
JOB_RATE: Final = 4
JOBS: Final = 50
#: How many of the jobs always fail, where some do.
FAILING_JOBS: Final = 16
#: Within this time a worker that takes five times as long has to be found, ms:
#: a run of up to 1.8 s that it starts has to take three times as long.
DETECTION_MS: Final = 8_000


class Load:
    """
    A stream of jobs at a pool, the first of whose workers are faulty.

    It has ``count`` jobs, and the first ``failing_jobs`` always fail.
    """

    def __init__(
        self, cluster: JobCluster, count: int = JOBS, failing_jobs: int = 0
    ) -> None:
        """Create the pool."""
        self.cluster = cluster
        self.count = count
        self.failing_jobs = failing_jobs
        self.jobs: list[Job] = []
        self.broken_at = 0
        self.submitted_at = 0
        cluster.add_workers('desk', WORKERS)
        workers = list(cluster.workers.instances.values())
        self.faulty: list[SimWorker] = workers[:FAULTY_WORKERS]

    async def run(self, slowdown: int = 0) -> None:
        """
        Submit the jobs and wait for the end of each.

        The faulty workers fail all runs for a while, or become slow.
        """
        await self.cluster.start_all(2)
        self.cluster.nursery.start_soon(self._submit_all)
        await trio.sleep(WARM_UP_S)
        self.broken_at = now_ms()
        for sim in self.faulty:
            sim.fails_all = not slowdown
            sim.slowdown = slowdown or 1
        await trio.sleep(FAULT_S)
        for repaired in self.faulty:
            repaired.fails_all = False
        await self.cluster.wait_until(lambda: len(self.jobs) == self.count)
        for submitted in self.jobs:
            while not await self._is_final(submitted):
                await trio.sleep(0.1)

    def count_failed_runs(self) -> int:
        """Return how many runs have failed."""
        return sum(
            end.outcome is RunOutcome.failed
            for _at, _worker, end in self.cluster.workers.ends
        )

    def count_starts_at_slow(self) -> int:
        """
        Return how many runs slow workers got since they may be known.

        Once no more jobs come, VMs leave the pool, and with them the right to
        eject others.
        """
        ids = {sim.worker.worker_id for sim in self.faulty}
        known = range(self.broken_at + DETECTION_MS, self.submitted_at)
        return sum(
            started.worker_id in ids and started.started_at in known
            for started in self.cluster.workers.started_runs
        )

    async def _is_final(self, submitted: Job) -> bool:
        state = await self.cluster.state_of(submitted)
        assert isinstance(state, JobState)
        return state.final

    async def _submit_all(self) -> None:
        cluster = self.cluster
        entry = cluster.entry_not_owning('desk')
        jobs = mixed_jobs(self.count, random.Random(1))
        cluster.workers.failing_jobs.update(
            new.job_id for new, _run_ms in jobs[: self.failing_jobs]
        )
        for new, run_ms in jobs:
            cluster.workers.run_ms.update(run_ms)
            accepted = entry.kernel.clock.wall_time()
            await cluster.submit(entry, new._replace(accepted=accepted))
            self.jobs.append(new)
            await trio.sleep(1 / JOB_RATE)
        self.submitted_at = now_ms()


def count_lines(caplog: pytest.LogCaptureFixture, text: str) -> int:
    """Return how many lines with *text* were logged."""
    return sum(record.message == text for record in caplog.records)


@pytest.mark.parametrize(
    ('worker_health', 'least', 'most'), [(False, 40, 120), (True, 2, 35)]
)
async def test_workers_that_fail_all_runs(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    worker_health: bool,
    least: int,
    most: int,
) -> None:
    """A seventh of the workers used up the attempts of tasks for 6.5 s."""
    job_cluster.overload = {'worker_health': worker_health}
    load = Load(job_cluster)
    await load.run()
    assert least <= load.count_failed_runs() <= most
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize(
    ('worker_health', 'least', 'most'), [(False, 25, 90), (True, 0, 20)]
)
async def test_slow_workers(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    worker_health: bool,
    least: int,
    most: int,
) -> None:
    """Workers that took five times as long got as much work as the others."""
    job_cluster.overload = {'worker_health': worker_health}
    load = Load(job_cluster, 2 * JOBS)
    await load.run(slowdown=5)
    assert least <= load.count_starts_at_slow() <= most


async def test_jobs_that_always_fail(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """They fail at all workers, which must not be ejected for it."""
    caplog.set_level(logging.INFO)
    job_cluster.overload = {'worker_health': True}
    load = Load(job_cluster, failing_jobs=FAILING_JOBS)
    load.faulty.clear()
    await load.run()
    assert load.count_failed_runs() > FAILING_JOBS
    assert not count_lines(caplog, 'Worker ejected.')


async def test_new_owner_starts_without_evidence(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """What an owner has learned ends with it; each change was logged."""
    caplog.set_level(logging.INFO)
    job_cluster.overload = {'worker_health': True}
    await Load(job_cluster).run()
    for text in ('suspected', 'ejected', 'probed', 'readmitted'):
        assert count_lines(caplog, f'Worker {text}.')
    owner = job_cluster.entries[job_cluster.owner('desk')]
    assert 'ejected_workers{service="desk"} 0' in owner.kernel.metrics.render()
    successor = job_cluster.entry_not_owning('desk')
    job_cluster.kill(job_cluster.owner('desk'))
    schedulers = successor.scheduler.schedulers
    await job_cluster.wait_until(lambda: 'desk' in schedulers)
    health = schedulers['desk'].state.health.health
    assert health
    assert not health.steps.by_step


async def test_without_the_setting_nothing_is_learned(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """All workers have the rank of a healthy one, whatever they do."""
    caplog.set_level(logging.INFO)
    await Load(job_cluster).run()
    assert not count_lines(caplog, 'Worker suspected.')
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    ranks = {state.health.rank(instance) for instance in state.sessions}
    assert ranks == {Rank.healthy}
