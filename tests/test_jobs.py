"""
tests.test_jobs
===============

Jobs from submission to completion over several entry VMs, with failures.
"""

import argparse
import itertools
import logging
from collections import Counter
from functools import partial
from http import HTTPStatus
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.commands import jobs as commands
from cyclamenshift.component import Dump
from cyclamenshift.controls.job_access import NoSuchJob, Stored
from cyclamenshift.directory import Queue
from cyclamenshift.duties.scheduler import SchedulerDuty
from cyclamenshift.frontends.job_operators import JobOperatorFrontend
from cyclamenshift.job import Job, JobState, Resources, TaskId
from cyclamenshift.jobrows import JOB_TABLE
from cyclamenshift.kernel import Kernel
from cyclamenshift.scheduling.lease_renewer import LeaseRenewer

from .builders import catalog, job, step
from .standins.jobs import JobCluster, JobEntry
from .standins.shared_store import STORE_CALL_MS

#: The duration of a transaction in a slow store, and how long a caller waits
#: for its submission, ms.
SLOW_TRANSACTION_MS = 250
CALLER_TIMEOUT_MS = 1_400
#: The duration of a store call that delays a record, ms, and how often a lease
#: is renewed at most while an end waits for its record.
SLOW_RECORD_MS = 4_000
MAX_RENEWALS_PER_SECOND = 5
#: The time after a cancel within which every run of the job must stop, s.
CANCEL_TIMEOUT_S = 3


