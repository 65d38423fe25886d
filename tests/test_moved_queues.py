"""
tests.test_moved_queues
=======================

Jobs whose queue is configured for another service than when they came.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.controls.job_access import (
    Different,
    NoSuchJob,
    Stored,
    SubmitResult,
)
from cyclamenshift.directory import Queue
from cyclamenshift.job import Job, JobState, TaskId
from cyclamenshift.jobrows import JOB_TABLE, JobRow, job_key
from cyclamenshift.queuerows import (
    QUEUE_TABLE,
    QueueRow,
    QueueRules,
    queue_key,
)
from cyclamenshift.store import Write

from .builders import WALL_START, catalog, job, queue, step
from .standins.jobs import WAIT_MS, JobCluster, JobEntry

#: How long the tasks of a job take that is at work while its queue moves, ms.
RUN_MS = 12_000
#: Longer than a take-over, s.
SETTLE_S = 6
#: How long an entry VM takes to record a configuration, s.
APPLY_S = 0.5

OLD = queue()
MOVED = queue(service='billing')


def configure(cluster: JobCluster, *queues: Queue) -> None:
    """Configure *queues*, and one for each service that stays."""
    desk, billing = queue('desk-only'), queue('charges', service='billing')
    by_name = {each.name: each for each in (desk, billing, *queues)}
    cluster.platform.catalog = catalog(queues=by_name)
    cluster.platform.notify_change()


async def start(cluster: JobCluster, entries: int = 3) -> list[JobEntry]:
    """Start entry VMs and two services, one of them with the queue."""
    cluster.add_workers('desk', 2)
    cluster.add_workers('billing', 2)
    configure(cluster, OLD)
    return await cluster.start_all(entries)


async def move(cluster: JobCluster) -> None:
    """Remove the queue, and add it for the other service."""
    configure(cluster)
    await trio.sleep(APPLY_S)
    configure(cluster, MOVED)
    await trio.sleep(APPLY_S)


async def submit(
    cluster: JobCluster, entry: JobEntry, submitted: Job, at: Queue
) -> SubmitResult:
    """Submit a job while the entry VM has the queue *at*."""
    cluster.register_steps(submitted)
    return await entry.job_access.submit(at, submitted, WAIT_MS)


async def state_at(entry: JobEntry, job_id: str, at: Queue) -> object:
    """Return the state of a job at an entry VM that has the queue *at*."""
    return await entry.job_access.state_of(at, job_id, WAIT_MS)


def long_job(cluster: JobCluster, job_id: str = 'job-1') -> Job:
    """Return a job of two tasks that outlast the change of its queue."""
    submitted = job(job_id)
    for ordinal in range(2):
        cluster.workers.run_ms[TaskId(submitted.job_id, 0, 0, ordinal)] = RUN_MS
    return submitted


def count_job_rows(cluster: JobCluster) -> int:
    """Return how many rows the jobs and the references have."""
    return sum(
        len(cluster.store.table.scan(JOB_TABLE, service).rows)
        for service in ('desk', 'billing')
    )


@pytest.mark.parametrize('replaced', ['', 'desk', 'billing'])
async def test_moved_job_is_unknown_and_runs_twice(
    job_cluster: JobCluster, autojump_clock: MockClock, replaced: str
) -> None:
    """Its caller got 410, and the same request started it a second time."""
    entries = await start(job_cluster)
    submitted = long_job(job_cluster)
    await submit(job_cluster, entries[0], submitted, OLD)
    await trio.sleep(1)
    await move(job_cluster)
    if replaced:
        job_cluster.kill(job_cluster.owner(replaced))
    entry = next(iter(job_cluster.entries.values()))
    assert await state_at(entry, 'job-1', MOVED) is JobState.running
    again = await submit(job_cluster, entry, submitted, MOVED)
    assert isinstance(again, Stored)
    other = job(spec='another')
    assert isinstance(await submit(job_cluster, entry, other, MOVED), Different)
    await trio.sleep(RUN_MS / 1000 + SETTLE_S)
    assert await state_at(entry, 'job-1', MOVED) is JobState.completed
    assert len(job_cluster.workers.started_runs) == 2
    assert not job_cluster.workers.find_violations()


async def test_cancel_of_a_moved_job_is_answered_with_unknown(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Its tasks ran on at the earlier service."""
    entries = await start(job_cluster)
    lasting = job(steps=(step(tasks=2, long_running=True),))
    await submit(job_cluster, entries[0], lasting, OLD)
    await trio.sleep(1)
    await move(job_cluster)
    result = await entries[1].job_access.cancel(MOVED, 'job-1', WAIT_MS)
    assert isinstance(result, Stored)
    await job_cluster.wait_until(lambda: len(job_cluster.workers.ends) == 2)
    assert await state_at(entries[1], 'job-1', MOVED) is JobState.cancelled


