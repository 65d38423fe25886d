"""
tests.test_isolation
====================

Tasks that may crash their workers wait for one of their own, but not for ever.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.crash_ledger import CrashLedger, WorkerCrash
from cyclamenshift.decisions.crashes import (
    MAX_CAUSE_AGE_MS,
    MAX_CRASHES,
    Crashes,
)
from cyclamenshift.decisions.isolation import (
    MAX_ISOLATION_WAIT_MS,
    IsolationChoice,
    choose_worker,
)
from cyclamenshift.decisions.progress import Phase
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import Job, JobState, Step, TaskId

from .builders import job, occupancy, queue, step
from .standins.jobs import JobCluster

LONG_MS = 100_000
#: Within this time a job without a run has to start again where there is room:
#: the target's ``finish_s`` on the strictest deployment, s.
START_S = 14
HELD = occupancy('worker-1', young=2, settles_in=900)
CALM = occupancy('worker-2', old=3)
LOST_WORKER = 'desk-vm-1'


async def crash_for_good(cluster: JobCluster, vm_id: str = LOST_WORKER) -> None:
    """Let the worker of a VM and its registration go."""
    worker_id = cluster.get_worker_id(vm_id)
    cluster.workers.crash(worker_id)
    await trio.sleep(4.5)
    cluster.platform.workers.pop(worker_id)
    cluster.platform.notify_change()


def keep_busy(cluster: JobCluster, workers: int, step_of: Step) -> Job:
    """Return a job with a task for each worker that lasts for minutes."""
    blocking = job('blocking', steps=(step_of,))
    for ordinal in range(workers):
        cluster.workers.run_ms[TaskId('blocking', 0, 0, ordinal)] = LONG_MS
    return blocking


@pytest.mark.parametrize(
    'changes',
    [
        {'worker_limit': 1, 'estimate': LONG_MS},
        {'worker_limit': 1, 'long_running': True},
        {'worker_limit': 1, 'long_running': True, 'disruption_limit': 1},
    ],
)
async def test_suspect_starts_where_each_worker_has_a_long_task(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    changes: dict[str, object],
) -> None:
    """After the loss of a worker its new tasks waited for those of minutes."""
    job_cluster.add_workers('desk', 8)
    await job_cluster.start_all(2)
    entry = job_cluster.entry_not_owning('desk')
    blocking = keep_busy(job_cluster, 8, step(tasks=8, **changes))
    await job_cluster.submit(entry, blocking)
    await trio.sleep(3)
    hit = job('hit', steps=(step(tasks=30, estimate=500),))
    await job_cluster.submit(entry, hit)
    await trio.sleep(0.05)
    await crash_for_good(job_cluster)
    with trio.fail_after(START_S):
        await job_cluster.wait_for_state(JobState.completed, hit)
    assert not job_cluster.workers.find_violations()


async def test_many_suspects_start_soon_after_the_loss_of_a_rack(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """They ran one after the other, on half of the workers that were left."""
    job_cluster.add_workers('desk', 8)
    await job_cluster.start_all(2)
    entry = job_cluster.entry_not_owning('desk')
    hit = job('hit', steps=(step(tasks=96),))
    for ordinal in range(96):
        job_cluster.workers.run_ms[TaskId('hit', 0, 0, ordinal)] = 2_500
    await job_cluster.submit(entry, hit)
    await trio.sleep(0.1)
    async with trio.open_nursery() as nursery:
        for number in range(1, 5):
            nursery.start_soon(crash_for_good, job_cluster, f'desk-vm-{number}')
    with trio.fail_after(START_S):
        await job_cluster.wait_for_state(JobState.completed, hit)
    assert not job_cluster.workers.find_violations()


async def test_suspect_for_a_busy_worker_holds_up_no_other(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The others waited until the only worker with its label was empty."""
    job_cluster.add_workers('desk', 2)
    job_cluster.add_vm('desk-vm-3', 'desk', labels=frozenset(('fast',)))
    await job_cluster.start_all(1)
    entry = next(iter(job_cluster.entries.values()))
    blocking = keep_busy(job_cluster, 1, step(tasks=1, required_label='fast'))
    await job_cluster.submit(entry, blocking)
    await trio.sleep(1)
    labelled = job('job-1', steps=(step(tasks=1, required_label='fast'),))
    suspects = [labelled, job('job-2')]
    tracker = job_cluster.state('entry-1', 'desk').tracker
    for submitted in suspects:
        await job_cluster.submit(entry, submitted)
        for task in tracker.jobs[submitted.job_id].tasks():
            task.crashes = Crashes(1, 0)
    with trio.fail_after(1):
        await job_cluster.wait_for_state(JobState.completed, suspects[1])
    with trio.fail_after(START_S):
        await job_cluster.wait_for_state(JobState.completed, labelled)