async def test_steps_run_in_dependency_order(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Steps run after their dependencies, and the job is reported completed."""
    job_cluster.add_workers('desk', 2)
    first, second = await job_cluster.start_all(2)
    last = step(tasks=2, dependencies=(0,))
    submitted = job(steps=(step(tasks=3), last))
    for entry in (first, second):
        await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert job_cluster.workers.started_steps() == [0, 0, 0, 1, 1]
    assert not job_cluster.workers.find_violations()


async def test_new_owner_adopts_running_tasks(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The successor of a killed scheduler starts no running task again."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(3)
    submitted_jobs = [job(f'job-{number}') for number in range(6)]
    for submitted in submitted_jobs:
        await job_cluster.submit(
            job_cluster.entry_not_owning('desk'), submitted
        )
    await trio.sleep(0.2)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await job_cluster.wait_for_state(JobState.completed, *submitted_jobs)
    assert len(job_cluster.workers.started_runs) == 12
    assert not job_cluster.workers.find_violations()


async def test_new_owner_waits_for_leases_of_a_lost_worker(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor waits until the leases expire, then restarts the tasks."""
    job_cluster.add_workers('desk', 1, resources=Resources(2_000, 16_384))
    await job_cluster.start_all(2)
    submitted = job()
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    crashed_id = job_cluster.get_worker_id('desk-vm-1')
    job_cluster.workers.crash(crashed_id)
    job_cluster.platform.workers.pop(crashed_id)
    job_cluster.kill(job_cluster.owner('desk'))
    job_cluster.add_vm('desk-vm-2', 'desk')
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 4
    assert not job_cluster.workers.find_violations()


async def test_cancel_while_the_service_has_no_owner(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor stops the runs that an earlier scheduler started."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    long_running_job = job(steps=(step(long_running=True),))
    await job_cluster.submit(
        job_cluster.entry_not_owning('desk'), long_running_job
    )
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.cancel(long_running_job)
    await job_cluster.wait_until(job_cluster.all_owned)
    await job_cluster.wait_for_state(JobState.cancelled, long_running_job)
    (sim,) = job_cluster.workers.instances.values()
    await job_cluster.wait_until(lambda: not sim.running)


async def test_end_is_acknowledged_only_once_recorded(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """
    An end is not acknowledged before a successor could read it.

    Workers report the same end at each lease renewal while the store is
    too slow to record it, and then the scheduler dies.
    """
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    owner = job_cluster.owner('desk')
    state = job_cluster.state(owner, 'desk')
    job_cluster.store.delay = 10_000
    await job_cluster.wait_until(job_cluster.workers.unacknowledged_ends)
    (session,) = state.sessions.values()
    for _repeat in range(3):
        renewer = LeaseRenewer(state, session)
        job_cluster.nursery.start_soon(renewer.renew, 0)
        await trio.sleep(0.2)
    assert job_cluster.workers.unacknowledged_ends()
    job_cluster.kill(owner)
    job_cluster.store.delay = STORE_CALL_MS
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert not job_cluster.workers.find_violations()


async def test_ends_are_counted_once_while_their_record_is_slow(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Reports that list an end again do not count it again."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=4),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 4
    )
    job_cluster.store.delay = SLOW_RECORD_MS
    await job_cluster.wait_until(job_cluster.workers.unacknowledged_ends)
    order_count = job_cluster.workers.order_count
    await trio.sleep(SLOW_RECORD_MS / 1000)
    assert len(job_cluster.workers.unacknowledged_ends()) == 4
    lines = entry.kernel.metrics.render().splitlines()
    counted = 'cyclamenshift_run_ends_total{how="done",service="desk"} 4'
    assert counted in map(_strip_fraction, lines)
    renewals = job_cluster.workers.order_count - order_count
    assert renewals <= MAX_RENEWALS_PER_SECOND * SLOW_RECORD_MS / 1000
    await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_lost_answers_to_start_orders(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Runs that started without an answer are found; none starts twice."""
    job_cluster.add_workers('desk', 2)
    (entry,) = await job_cluster.start_all(1)
    job_cluster.workers.lose_answers = 3
    submitted = job(steps=(step(tasks=6),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == 6
    assert not job_cluster.workers.find_violations()


async def test_delayed_start_orders(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A start order that arrives after its run was stopped is refused."""
    job_cluster.add_workers('desk', 2)
    (entry,) = await job_cluster.start_all(1)
    job_cluster.workers.late_order_delays = [1_000, 3_000]
    submitted = job(steps=(step(tasks=4),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    await trio.sleep(5)
    assert len(job_cluster.workers.started_runs) == 4
    assert not job_cluster.workers.find_violations()


async def test_owner_reaches_the_store_through_a_peer(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An owner that the store refuses keeps its service."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(3)
    owner = job_cluster.owner('desk')
    epoch = job_cluster.state(owner, 'desk').term.epoch
    job_cluster.store.cut_off.add(owner)
    submitted_jobs = [job(f'job-{number}') for number in range(3)]
    for submitted, entry in zip(
        submitted_jobs, job_cluster.entries.values(), strict=True
    ):
        await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, *submitted_jobs)
    await trio.sleep(12)
    assert job_cluster.state(owner, 'desk').term.epoch == epoch
    assert not job_cluster.workers.find_violations()


async def test_change_of_owner_is_explained(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The logs tell why an owner was taken for lost, and by whom replaced."""
    caplog.set_level(logging.INFO, 'cyclamenshift.ownership')
    await job_cluster.start_all(3)
    owner = job_cluster.owner('desk')
    epoch = job_cluster.state(owner, 'desk').term.epoch
    caplog.clear()
    job_cluster.network.disconnected.add(owner)
    await trio.sleep(5)
    job_cluster.network.disconnected.clear()
    await trio.sleep(5)
    first_lines = {
        record.message: record.__dict__['fields']
        for record in reversed(caplog.records)
        if record.__dict__.get('fields', {}).get('domain') == 'desk'
    }
    acquired = first_lines['Domain acquired.']
    assert acquired['previous']['holder'] == owner
    assert acquired['previous']['epoch'] == epoch
    assert not acquired['connected']
    assert acquired['peers_connected'] == 1
    assert acquired['peers_registered'] == 2
    released = first_lines['Domain released.']
    assert released['epoch'] == epoch
    assert released['row']['holder'] != owner
    assert released['row']['epoch'] == epoch + 1
    assert released['found_by'] == 'check'


async def test_submissions_to_a_slow_store_are_batched(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Jobs submitted to many entry VMs at once share a few transactions."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(8)
    job_cluster.store.transaction_ms = SLOW_TRANSACTION_MS
    submitted_jobs = [job(f'job-{number}') for number in range(48)]
    entries = itertools.cycle(job_cluster.entries.values())
    async with trio.open_nursery() as nursery:
        for submitted, entry in zip(submitted_jobs, entries, strict=False):
            await trio.sleep(0.05)
            nursery.start_soon(
                job_cluster.submit, entry, submitted, CALLER_TIMEOUT_MS
            )
    assert not job_cluster.workers.find_violations()


async def test_more_submissions_than_a_transaction_holds(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each is accepted, although the store limits the size of a transaction."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(2)
    job_cluster.store.transaction_ms = SLOW_TRANSACTION_MS
    submitted_jobs = [job(f'job-{number}') for number in range(130)]
    async with trio.open_nursery() as nursery:
        for submitted in submitted_jobs:
            nursery.start_soon(
                job_cluster.submit,
                job_cluster.entry_not_owning('desk'),
                submitted,
            )
    assert not job_cluster.workers.find_violations()


async def test_job_for_an_unknown_queue(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner keeps the job until the configuration contains its queue."""
    job_cluster.add_workers('desk', 2)
    submitted = job()
    await _submit_to_unknown_queue(job_cluster, submitted)
    await trio.sleep(3)
    job_cluster.platform.catalog = catalog()
    await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_cancel_before_the_queue_is_known(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """No task of the job runs once the configuration contains its queue."""
    job_cluster.add_workers('desk', 2)
    submitted = job()
    entry, queue = await _submit_to_unknown_queue(job_cluster, submitted)
    cancelled = await entry.job_access.cancel(queue, submitted.job_id, 3_000)
    assert isinstance(cancelled, Stored)
    await trio.sleep(3)
    job_cluster.platform.catalog = catalog()
    await job_cluster.wait_for_state(JobState.cancelled, submitted)
    assert not job_cluster.workers.started_runs


async def _submit_to_unknown_queue(
    job_cluster: JobCluster,
    submitted: Job,
) -> tuple[JobEntry, Queue]:
    """Submit a job while the configuration contains no queue."""
    entry = (await job_cluster.start_all(2))[0]
    queue = job_cluster.queue_of(submitted)
    job_cluster.platform.catalog = catalog(queues={})
    job_cluster.register_steps(submitted)
    assert isinstance(
        await entry.job_access.submit(queue, submitted, 3_000),
        Stored,
    )
    return entry, queue


@pytest.mark.parametrize('delay_s', range(5))
async def test_cancel_is_found_while_the_poll_for_jobs_hangs(
    delay_s: int,
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A cancel whose notification was lost is found by the poll for cancels."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    long_running_job = job(steps=(step(long_running=True),))
    owner = job_cluster.owner('desk')
    await job_cluster.submit(
        job_cluster.entry_not_owning('desk'), long_running_job
    )
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    job_cluster.store.hung_tables.add(JOB_TABLE)
    await trio.sleep(delay_s)
    await job_cluster.cancel_without_notification(long_running_job)
    (sim,) = job_cluster.workers.instances.values()
    with trio.fail_after(CANCEL_TIMEOUT_S):
        await job_cluster.wait_until(lambda: not sim.running)
    assert job_cluster.owner('desk') == owner


async def test_failed_start_is_recorded(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor does not wait for a run that never started."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    await trio.sleep(0.5)
    crashed_id = job_cluster.get_worker_id('desk-vm-1')
    job_cluster.workers.crash(crashed_id)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await trio.sleep(0.5)
    job_cluster.platform.workers.pop(crashed_id)
    job_cluster.platform.notify_change()
    await trio.sleep(1)
    job_cluster.kill(job_cluster.owner('desk'))
    job_cluster.add_vm('desk-vm-2', 'desk')
    await job_cluster.wait_until(job_cluster.all_owned)
    with trio.fail_after(2):
        await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_worker_is_reused_after_its_leases_expired(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A worker that answers again is used, although its runs were given up."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    (sim,) = job_cluster.workers.instances.values()
    sim.unreachable_from = set()
    await trio.sleep(10)
    assert not job_cluster.state(
        job_cluster.owner('desk'), 'desk'
    ).tracker.attempts_by_worker
    sim.unreachable_from = None
    await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_long_running_tasks_keep_running(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Slow clocks and uneven response times of workers end no run."""
    job_cluster.add_workers('desk', 2)
    (entry,) = await job_cluster.start_all(1)
    long_running_job = job(steps=(step(tasks=4, long_running=True),))
    await job_cluster.submit(entry, long_running_job)
    await trio.sleep(60)
    assert len(job_cluster.workers.started_runs) == 4
    assert not job_cluster.workers.ends


async def test_leases_are_renewed_while_an_end_cannot_be_recorded(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Other runs at the worker keep their leases during a store outage."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    short_job = job('brief', steps=(step(tasks=1),))
    long_job = job('long-running', steps=(step(tasks=1, long_running=True),))
    for submitted in (long_job, short_job):
        await job_cluster.submit(
            job_cluster.entry_not_owning('desk'), submitted
        )
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    job_cluster.store.down = True
    await trio.sleep(6)
    job_cluster.store.down = False
    await job_cluster.wait_for_state(JobState.completed, short_job)
    await trio.sleep(3)
    assert len(job_cluster.workers.started_runs) == 2


async def test_final_jobs_are_deleted(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Rows of final jobs are kept for the retention time, then deleted."""
    job_cluster.add_workers('desk', 1)
    entry, _other = await job_cluster.start_all(2)
    retention_s = entry.kernel.settings['jobs']['keep_final'] / 1000
    submitted_jobs = [job(f'job-{number}') for number in range(40)]
    for submitted in submitted_jobs:
        await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, *submitted_jobs)
    job_cluster.kill(job_cluster.owner('desk'))
    await trio.sleep(retention_s)
    assert await job_cluster.state_of(submitted_jobs[0]) is JobState.completed
    await trio.sleep(30)
    for submitted in submitted_jobs:
        assert isinstance(await job_cluster.state_of(submitted), NoSuchJob)
    assert not job_cluster.store.table.scan('job', 'desk').rows
    assert not job_cluster.store.table.scan('progress', 'desk').rows


async def test_gang_starts_only_when_all_tasks_fit(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The tasks of a gang wait until all fit, on a single rack if required."""
    job_cluster.add_workers(
        'desk', 1, resources=Resources(2_000, 16_384), rack='r1'
    )
    await job_cluster.start_all(1)
    gang = job(steps=(step(tasks=4, gang=True, single_rack=True),))
    await job_cluster.submit(next(iter(job_cluster.entries.values())), gang)
    await trio.sleep(2)
    assert not job_cluster.workers.started_runs
    job_cluster.add_vm(
        'desk-vm-2',
        'desk',
        resources=Resources(2_000, 16_384),
        rack='r2',
    )
    job_cluster.add_vm(
        'desk-vm-3',
        'desk',
        resources=Resources(2_000, 16_384),
        rack='r2',
    )
    await job_cluster.wait_for_state(JobState.completed, gang)
    worker_ids = {
        started.worker_id for started in job_cluster.workers.started_runs
    }
    assert worker_ids == {
        job_cluster.get_worker_id('desk-vm-2'),
        job_cluster.get_worker_id('desk-vm-3'),
    }
    assert {start.run.number for start in job_cluster.workers.started_runs} == {
        1
    }


async def test_gang_restarts_after_losing_a_task(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All tasks of the gang start again under one new run number."""
    job_cluster.add_workers('desk', 2, resources=Resources(2_000, 16_384))
    await job_cluster.start_all(1)
    gang = job(steps=(step(tasks=4, gang=True),))
    for ordinal in range(4):
        job_cluster.workers.run_ms[TaskId(gang.job_id, 0, 0, ordinal)] = 20_000
    await job_cluster.submit(next(iter(job_cluster.entries.values())), gang)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 4
    )
    crashed_id = job_cluster.get_worker_id('desk-vm-1')
    job_cluster.workers.crash(crashed_id)
    job_cluster.platform.workers.pop(crashed_id)
    job_cluster.add_vm('desk-vm-3', 'desk', resources=Resources(2_000, 16_384))
    await job_cluster.wait_for_state(JobState.completed, gang)
    numbers = Counter(
        start.run.number for start in job_cluster.workers.started_runs
    )
    assert numbers == {1: 4, 2: 4}
    assert not job_cluster.workers.find_violations()


async def test_slow_run_is_replaced_by_its_copy(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The first run to be done counts, and the other one is stopped."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(2)
    slow_worker = job_cluster.workers.current_instance(
        job_cluster.get_worker_id('desk-vm-2')
    )
    slow_worker.slowdown = 40
    submitted = job(steps=(step(tasks=12, speculative=True),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    with trio.fail_after(4):
        await job_cluster.wait_for_state(JobState.completed, submitted)
    await job_cluster.wait_until(lambda: not slow_worker.running)
    run_counts = Counter(
        started.run.task for started in job_cluster.workers.started_runs
    )
    assert max(run_counts.values()) == 2
    assert not job_cluster.workers.find_violations()


async def test_run_at_a_silent_worker_is_copied(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A speculative task does not wait until the leases expire."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(2)
    submitted = job(steps=(step(tasks=2, speculative=True),))
    job_cluster.workers.run_ms = {
        TaskId(submitted.job_id, 0, 0, ordinal): 1_000 for ordinal in range(2)
    }
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    silent_worker = job_cluster.workers.current_instance(
        job_cluster.workers.started_runs[0].worker_id
    )
    silent_worker.unreachable_from = set()
    with trio.fail_after(3.5):
        await job_cluster.wait_for_state(JobState.completed, submitted)
    assert not job_cluster.workers.find_violations()


async def test_failed_copy_of_a_done_task_is_ignored(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A done task stays done, whatever the outcome of its other run."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(2)
    slow_worker = job_cluster.workers.current_instance(
        job_cluster.get_worker_id('desk-vm-2')
    )
    slow_worker.slowdown = 5
    slow_worker.fails_all = True
    steps = (
        step(tasks=12, speculative=True),
        step(tasks=2, dependencies=(0,), speculative=True),
    )
    submitted = job(steps=steps)
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert not job_cluster.workers.find_violations()


async def test_job_metrics(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Run orders, run ends and their durations are counted."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=2),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    lines = entry.kernel.metrics.render().splitlines()
    for name, labels in (
        ('run_orders_total', 'result="Accepted",service="desk"'),
        ('run_ends_total', 'how="done",service="desk"'),
        ('run_start_ms_count', 'service="desk"'),
    ):
        assert f'cyclamenshift_{name}{{{labels}}} 2' in map(
            _strip_fraction, lines
        )
    assert any('job_ms_count' in line for line in lines)


async def test_load_of_an_owner_is_read(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner shows waiting tasks, unsettled orders and its domains."""
    (entry,) = await job_cluster.start_all(1)
    await job_cluster.submit(entry, job(steps=(step(tasks=2),)))
    lines = entry.kernel.metrics.render().splitlines()
    assert 'cyclamenshift_tasks_waiting{service="desk"} 2' in lines
    assert 'cyclamenshift_orders_in_flight{service="desk"} 0' in lines
    assert 'cyclamenshift_owned_epoch{domain="desk"} 1' in lines
    scheduler = entry.kernel.get(SchedulerDuty).schedulers['desk']
    job_cluster.add_workers('desk', 2)
    while not scheduler.tracker.attempts_by_worker:
        await trio.sleep(0.001)
    assert scheduler.count_unsettled() == 2
    assert not scheduler.tracker.waiting


def _strip_fraction(line: str) -> str:
    return line.removesuffix('.0')


async def test_commands_show_owners_jobs_and_fleet(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The operators' commands print what the dump of an entry VM contains."""
    job_cluster.add_workers('desk', 2)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(1)

    monkeypatch.setattr(commands, 'call', partial(_dump, entry.kernel))
    options = argparse.Namespace(entry='')
    owners = await commands.ShowOwners().run(options)
    assert 'desk: entry-1, epoch 1' in owners.lines
    shown = await commands.ShowJobs().run(options)
    assert 'desk: 0 jobs, 0 tasks wait, 2 workers' in shown.lines
    fleet = await commands.ShowFleet().run(options)
    assert any(line.startswith('desk: ') for line in fleet.lines)


async def _dump(kernel: Kernel, *_arguments: object) -> Dump:
    return kernel.dump()


async def test_show_job_command(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner lists tasks and workers; other entry VMs return a remedy."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    later = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=2), later))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    await trio.sleep(0.2)
    owner = job_cluster.entries[job_cluster.owner('desk')]
    monkeypatch.setattr(
        commands, 'call', partial(_get_from_operators, owner.kernel)
    )
    options = argparse.Namespace(entry='', job=submitted.job_id)
    shown = await commands.ShowJob().run(options)
    head, *lines = shown.lines
    assert head.startswith('job-1: running, queue checks, service desk')
    assert lines[0] == (
        '  occurrence 0, step 0, task 0: started, 1 runs, 0 failed'
    )
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    assert lines[1].startswith(f'    run 1 at {worker_id}: ')
    assert len(lines) == 4
    unknown = await _get_from_operators(
        job_cluster.entry_not_owning('desk').kernel, '/v1/jobs/job-1'
    )
    assert unknown['status'] == HTTPStatus.NOT_FOUND
    assert 'cyclamenshift owners' in unknown['remedy']


async def _get_from_operators(kernel: Kernel, *arguments: object) -> Any:
    client = JobOperatorFrontend(kernel).app.test_client()
    response = await client.get(str(arguments[-1]))
    return await response.get_json()


async def test_dump_lists_every_component(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Plug-ins of the same name have separate keys in the dump."""
    entry = await job_cluster.start('entry-1')
    assert len(entry.kernel.dump()) == len(entry.kernel.components)
    assert 'store.fake' in entry.kernel.dump()
