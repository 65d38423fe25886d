"""
tests.test_admission_control
============================

Which new jobs are refused while capacity is insufficient, and what that means.
"""

from typing import Final

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.controls.job_access import (
    MaybeStored,
    NoSuchJob,
    NotAdmitted,
    Stored,
)
from cyclamenshift.decisions.overload.admission_control import (
    MAX_RETRY_AFTER_MS,
    SHORTAGE_MS,
    Admitted,
    Backlog,
    JobNeeds,
    Rejected,
    decide,
    retry_after,
)
from cyclamenshift.job import Job, JobState, TaskId
from cyclamenshift.jobrows import job_key
from cyclamenshift.refusedjobs import is_refusal
from cyclamenshift.scheduling.refused_jobs import (
    INTERVAL_MS,
    MAX_BATCH_ROWS,
    RETENTION_MS,
)
from cyclamenshift.store import Key

from .builders import account, catalog, job, step
from .standins.jobs import WAIT_MS, JobCluster, JobEntry

#: The objective of the jobs of ``decide``, ms.
OBJECTIVE: Final = 2_000
SHORT: Final = Backlog(drain_time=4_000, oldest_wait=SHORTAGE_MS)


def needs(*, within_share: bool, chain: int = 1_000) -> JobNeeds:
    """Return the needs of a job."""
    return JobNeeds('job-1', chain, OBJECTIVE, within_share=within_share)


@pytest.mark.parametrize('within_share', [True, False])
def test_wait_for_vms_under_way_refuses_nobody(within_share: bool) -> None:
    """At the onset of a peak the pool looks far too small for some seconds."""
    onset = Backlog(drain_time=60_000, oldest_wait=SHORTAGE_MS - 1)
    assert decide(needs(within_share=within_share), onset) == Admitted()


def test_jobs_beyond_the_share_are_refused_first() -> None:
    """The jobs of an account that submits too many made all others late."""
    assert isinstance(decide(needs(within_share=False), SHORT), Rejected)
    assert decide(needs(within_share=True), SHORT) == Admitted()


def test_job_that_can_not_even_be_late_is_refused() -> None:
    """A caller waited until the deadline for what was known not to happen."""
    hopeless = SHORT._replace(drain_time=3 * OBJECTIVE)
    assert isinstance(decide(needs(within_share=True), hopeless), Rejected)


def test_job_that_fits_behind_the_backlog_is_admitted() -> None:
    """Refusals with room left take work from callers without a reason."""
    little = SHORT._replace(drain_time=500)
    assert decide(needs(within_share=False), little) == Admitted()


def test_refused_callers_do_not_return_together() -> None:
    """All of them came back at the same moment, and made the next peak."""
    times = [retry_after(f'job-{number}', SHORT) for number in range(400)]
    slots = [
        sum(start <= each < start + 1_000 for each in times)
        for start in range(4_000, 8_000, 1_000)
    ]
    assert sum(slots) == len(times)
    assert max(slots) < 2 * min(slots)
    endless = SHORT._replace(drain_time=10**9)
    assert retry_after('job-1', endless) <= MAX_RETRY_AFTER_MS


async def start_short_cluster(job_cluster: JobCluster) -> JobEntry:
    """
    Return an entry VM of a cluster that has been short of capacity.

    An account with a small share has used it up, and its jobs fill the pool.
    """
    job_cluster.overload = {'admission_control': True}
    heavy = account('heavy', weight=0.1)
    job_cluster.platform.catalog = catalog(accounts={'heavy': heavy})
    job_cluster.add_workers('desk', 1)
    entries = await job_cluster.start_all(2)
    first = heavy_job(0, tasks=30)
    for ordinal in range(30):
        task = TaskId(first.job_id, 0, 0, ordinal)
        job_cluster.workers.run_ms[task] = 2 * SHORTAGE_MS
    await job_cluster.submit(entries[0], first)
    for number in range(1, 4):
        await job_cluster.submit(entries[0], heavy_job(number))
    await trio.sleep(SHORTAGE_MS / 1000 + 0.1)
    return job_cluster.entry_not_owning('desk')


def heavy_job(number: int, tasks: int = 8) -> Job:
    """Return a job of the heavy account."""
    steps = (step(tasks=tasks, estimate=2 * SHORTAGE_MS),)
    return job(f'heavy-{number}', account='heavy', steps=steps)