async def test_deadly_task_beside_long_ones_is_given_up(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It takes none of them along, though it crashes their workers."""
    job_cluster.add_workers('desk', 4)
    await job_cluster.start_all(2)
    entry = job_cluster.entry_not_owning('desk')
    changes = {'worker_limit': 1, 'estimate': LONG_MS}
    blocking = keep_busy(job_cluster, 4, step(tasks=4, **changes))
    await job_cluster.submit(entry, blocking)
    await trio.sleep(6)
    deadly = job('deadly', steps=(step(tasks=1),))
    task = TaskId('deadly', 0, 0, 0)
    job_cluster.workers.deadly.add(task)
    await job_cluster.submit(entry, deadly)
    await job_cluster.wait_for_state(JobState.failed, deadly)
    assert job_cluster.workers.count_starts(task) <= MAX_CRASHES
    await job_cluster.wait_for_state(JobState.completed, blocking)


@pytest.mark.parametrize(
    ('beside', 'expected'),
    [(MAX_CAUSE_AGE_MS + 1, True), (MAX_CAUSE_AGE_MS, False)],
)
def test_crash_beside_an_old_run_tells_as_if_alone(
    beside: int, *, expected: bool
) -> None:
    """A task beside one of minutes was started a third time."""
    tracker = JobTracker()
    progress = tracker.add(job(), queue(), wall_time=0)
    assert progress
    other, suspect = progress.steps[0, 0]
    suspect.crashes = Crashes(1, 0)
    attempts = [
        tracker.plan(task, ('worker-1', 1), number=1, now=ordered_at)
        for task, ordered_at in ((other, 0), (suspect, beside))
    ]
    for attempt in attempts:
        attempt.phase = Phase.running
        attempt.ordered_at = attempt.planned_at
    CrashLedger(tracker).record(attempts, WorkerCrash(beside, settled=True), 0)
    assert suspect.crashes.proved is expected


@pytest.mark.parametrize(
    ('in_a_row', 'waited', 'expected'),
    [
        (1, 0, ('worker-1', True)),
        (1, MAX_ISOLATION_WAIT_MS, ('worker-3', False)),
        (2, MAX_ISOLATION_WAIT_MS, ('worker-2', False)),
    ],
)
def test_suspect_waits_for_a_worker_for_a_limited_time(
    in_a_row: int, waited: int, expected: tuple[str, bool]
) -> None:
    """It waited until the short runs of a worker had ended."""
    shared = occupancy('worker-3', on_probation=True, shareable=True)
    workers = (HELD, CALM, shared)
    choice = choose_worker(Crashes(in_a_row), waited, workers)
    assert choice == IsolationChoice((expected[0], 1), held=expected[1])


def test_suspect_without_a_calm_worker_holds_the_one_that_settles_first() -> (
    None
):
    """A worker with fewer runs was chosen anew with each run that ended."""
    late = occupancy('worker-1', young=1, old=1, settles_in=MAX_CAUSE_AGE_MS)
    soon = occupancy('worker-2', young=5, old=1, settles_in=10)
    choice = choose_worker(Crashes(2), MAX_ISOLATION_WAIT_MS, (late, soon))
    assert choice == IsolationChoice(soon.instance, held=True)


def test_suspect_that_fits_nowhere_holds_no_worker() -> None:
    """It was kept free until it was empty, also for a task of hours."""
    full = occupancy('worker-1', young=1, old=1, fits=False, fits_later=False)
    assert choose_worker(Crashes(1), 0, (full,)) is None


def test_suspect_starts_beside_lasting_tasks_where_it_fits() -> None:
    """The one with the fewest lasting tasks was chosen, though it was full."""
    full = occupancy('worker-1', lasting=1, fits=False)
    roomy = occupancy('worker-2', lasting=2)
    choice = choose_worker(Crashes(1), 0, (full, roomy))
    assert choice == IsolationChoice(roomy.instance, held=False)
