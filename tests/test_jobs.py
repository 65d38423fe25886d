"""
tests.test_jobs
===============

Jobs over the whole path: stored, scheduled, run and told, with failures.
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

#: A transaction where the platform is slow, and how long a caller is let
#: wait, ms.
SLOW_MS = 250
CALLER_MS = 1_400
#: How soon after its cancel nothing of a job may run any more, seconds.
STOP_S = 3


async def test_job_is_run_and_told(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Steps run in their order; the job is told as completed."""
    jobs.add_workers('desk', 2)
    first, second = await jobs.start_all(2)
    last = step(tasks=2, dependencies=(0,))
    handed_in = job(steps=(step(tasks=3), last))
    for entry in (first, second):
        await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, handed_in)
    assert jobs.workers.started_steps() == [0, 0, 0, 1, 1]
    assert not jobs.workers.find_violations()


async def test_scheduler_is_killed(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its successor finds what runs, and starts nothing a second time."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(3)
    work = [job(f'job-{number}') for number in range(6)]
    for handed_in in work:
        await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await trio.sleep(0.2)
    jobs.kill(jobs.owner('desk'))
    await jobs.wait_until(jobs.all_owned)
    await jobs.wait_for_state(JobState.completed, *work)
    assert len(jobs.workers.started_runs) == 12
    assert not jobs.workers.find_violations()


async def test_recorded_runs_at_a_worker_that_is_gone(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor waits their leases out, then starts the tasks again."""
    jobs.add_workers('desk', 1, resources=Resources(2_000, 16_384))
    await jobs.start_all(2)
    handed_in = job()
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    gone = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(gone)
    jobs.platform.workers.pop(gone)
    jobs.kill(jobs.owner('desk'))
    jobs.add_vm('desk-vm-2', 'desk')
    await jobs.wait_for_state(JobState.completed, handed_in)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.find_violations()


async def test_cancelled_while_nobody_owns_the_service(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor stops what an earlier scheduler has started."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    lasting = job(steps=(step(long_running=True),))
    await jobs.submit(jobs.entry_not_owning('desk'), lasting)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.kill(jobs.owner('desk'))
    await jobs.cancel(lasting)
    await jobs.wait_until(jobs.all_owned)
    await jobs.wait_for_state(JobState.cancelled, lasting)
    (sim,) = jobs.workers.instances.values()
    await jobs.wait_until(lambda: not sim.running)


async def test_ends_listed_twice_before_they_are_recorded(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """No end is acknowledged that a successor could not read."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    handed_in = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: jobs.workers.started_runs)
    owner = jobs.owner('desk')
    state = jobs.state(owner, 'desk')
    jobs.store.delay = 10_000
    await jobs.wait_until(jobs.workers.unacknowledged_ends)
    (session,) = state.sessions.values()
    for _look in range(3):
        renewer = LeaseRenewer(state, session)
        jobs.nursery.start_soon(renewer.renew, 0)
        await trio.sleep(0.2)
    assert jobs.workers.unacknowledged_ends()
    jobs.kill(owner)
    jobs.store.delay = STORE_CALL_MS
    await jobs.wait_for_state(JobState.completed, handed_in)
    assert not jobs.workers.find_violations()


async def test_answers_of_starts_are_lost(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """What has started is found; nothing is started twice."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    jobs.workers.lose_answers = 3
    handed_in = job(steps=(step(tasks=6),))
    await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, handed_in)
    assert len(jobs.workers.started_runs) == 6
    assert not jobs.workers.find_violations()


async def test_starts_are_carried_out_late(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An order that comes after all is refused, for it was stopped."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    jobs.workers.late_order_delays = [1_000, 3_000]
    handed_in = job(steps=(step(tasks=4),))
    await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, handed_in)
    await trio.sleep(5)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.find_violations()


async def test_owner_is_turned_away_by_the_store(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It goes on through a peer; nobody takes its service over."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(3)
    owner = jobs.owner('desk')
    epoch = jobs.state(owner, 'desk').term.epoch
    jobs.store.cut_off.add(owner)
    work = [job(f'job-{number}') for number in range(3)]
    for handed_in, entry in zip(work, jobs.entries.values(), strict=True):
        await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, *work)
    await trio.sleep(12)
    assert jobs.state(owner, 'desk').term.epoch == epoch
    assert not jobs.workers.find_violations()


async def test_store_is_slow(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """What many entry VMs take at once is stored in few transactions."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(8)
    jobs.store.transaction_ms = SLOW_MS
    work = [job(f'job-{number}') for number in range(48)]
    entries = itertools.cycle(jobs.entries.values())
    async with trio.open_nursery() as nursery:
        for handed_in, entry in zip(work, entries, strict=False):
            await trio.sleep(0.05)
            nursery.start_soon(jobs.submit, entry, handed_in, CALLER_MS)
    assert not jobs.workers.find_violations()


async def test_more_jobs_at_once_than_a_transaction_takes(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each of them is accepted, although the store bounds a transaction."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    jobs.store.transaction_ms = SLOW_MS
    work = [job(f'job-{number}') for number in range(130)]
    async with trio.open_nursery() as nursery:
        for handed_in in work:
            nursery.start_soon(
                jobs.submit, jobs.entry_not_owning('desk'), handed_in
            )
    assert not jobs.workers.find_violations()


async def test_job_of_a_queue_not_heard_of_yet(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner keeps it until the configuration tells of the queue."""
    jobs.add_workers('desk', 2)
    handed_in = job()
    await _submit_unheard_of(jobs, handed_in)
    await trio.sleep(3)
    jobs.platform.catalog = catalog()
    await jobs.wait_for_state(JobState.completed, handed_in)


async def test_cancelled_before_its_queue_is_heard_of(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """No task of it runs when the configuration tells of the queue."""
    jobs.add_workers('desk', 2)
    handed_in = job()
    entry, queue = await _submit_unheard_of(jobs, handed_in)
    cancelled = await entry.job_access.cancel(queue, handed_in.job_id, 3_000)
    assert isinstance(cancelled, Stored)
    await trio.sleep(3)
    jobs.platform.catalog = catalog()
    await jobs.wait_for_state(JobState.cancelled, handed_in)
    assert not jobs.workers.started_runs


async def _submit_unheard_of(
    jobs: JobCluster,
    handed_in: Job,
) -> tuple[JobEntry, Queue]:
    """Hand a job in while the configuration tells of no queue."""
    entry = (await jobs.start_all(2))[0]
    queue = jobs.queue_of(handed_in)
    jobs.platform.catalog = catalog(queues={})
    jobs.register_steps(handed_in)
    assert isinstance(
        await entry.job_access.submit(queue, handed_in, 3_000),
        Stored,
    )
    return entry, queue


@pytest.mark.parametrize('after', range(5))
async def test_cancel_is_found_while_a_look_for_jobs_hangs(
    after: int,
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The hint of the cancel is lost; the look for cancels goes on."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    lasting = job(steps=(step(long_running=True),))
    owner = jobs.owner('desk')
    await jobs.submit(jobs.entry_not_owning('desk'), lasting)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.store.hung_tables.add(JOB_TABLE)
    await trio.sleep(after)
    await jobs.cancel_without_notification(lasting)
    (sim,) = jobs.workers.instances.values()
    with trio.fail_after(STOP_S):
        await jobs.wait_until(lambda: not sim.running)
    assert jobs.owner('desk') == owner


async def test_failed_start_is_recorded(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A successor doesn't wait for a run that never began."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    await trio.sleep(0.5)
    gone = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(gone)
    handed_in = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await trio.sleep(0.5)
    jobs.platform.workers.pop(gone)
    jobs.platform.notify_change()
    await trio.sleep(1)
    jobs.kill(jobs.owner('desk'))
    jobs.add_vm('desk-vm-2', 'desk')
    await jobs.wait_until(jobs.all_owned)
    with trio.fail_after(2):
        await jobs.wait_for_state(JobState.completed, handed_in)


async def test_worker_answers_again_after_its_leases(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It is used again, although its runs were given up."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    handed_in = job(steps=(step(tasks=1),))
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: jobs.workers.started_runs)
    (sim,) = jobs.workers.instances.values()
    sim.unreachable_from = set()
    await trio.sleep(10)
    assert not jobs.state(jobs.owner('desk'), 'desk').tracker.attempts_by_worker
    sim.unreachable_from = None
    await jobs.wait_for_state(JobState.completed, handed_in)


async def test_lasting_tasks_go_on_undisturbed(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Slow clocks and uneven answers of workers end nothing."""
    jobs.add_workers('desk', 2)
    (entry,) = await jobs.start_all(1)
    lasting = job(steps=(step(tasks=4, long_running=True),))
    await jobs.submit(entry, lasting)
    await trio.sleep(60)
    assert len(jobs.workers.started_runs) == 4
    assert not jobs.workers.ends


async def test_end_can_not_be_recorded_for_long(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """What else runs at the worker keeps its lease meanwhile."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    ends = job('ends', steps=(step(tasks=1),))
    lasts = job('lasts', steps=(step(tasks=1, long_running=True),))
    for handed_in in (lasts, ends):
        await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    jobs.store.down = True
    await trio.sleep(6)
    jobs.store.down = False
    await jobs.wait_for_state(JobState.completed, ends)
    await trio.sleep(3)
    assert len(jobs.workers.started_runs) == 2


async def test_final_jobs_are_dropped(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Their rows go some time after callers may ask for them, not before."""
    jobs.add_workers('desk', 1)
    entry, _other = await jobs.start_all(2)
    keep = entry.kernel.settings['jobs']['keep_final'] / 1000
    work = [job(f'job-{number}') for number in range(40)]
    for handed_in in work:
        await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, *work)
    jobs.kill(jobs.owner('desk'))
    await trio.sleep(keep)
    assert await jobs.state_of(work[0]) is JobState.completed
    await trio.sleep(30)
    for handed_in in work:
        assert isinstance(await jobs.state_of(handed_in), NoSuchJob)
    assert not jobs.store.table.scan('job', 'desk').rows
    assert not jobs.store.table.scan('progress', 'desk').rows


async def test_gang_starts_whole_or_not_at_all(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its members wait until there is room for all, on one rack if asked."""
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
    at = {started.worker_id for started in jobs.workers.started_runs}
    assert at == {
        jobs.get_worker_id('desk-vm-2'),
        jobs.get_worker_id('desk-vm-3'),
    }
    assert {start.run.number for start in jobs.workers.started_runs} == {1}


async def test_gang_loses_a_member(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All members start again, as one new run."""
    jobs.add_workers('desk', 2, resources=Resources(2_000, 16_384))
    await jobs.start_all(1)
    gang = job(steps=(step(tasks=4, gang=True),))
    for ordinal in range(4):
        jobs.workers.run_ms[TaskId(gang.job_id, 0, 0, ordinal)] = 20_000
    await jobs.submit(next(iter(jobs.entries.values())), gang)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 4)
    gone = jobs.get_worker_id('desk-vm-1')
    jobs.workers.crash(gone)
    jobs.platform.workers.pop(gone)
    jobs.add_vm('desk-vm-3', 'desk', resources=Resources(2_000, 16_384))
    await jobs.wait_for_state(JobState.completed, gang)
    numbers = Counter(start.run.number for start in jobs.workers.started_runs)
    assert numbers == {1: 4, 2: 4}
    assert not jobs.workers.find_violations()


async def test_slow_run_is_overtaken_by_a_copy(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The copy that is done first counts, and the other one is stopped."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    slow = jobs.workers.current_instance(jobs.get_worker_id('desk-vm-2'))
    slow.slowdown = 40
    handed_in = job(steps=(step(tasks=12, speculative=True),))
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    with trio.fail_after(4):
        await jobs.wait_for_state(JobState.completed, handed_in)
    await jobs.wait_until(lambda: not slow.running)
    copied = Counter(started.run.task for started in jobs.workers.started_runs)
    assert max(copied.values()) == 2
    assert not jobs.workers.find_violations()


async def test_run_at_a_silent_worker_is_copied(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A task that may run twice does not wait for the leases to run out."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    handed_in = job(steps=(step(tasks=2, speculative=True),))
    jobs.workers.run_ms = {
        TaskId(handed_in.job_id, 0, 0, ordinal): 1_000 for ordinal in range(2)
    }
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    silent = jobs.workers.current_instance(
        jobs.workers.started_runs[0].worker_id
    )
    silent.unreachable_from = set()
    with trio.fail_after(3.5):
        await jobs.wait_for_state(JobState.completed, handed_in)
    assert not jobs.workers.find_violations()


async def test_failed_copy_of_a_done_task_counts_for_nothing(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A task that is done stays so, whatever its other run ends with."""
    jobs.add_workers('desk', 2)
    await jobs.start_all(2)
    slow = jobs.workers.current_instance(jobs.get_worker_id('desk-vm-2'))
    slow.slowdown = 5
    slow.fails_all = True
    steps = (
        step(tasks=12, speculative=True),
        step(tasks=2, dependencies=(0,), speculative=True),
    )
    handed_in = job(steps=steps)
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_for_state(JobState.completed, handed_in)
    assert not jobs.workers.find_violations()


async def test_metrics_of_a_job(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Orders, ends and times of jobs are counted where they happen."""
    jobs.add_workers('desk', 1)
    (entry,) = await jobs.start_all(1)
    handed_in = job(steps=(step(tasks=2),))
    await jobs.submit(entry, handed_in)
    await jobs.wait_for_state(JobState.completed, handed_in)
    lines = entry.kernel.metrics.render().splitlines()
    for name, labels in (
        ('run_orders_total', 'result="Accepted",service="desk"'),
        ('run_ends_total', 'how="done",service="desk"'),
        ('run_start_ms_count', 'service="desk"'),
    ):
        assert f'cyclamenshift_{name}{{{labels}}} 2' in map(_whole, lines)
    assert any('job_ms_count' in line for line in lines)


def _whole(line: str) -> str:
    return line.removesuffix('.0')


async def test_commands_show_owners_jobs_and_fleet(
    jobs: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the operators' commands print comes from one dump."""
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


async def _dump(process: Kernel, *_asked: object) -> Dump:
    return process.dump()


async def test_command_shows_a_job(
    jobs: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It names the tasks and the workers; elsewhere it names the remedy."""
    jobs.add_workers('desk', 1)
    await jobs.start_all(2)
    later = step(tasks=1, dependencies=(0,))
    handed_in = job(steps=(step(tasks=2), later))
    await jobs.submit(jobs.entry_not_owning('desk'), handed_in)
    await jobs.wait_until(lambda: len(jobs.workers.started_runs) == 2)
    await trio.sleep(0.2)
    owner = jobs.entries[jobs.owner('desk')]
    monkeypatch.setattr(commands, 'call', partial(_ask, owner.kernel))
    options = argparse.Namespace(entry='', job=handed_in.job_id)
    shown = await commands.ShowJob().run(options)
    head, *lines = shown.lines
    assert head.startswith('job-1: running, queue checks, service desk')
    assert lines[0] == (
        '  occurrence 0, step 0, task 0: started, 1 runs, 0 failed'
    )
    worker_id = jobs.get_worker_id('desk-vm-1')
    assert lines[1].startswith(f'    run 1 at {worker_id}: ')
    assert len(lines) == 4
    unknown = await _ask(jobs.entry_not_owning('desk').kernel, '/v1/jobs/job-1')
    assert unknown['status'] == HTTPStatus.NOT_FOUND
    assert 'cyclamenshift owners' in unknown['remedy']


async def _ask(process: Kernel, *asked: object) -> Any:
    client = JobOperatorFrontend(process).app.test_client()
    response = await client.get(str(asked[-1]))
    return await response.get_json()


async def test_no_component_hides_another_in_the_dump(
    jobs: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Two plug-ins of one name are told apart by their families."""
    entry = await jobs.start('entry-1')
    assert len(entry.kernel.dump()) == len(entry.kernel.components)
    assert 'store.fake' in entry.kernel.dump()