async def submit(
    job_cluster: JobCluster, entry: JobEntry, submitted: Job
) -> object:
    """Submit a job and return the result."""
    job_cluster.register_steps(submitted)
    queue = job_cluster.queue_of(submitted)
    return await entry.job_access.submit(queue, submitted, WAIT_MS)


async def test_refused_job_has_not_run_and_can_come_again(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A refusal was untrue, or kept the job from being accepted later."""
    entry = await start_short_cluster(job_cluster)
    refused = heavy_job(9, tasks=1)
    result = await submit(job_cluster, entry, refused)
    assert isinstance(result, NotAdmitted)
    assert result.retry_after > 0
    state = await job_cluster.state_of(refused)
    assert isinstance(state, NoSuchJob)
    await trio.sleep(30)
    assert not runs_of(job_cluster, refused)
    result = await submit(job_cluster, entry, refused)
    assert isinstance(result, Stored)
    await job_cluster.wait_for_state(JobState.completed, refused)
    assert runs_of(job_cluster, refused) == 1


async def test_stored_job_is_never_refused(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A job was refused to the caller who had lost its first answer."""
    entry = await start_short_cluster(job_cluster)
    again = heavy_job(2)
    assert isinstance(await submit(job_cluster, entry, again), Stored)


async def test_late_write_of_a_refused_job_has_no_effect(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A job that was refused ran, as its first write came late."""
    entry = await start_short_cluster(job_cluster)
    refused = heavy_job(9, tasks=1)
    queue = job_cluster.queue_of(refused)
    job_cluster.register_steps(refused)
    late = entry.job_access.places.row_writer
    assert isinstance(await submit(job_cluster, entry, refused), NotAdmitted)
    row = job_cluster.store.table.rows[job_key(queue.service, refused.job_id)]
    assert is_refusal(row)
    await late.write(row.key, 0, {'job': refused[:-1]})
    await trio.sleep(30)
    assert not runs_of(job_cluster, refused)


async def test_refusals_are_deleted_also_after_a_take_over(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The rows of refused jobs stayed for ever."""
    entry = await start_short_cluster(job_cluster)
    refused = heavy_job(9, tasks=1)
    assert isinstance(await submit(job_cluster, entry, refused), NotAdmitted)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    key: Key = job_key('desk', refused.job_id)
    assert key in job_cluster.store.table.rows
    await trio.sleep((RETENTION_MS + 2 * INTERVAL_MS) / 1000)
    assert not is_present(job_cluster, key)


async def test_refusals_are_deleted_as_fast_as_they_come(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Each round deleted one batch, so that the rows of a burst grew."""
    entry = await start_short_cluster(job_cluster)
    numbers = range(9, 9 + 3 * MAX_BATCH_ROWS)
    refused = [heavy_job(number, tasks=1) for number in numbers]
    async with trio.open_nursery() as nursery:
        for each in refused:
            nursery.start_soon(submit, job_cluster, entry, each)
    keys = [job_key('desk', each.job_id) for each in refused]
    assert all(is_present(job_cluster, key) for key in keys)
    await trio.sleep((RETENTION_MS + 2 * INTERVAL_MS) / 1000)
    assert not any(is_present(job_cluster, key) for key in keys)


def runs_of(job_cluster: JobCluster, submitted: Job) -> int:
    """Return how many runs of a job were started."""
    return sum(
        started.run.task.job_id == submitted.job_id
        for started in job_cluster.workers.started_runs
    )


def is_present(job_cluster: JobCluster, key: Key) -> bool:
    """Return whether the store has a row."""
    row = job_cluster.store.table.rows.get(key)
    return row is not None and row.version != 0


async def test_write_without_the_owner_does_not_replace_a_refusal(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """
    A job ran although its caller was told that it had not and would not.

    One entry VM was about to store the job, after the owner had not answered
    it, when the owner refused the job to the caller's next try elsewhere.
    """
    entry = await start_short_cluster(job_cluster)
    refused = heavy_job(9, tasks=1)
    assert isinstance(await submit(job_cluster, entry, refused), NotAdmitted)
    entry.ownership.peer_domains.clear()
    result = await submit(job_cluster, entry, refused)
    assert isinstance(result, MaybeStored)
    await trio.sleep(30)
    assert not runs_of(job_cluster, refused)
