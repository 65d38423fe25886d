"""
tests.test_jobs
===============

Jobs from submission to completion over several entry VMs, with failures.
"""

import argparse
import itertools
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
from cyclamenshift.frontends.job_operators import JobOperatorFrontend
from cyclamenshift.job import Job, JobState, Resources, TaskId
from cyclamenshift.jobrows import JOB_TABLE
from cyclamenshift.kernel import Kernel
from cyclamenshift.scheduling.lease_renewer import LeaseRenewer

from .builders import catalog, job, step
from .standins.fakes import STORE_CALL_MS
from .standins.jobs import JobCluster, JobEntry

#: The duration of a transaction in a slow store, and how long a caller waits
#: for its submission, ms.
SLOW_TRANSACTION_MS = 250
CALLER_TIMEOUT_MS = 1_400
#: The time after a cancel within which every run of the job must stop, s.
CANCEL_TIMEOUT_S = 3


async def test_steps_run_in_dependency_order(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Steps run after their dependencies, and the job is reported completed."""
    jobs.add_workers('desk', 2)
    first, second = await jobs.start_all(2)
    last = step(tasks=2, dependencies=(0,))
    submitted = job(steps=(step(tasks=3), last))
    for entry in (first, second):
        await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, submitted)
    assert jobs.workers.started_steps() == [0, 0, 0, 1, 1]
    assert not jobs.workers.find_violations()


async def test_new_owner_adopts_running_tasks(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The successor of a killed scheduler starts no running task again."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(3)
    submitted_jobs = [job(f'job-{number}') for number in range(6)]
    for submitted in submitted_jobs:
        await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await trio.sleep(0.2)
    jobs.kill(jobs.owner('desk'))
    await jobs.wait_until(jobs.all_owned)
    await jobs.wait_for_state(JobState.completed, *submitted_jobs)
    assert len(jobs.workers.started_runs) == 12
    assert not jobs.workers.find_violations()


async def test_new_owner_waits_for_leases_of_a_lost_worker(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor waits until the leases expire, then restarts the tasks."""
    jobs.add_workers('desk', 1, resources=Resources(2_000, 16_384))
    await jobs.start_all(2)
    submitted = job()
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    crashed_id = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(crashed_id)
    jobs.platform.workers.pop(crashed_id)
    jobs.kill(jobs.owner('desk'))
    jobs.add_vm('desk-vm-2', 'desk')
    await jobs.wait_for_state(JobState.completed, submitted)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.find_violations()


async def test_cancel_while_the_service_has_no_owner(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor stops the runs that an earlier scheduler started."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    long_running_job = job(steps=(step(long_running=True),))
    await jobs.submit(jobs.entry_not_owning('desk'), long_running_job)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.kill(jobs.owner('desk'))
    await jobs.cancel(long_running_job)
    await jobs.wait_until(jobs.all_owned)
    await jobs.wait_for_state(JobState.cancelled, long_running_job)
    (sim,) = jobs.workers.instances.values()
    await jobs.wait_until(lambda: not sim.running)


async def test_end_is_acknowledged_only_once_recorded(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """
    An end is not acknowledged before a successor could read it.

    Workers report the same end at each lease renewal while the store is
    too slow to record it, and then the scheduler dies.
    """
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    submitted = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: jobs.workers.started_runs)
    owner = jobs.owner('desk')
    state = jobs.state(owner, 'desk')
    jobs.store.delay = 10_000
    await jobs.wait_until(jobs.workers.unacknowledged_ends)
    (session,) = state.sessions.values()
    for _repeat in range(3):
        renewer = LeaseRenewer(state, session)
        jobs.nursery.start_soon(renewer.renew, 0)
        await trio.sleep(0.2)
    assert jobs.workers.unacknowledged_ends()
    jobs.kill(owner)
    jobs.store.delay = STORE_CALL_MS
    await jobs.wait_for_state(JobState.completed, submitted)
    assert not jobs.workers.find_violations()


async def test_lost_answers_to_start_orders(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Runs that started without an answer are found; none starts twice."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    jobs.workers.lose_answers = 3
    submitted = job(steps=(step(tasks=6),))
    await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, submitted)
    assert len(jobs.workers.started_runs) == 6
    assert not jobs.workers.find_violations()


async def test_delayed_start_orders(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A start order that arrives after its run was stopped is refused."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    jobs.workers.late_order_delays = [1_000, 3_000]
    submitted = job(steps=(step(tasks=4),))
    await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, submitted)
    await trio.sleep(5)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.find_violations()


async def test_owner_reaches_the_store_through_a_peer(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An owner that the store refuses keeps its service."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(3)
    owner = jobs.owner('desk')
    epoch = jobs.state(owner, 'desk').term.epoch
    jobs.store.cut_off.add(owner)
    submitted_jobs = [job(f'job-{number}') for number in range(3)]
    for submitted, entry in zip(
        submitted_jobs, jobs.entries.values(), strict=True
    ):
        await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, *submitted_jobs)
    await trio.sleep(12)
    assert jobs.state(owner, 'desk').term.epoch == epoch
    assert not jobs.workers.find_violations()


async def test_submissions_to_a_slow_store_are_batched(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Jobs submitted to many entry VMs at once share a few transactions."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(8)
    jobs.store.transaction_ms = SLOW_TRANSACTION_MS
    submitted_jobs = [job(f'job-{number}') for number in range(48)]
    entries = itertools.cycle(jobs.entries.values())
    async with trio.open_nursery() as nursery:
        for submitted, entry in zip(submitted_jobs, entries, strict=False):
            await trio.sleep(0.05)
            nursery.start_soon(jobs.submit, entry, submitted, CALLER_TIMEOUT_MS)
    assert not jobs.workers.find_violations()


async def test_more_submissions_than_a_transaction_holds(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each is accepted, although the store limits the size of a transaction."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    jobs.store.transaction_ms = SLOW_TRANSACTION_MS
    submitted_jobs = [job(f'job-{number}') for number in range(130)]
    async with trio.open_nursery() as nursery:
        for submitted in submitted_jobs:
            nursery.start_soon(
                jobs.submit, jobs.entry_not_owning('desk'), submitted
            )
    assert not jobs.workers.find_violations()


async def test_job_for_an_unknown_queue(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner keeps the job until the configuration contains its queue."""
    jobs.add_workers('desk', 2)
    submitted = job()
    await _submit_to_unknown_queue(jobs, submitted)
    await trio.sleep(3)
    jobs.platform.catalog = catalog()
    await jobs.wait_for_state(JobState.completed, submitted)


async def test_cancel_before_the_queue_is_known(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """No task of the job runs once the configuration contains its queue."""
    jobs.add_workers('desk', 2)
    submitted = job()
    entry, queue = await _submit_to_unknown_queue(jobs, submitted)
    cancelled = await entry.job_access.cancel(queue, submitted.job_id, 3_000)
    assert isinstance(cancelled, Stored)
    await trio.sleep(3)
    jobs.platform.catalog = catalog()
    await jobs.wait_for_state(JobState.cancelled, submitted)
    assert not jobs.workers.started_runs


async def _submit_to_unknown_queue(
    jobs: JobCluster,
    submitted: Job,
) -> tuple[JobEntry, Queue]:
    """Submit a job while the configuration contains no queue."""
    entry = (await jobs.start_all(2))[0]
    queue = jobs.queue_of(submitted)
    jobs.platform.catalog = catalog(queues={})
    jobs.register_steps(submitted)
    assert isinstance(
        await entry.job_access.submit(queue, submitted, 3_000),
        Stored,
    )
    return entry, queue


@pytest.mark.parametrize('delay_s', range(5))
async def test_cancel_is_found_while_the_poll_for_jobs_hangs(
    delay_s: int,
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A cancel whose notification was lost is found by the poll for cancels."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    long_running_job = job(steps=(step(long_running=True),))
    owner = jobs.owner('desk')
    await jobs.submit(jobs.entry_not_owning('desk'), long_running_job)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.store.hung_tables.add(JOB_TABLE)
    await trio.sleep(delay_s)
    await jobs.cancel_without_notification(long_running_job)
    (sim,) = jobs.workers.instances.values()
    with trio.fail_after(CANCEL_TIMEOUT_S):
        await jobs.wait_until(lambda: not sim.running)
    assert jobs.owner('desk') == owner


async def test_failed_start_is_recorded(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor does not wait for a run that never started."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    await trio.sleep(0.5)
    crashed_id = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(crashed_id)
    submitted = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await trio.sleep(0.5)
    jobs.platform.workers.pop(crashed_id)
    jobs.platform.notify_change()
    await trio.sleep(1)
    jobs.kill(jobs.owner('desk'))
    jobs.add_vm('desk-vm-2', 'desk')
    await jobs.wait_until(jobs.all_owned)
    with trio.fail_after(2):
        await jobs.wait_for_state(JobState.completed, submitted)


async def test_worker_is_reused_after_its_leases_expired(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A worker that answers again is used, although its runs were given up."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    submitted = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: jobs.workers.started_runs)
    (sim,) = jobs.workers.instances.values()
    sim.unreachable_from = set()
    await trio.sleep(10)
    assert not jobs.state(jobs.owner('desk'), 'desk').tracker.attempts_by_worker
    sim.unreachable_from = None
    await jobs.wait_for_state(JobState.completed, submitted)


async def test_long_running_tasks_keep_running(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Slow clocks and uneven response times of workers end no run."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    long_running_job = job(steps=(step(tasks=4, long_running=True),))
    await jobs.submit(entry, long_running_job)
    await trio.sleep(60)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.ends


async def test_leases_are_renewed_while_an_end_cannot_be_recorded(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Other runs at the worker keep their leases during a store outage."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    short_job = job('brief', steps=(step(tasks=1),))
    long_job = job('long-running', steps=(step(tasks=1, long_running=True),))
    for submitted in (long_job, short_job):
        await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.store.down = True
    await trio.sleep(6)
    jobs.store.down = False
    await jobs.wait_for_state(JobState.completed, short_job)
    await trio.sleep(3)
    assert len(jobs.workers.started_runs) == 2


async def test_final_jobs_are_deleted(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Rows of final jobs are kept for the retention time, then deleted."""
    jobs.add_workers('desk', 1)
    entry, _other = await jobs.start_all(2)
    retention_s = entry.kernel.settings['jobs']['keep_final'] / 1000
    submitted_jobs = [job(f'job-{number}') for number in range(40)]
    for submitted in submitted_jobs:
        await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, *submitted_jobs)
    jobs.kill(jobs.owner('desk'))
    await trio.sleep(retention_s)
    assert await jobs.state_of(submitted_jobs[0]) is JobState.completed
    await trio.sleep(30)
    for submitted in submitted_jobs:
        assert isinstance(await jobs.state_of(submitted), NoSuchJob)
    assert not jobs.store.table.scan('job', 'desk').rows
    assert not jobs.store.table.scan('progress', 'desk').rows


async def test_gang_starts_only_when_all_tasks_fit(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The tasks of a gang wait until all fit, on a single rack if required."""
    jobs.add_workers('desk', 1, resources=Resources(2_000, 16_384), rack='r1')
    await jobs.start_all(1)
    gang = job(steps=(step(tasks=4, gang=True, single_rack=True),))
    await jobs.submit(next(iter(jobs.entries.values())), gang)
    await trio.sleep(2)
    assert not jobs.workers.started_runs
    jobs.add_vm(
        'desk-vm-2',
        'desk',
        resources=Resources(2_000, 16_384),
        rack='r2',
    )
    jobs.add_vm(
        'desk-vm-3',
        'desk',
        resources=Resources(2_000, 16_384),
        rack='r2',
    )
    await jobs.wait_for_state(JobState.completed, gang)
    worker_ids = {started.worker_id for started in jobs.workers.started_runs}
    assert worker_ids == {
        jobs.get_worker_id('desk-vm-2'),
        jobs.get_worker_id('desk-vm-3'),
    }
    assert {start.run.number for start in jobs.workers.started_runs} == {1}


async def test_gang_restarts_after_losing_a_task(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All tasks of the gang start again under one new run number."""
    jobs.add_workers('desk', 2, resources=Resources(2_000, 16_384))
    await jobs.start_all(1)
    gang = job(steps=(step(tasks=4, gang=True),))
    for ordinal in range(4):
        jobs.workers.run_ms[TaskId(gang.job_id, 0, 0, ordinal)] = 20_000
    await jobs.submit(next(iter(jobs.entries.values())), gang)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 4)
    crashed_id = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(crashed_id)
    jobs.platform.workers.pop(crashed_id)
    jobs.add_vm('desk-vm-3', 'desk', resources=Resources(2_000, 16_384))
    await jobs.wait_for_state(JobState.completed, gang)
    numbers = Counter(start.run.number for start in jobs.workers.started_runs)
    assert numbers == {1: 4, 2: 4}
    assert not jobs.workers.find_violations()


async def test_slow_run_is_replaced_by_its_copy(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The first run to be done counts, and the other one is stopped."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    slow_worker = jobs.workers.current_instance(jobs.get_worker_id('desk-vm-2'))
    slow_worker.slowdown = 40
    submitted = job(steps=(step(tasks=12, speculative=True),))
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    with trio.fail_after(4):
        await jobs.wait_for_state(JobState.completed, submitted)
    await jobs.wait_until(lambda: not slow_worker.running)
    run_counts = Counter(
        started.run.task for started in jobs.workers.started_runs
    )
    assert max(run_counts.values()) == 2
    assert not jobs.workers.find_violations()


async def test_run_at_a_silent_worker_is_copied(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A speculative task does not wait until the leases expire."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    submitted = job(steps=(step(tasks=2, speculative=True),))
    jobs.workers.run_ms = {
        TaskId(submitted.job_id, 0, 0, ordinal): 1_000 for ordinal in range(2)
    }
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    silent_worker = jobs.workers.current_instance(
        jobs.workers.started_runs[0].worker_id
    )
    silent_worker.unreachable_from = set()
    with trio.fail_after(3.5):
        await jobs.wait_for_state(JobState.completed, submitted)
    assert not jobs.workers.find_violations()


async def test_failed_copy_of_a_done_task_is_ignored(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A done task stays done, whatever the outcome of its other run."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    slow_worker = jobs.workers.current_instance(jobs.get_worker_id('desk-vm-2'))
    slow_worker.slowdown = 5
    slow_worker.fails_all = True
    steps = (
        step(tasks=12, speculative=True),
        step(tasks=2, dependencies=(0,), speculative=True),
    )
    submitted = job(steps=steps)
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_for_state(JobState.completed, submitted)
    assert not jobs.workers.find_violations()


async def test_job_metrics(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Run orders, run ends and their durations are counted."""
    jobs.add_workers('desk', 1)
    (entry,) = await jobs.start_all(1)
    submitted = job(steps=(step(tasks=2),))
    await jobs.submit(entry, submitted)
    await jobs.wait_for_state(JobState.completed, submitted)
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


def _strip_fraction(line: str) -> str:
    return line.removesuffix('.0')


async def test_commands_show_owners_jobs_and_fleet(
    jobs: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The operators' commands print what the dump of an entry VM contains."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
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
    jobs: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner lists tasks and workers; other entry VMs return a remedy."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    later = step(tasks=1, dependencies=(0,))
    submitted = job(steps=(step(tasks=2), later))
    await jobs.submit(jobs.entry_not_owning('desk'), submitted)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    await trio.sleep(0.2)
    owner = jobs.entries[jobs.owner('desk')]
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
    worker_id = jobs.get_worker_id('desk-vm-1')
    assert lines[1].startswith(f'    run 1 at {worker_id}: ')
    assert len(lines) == 4
    unknown = await _get_from_operators(
        jobs.entry_not_owning('desk').kernel, '/v1/jobs/job-1'
    )
    assert unknown['status'] == HTTPStatus.NOT_FOUND
    assert 'cyclamenshift owners' in unknown['remedy']


async def _get_from_operators(kernel: Kernel, *arguments: object) -> Any:
    client = JobOperatorFrontend(kernel).app.test_client()
    response = await client.get(str(arguments[-1]))
    return await response.get_json()


async def test_dump_lists_every_component(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Plug-ins of the same name have separate keys in the dump."""
    entry = await jobs.start('entry-1')
    assert len(entry.kernel.dump()) == len(entry.kernel.components)
    assert 'store.fake' in entry.kernel.dump()