async def test_waiting_jobs_of_a_moved_queue_are_not_counted(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Those at the earlier service had no worker yet."""
    entries = await start(job_cluster)
    blocked = step(required_label='none')
    for number in range(3):
        waiting = job(f'job-{number}', steps=(blocked,))
        await submit(job_cluster, entries[0], waiting, OLD)
    await move(job_cluster)
    last = job('job-3', steps=(blocked,))
    await submit(job_cluster, entries[0], last, MOVED)
    await trio.sleep(1)
    count = await entries[1].job_access.count_waiting(MOVED, WAIT_MS)
    assert count == 4


async def test_process_that_starts_after_the_move_knows_no_earlier_service(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It never had the configuration under which the job was accepted."""
    entries = await start(job_cluster)
    submitted = long_job(job_cluster)
    await submit(job_cluster, entries[0], submitted, OLD)
    await trio.sleep(1)
    await move(job_cluster)
    started = await job_cluster.start('entry-9')
    await trio.sleep(SETTLE_S)
    assert await state_at(started, 'job-1', MOVED) is JobState.running
    again = await submit(job_cluster, started, submitted, MOVED)
    assert isinstance(again, Stored)
    await trio.sleep(1)
    assert len(job_cluster.workers.started_runs) == 2


@pytest.mark.parametrize('first', [OLD, MOVED])
async def test_job_is_accepted_under_two_configurations(
    job_cluster: JobCluster, autojump_clock: MockClock, first: Queue
) -> None:
    """One entry VM had the new configuration and another one the old."""
    entries = await start(job_cluster)
    await move(job_cluster)
    submitted = long_job(job_cluster)
    second = MOVED if first is OLD else OLD
    await submit(job_cluster, entries[0], submitted, first)
    assert isinstance(
        await submit(job_cluster, entries[1], submitted, second), Stored
    )
    await trio.sleep(1)
    for entry, at in ((entries[0], first), (entries[2], second)):
        assert await state_at(entry, 'job-1', at) is JobState.running
    assert len(job_cluster.workers.started_runs) == 2
    result = await entries[2].job_access.cancel(second, 'job-1', WAIT_MS)
    assert isinstance(result, Stored)
    await job_cluster.wait_until(lambda: len(job_cluster.workers.ends) == 2)


async def test_job_is_accepted_under_two_configurations_at_once(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Both attempts found no row before either wrote one."""
    entries = await start(job_cluster)
    await move(job_cluster)
    submitted = [long_job(job_cluster, f'job-{number}') for number in range(6)]
    async with trio.open_nursery() as nursery:
        for each in submitted:
            for entry, at in ((entries[0], OLD), (entries[1], MOVED)):
                nursery.start_soon(submit, job_cluster, entry, each, at)
    await trio.sleep(SETTLE_S)
    assert len(job_cluster.workers.started_runs) == 12


async def test_job_of_a_queue_that_moved_back_is_unknown(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It was accepted at the service that its queue had in between."""
    entries = await start(job_cluster)
    await move(job_cluster)
    submitted = long_job(job_cluster)
    await submit(job_cluster, entries[0], submitted, MOVED)
    await trio.sleep(1)
    configure(job_cluster, OLD)
    await trio.sleep(APPLY_S)
    assert await state_at(entries[1], 'job-1', OLD) is JobState.running
    again = await submit(job_cluster, entries[1], submitted, OLD)
    assert isinstance(again, Stored)
    await trio.sleep(1)
    assert len(job_cluster.workers.started_runs) == 2


async def test_occurrences_of_a_moved_job_go_on(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """They run at the service that has the job."""
    entries = await start(job_cluster)
    timed = job(
        steps=(step(tasks=1),),
        occurrences=3,
        first_due=WALL_START,
        interval=8_000,
    )
    await submit(job_cluster, entries[0], timed, OLD)
    await trio.sleep(1)
    await move(job_cluster)
    await trio.sleep(25)
    assert await state_at(entries[1], 'job-1', MOVED) is JobState.completed
    assert len(job_cluster.workers.started_runs) == 3


async def test_rows_of_a_moved_job_are_left_after_its_retention(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The reference at the first service has to go with the job."""
    entries = await start(job_cluster)
    await move(job_cluster)
    await submit(job_cluster, entries[0], job(), MOVED)
    assert count_job_rows(job_cluster) == 2
    await trio.sleep(200)
    assert count_job_rows(job_cluster) == 0
    assert isinstance(await state_at(entries[1], 'job-1', MOVED), NoSuchJob)


async def test_jobs_of_earlier_builds_get_a_record(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Their queue had moved before any entry VM recorded services."""
    key = job_key('desk', 'job-1')
    submitted = long_job(job_cluster)
    job_cluster.register_steps(submitted)
    job_cluster.store.write_row(Write(key, JobRow(job=submitted)))
    job_cluster.add_workers('desk', 2)
    job_cluster.add_workers('billing', 2)
    configure(job_cluster, MOVED)
    entries = await job_cluster.start_all(2)
    await trio.sleep(SETTLE_S)
    assert await state_at(entries[0], 'job-1', MOVED) is JobState.running
    again = await submit(job_cluster, entries[0], submitted, MOVED)
    assert isinstance(again, Stored)


async def test_unreadable_record_is_replaced(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """No job of the queue was accepted any more."""
    job_cluster.store.write_row(
        Write(queue_key('checks'), {'services': 'desk'})
    )
    entries = await start(job_cluster)
    result = await submit(job_cluster, entries[0], job(), OLD)
    assert isinstance(result, Stored)


async def test_queue_that_never_moved_costs_further_reads(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Each look for a job read the records again."""
    entries = await start(job_cluster)
    await trio.sleep(1)
    before = job_cluster.store.scans[QUEUE_TABLE]
    for number in range(20):
        await submit(job_cluster, entries[0], job(f'job-{number}'), OLD)
        await state_at(entries[1], f'job-{number}', OLD)
    assert job_cluster.store.scans[QUEUE_TABLE] == before
    assert count_job_rows(job_cluster) == 20


async def test_queue_with_a_long_name_stops_all_new_ones(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Its key was too long, and it was recorded together with the others."""
    long_name = queue('x' * 1_000)
    job_cluster.add_workers('desk', 2)
    configure(job_cluster, OLD, long_name)
    entries = await job_cluster.start_all(1)
    for number, at in enumerate((OLD, long_name)):
        submitted = job(f'job-{number}', queue=at.name)
        result = await submit(job_cluster, entries[0], submitted, at)
        assert isinstance(result, Stored)


async def test_older_configuration_replaces_the_rules_of_a_queue(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """An entry VM that is behind recorded what it had."""
    entries = await start(job_cluster, 1)
    history = entries[0].job_access.queue_history
    newer = QueueRules(9, priority=1, attempts=7, stretch=1, allowance=0)
    row = QueueRow(services=['desk'], rules=newer)
    job_cluster.store.write_row(Write(queue_key('checks'), row))
    configure(job_cluster, queue(attempts=3))
    await trio.sleep(APPLY_S)
    known = history.records.last_known('checks')
    assert known and (known.attempts, known.priority) == (7, 1)
    configure(job_cluster, queue('charges', service='billing', attempts=5))
    await trio.sleep(APPLY_S)
    known = history.records.last_known('charges')
    assert known and known.attempts == 5
