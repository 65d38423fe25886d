"""
tests.test_unknown_ages
=======================

Crashes of workers under runs whose age their scheduler does not know.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.crash_ledger import CrashLedger, WorkerCrash
from cyclamenshift.decisions.crashes import MAX_CAUSE_AGE_MS, MAX_CRASHES
from cyclamenshift.decisions.progress import Attempt, JobProgress, Phase, Task
from cyclamenshift.decisions.records import row_of
from cyclamenshift.decisions.reports import ReportApplication
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import Job, JobState, RunId, RunStatus
from cyclamenshift.worker import WorkerReport

from .builders import (
    WALL_START,
    job,
    leases_expired,
    queue,
    report_timing,
    step,
)
from .standins.jobs import JobCluster

INSTANCE = ('worker-1', WALL_START)
#: The worker's clock at the first report to a new owner, ms, and for how long
#: the run is reported: well beyond what a cause of a crash takes.
FIRST_CLOCK = 50_000
AT_WORK_MS = 2 * MAX_CAUSE_AGE_MS
#: When an order was sent, and when its worker was last heard of, ms.
ORDERED_AT = 9_000
HEARD_AT = 8_600
#: The most starts of a task that crashes each worker: after three crashes, two
#: more are allowed.
MAX_STARTS = 5


def new_tracker() -> tuple[JobTracker, JobProgress]:
    """Return a tracker with a lasting job of one task that waits."""
    tracker = JobTracker()
    lasting = job(steps=(step(tasks=1, long_running=True),))
    progress = tracker.add(lasting, queue(), WALL_START)
    assert progress
    return tracker, progress


def only_task(progress: JobProgress) -> Task:
    """Return the only task of a job."""
    (task,) = progress.tasks()
    return task


def start(tracker: JobTracker, progress: JobProgress) -> Attempt:
    """Plan the next run of the only task."""
    task = only_task(progress)
    return tracker.plan(task, INSTANCE, task.last_run + 1, 0)


def take_over(progress: JobProgress) -> tuple[JobTracker, JobProgress]:
    """Return what the next owner restores from the row of a job."""
    tracker = JobTracker()
    successor = JobProgress(progress.job, progress.queue)
    tracker.restore(successor, row_of(progress), WALL_START, 0)
    return tracker, successor


def report(tracker: JobTracker, run: RunId, clock: int) -> None:
    """Apply a report that lists *run* at a time on the worker's clock."""
    report = WorkerReport(
        clock=clock,
        started_at=WALL_START,
        running=(RunStatus(run, '', 100, 0),),
        ended=(),
    )
    ReportApplication(
        tracker, INSTANCE, report, report_timing(), WALL_START
    ).run()


def report_at_work(tracker: JobTracker, run: RunId) -> None:
    """Apply the reports of a run that is at work for ``AT_WORK_MS``."""
    report(tracker, run, FIRST_CLOCK)
    report(tracker, run, FIRST_CLOCK + AT_WORK_MS)


def crash(tracker: JobTracker, alive_at: int) -> None:
    """Lose the runs with a settled worker that was alive at *alive_at*."""
    lost = tracker.weigh_all_at(INSTANCE, leases_expired())
    CrashLedger(tracker).record(
        lost, WorkerCrash(alive_at, settled=True), WALL_START
    )


def test_run_restored_from_the_row_is_given_up() -> None:
    """It had been at work for seconds under the new owner, both times."""
    tracker, progress = new_tracker()
    for _crash in range(2):
        run = start(tracker, progress).run
        tracker, progress = take_over(progress)
        report_at_work(tracker, run)
        crash(tracker, alive_at=AT_WORK_MS)
    assert not progress.state.final


def test_run_adopted_from_a_report_is_given_up() -> None:
    """Its attempt had been dropped, and the worker reported it again."""
    tracker, progress = new_tracker()
    for _crash in range(2):
        attempt = start(tracker, progress)
        tracker.remove(attempt)
        report_at_work(tracker, attempt.run)
        crash(tracker, alive_at=AT_WORK_MS)
    assert not progress.state.final


def test_run_whose_orders_got_no_answer_is_given_up() -> None:
    """The worker was last heard of before the order, which may be late."""
    tracker, progress = new_tracker()
    for _crash in range(2):
        attempt = start(tracker, progress)
        attempt.ordered_at = ORDERED_AT
        attempt.phase = Phase.unsettled
        crash(tracker, alive_at=HEARD_AT)
    assert not progress.state.final


def test_run_of_a_repeated_order_keeps_its_age() -> None:
    """The answer to the second order came, and the run went on for seconds."""
    tracker, progress = new_tracker()
    for _crash in range(2):
        attempt = start(tracker, progress)
        attempt.ordered_at = ORDERED_AT
        attempt.phase = Phase.unsettled
        tracker.mark_running(attempt, FIRST_CLOCK)
        crash(tracker, alive_at=ORDERED_AT + AT_WORK_MS)
    assert not progress.state.final


def test_runs_lost_before_their_first_report_are_given_up() -> None:
    """Two workers crashed while the service changed its owner."""
    tracker, progress = new_tracker()
    for _crash in range(2):
        start(tracker, progress)
        tracker, progress = take_over(progress)
        crash(tracker, alive_at=0)
    assert not progress.state.final


def test_task_that_crashes_its_workers_goes_on_across_owners() -> None:
    """Each owner saw only that the row had a run at the lost worker."""
    tracker, progress = new_tracker()
    starts = 0
    while not progress.state.final and starts <= MAX_STARTS:
        start(tracker, progress)
        starts += 1
        tracker, progress = take_over(progress)
        crash(tracker, alive_at=0)
    assert progress.state is JobState.failed
    assert starts <= MAX_STARTS


@pytest.mark.parametrize('inherited', [0, 1, 2])
def test_uncertain_crashes_hide_the_certain_ones(inherited: int) -> None:
    """A task with crashes under one owner is given up after *inherited*."""
    tracker, progress = new_tracker()
    for _crash in range(inherited):
        start(tracker, progress)
        tracker, progress = take_over(progress)
        crash(tracker, alive_at=0)
        assert only_task(progress).crashes.suspicious
    for _crash in range(2):
        attempt = start(tracker, progress)
        attempt.ordered_at = ORDERED_AT
        attempt.phase = Phase.running
        crash(tracker, alive_at=ORDERED_AT)
    assert progress.state is JobState.failed


def test_successor_takes_uncertain_crashes_for_certain_ones() -> None:
    """The row told how many there were, but not what was known of them."""
    tracker, progress = new_tracker()
    for _crash in range(MAX_CRASHES):
        start(tracker, progress)
        tracker, progress = take_over(progress)
        crash(tracker, alive_at=0)
    _tracker, successor = take_over(progress)
    assert only_task(successor).crashes == only_task(progress).crashes
    assert not only_task(successor).crashes.proved


def test_crashes_are_held_against_a_run_that_outlived_them() -> None:
    """It kept its worker on probation for ever under the next owner."""
    tracker, progress = new_tracker()
    attempt = start(tracker, progress)
    attempt.ordered_at = ORDERED_AT
    attempt.phase = Phase.running
    crash(tracker, alive_at=ORDERED_AT)
    run = start(tracker, progress).run
    tracker, progress = take_over(progress)
    assert only_task(progress).crashes.in_a_row == 1
    tracker.dirty.clear()
    report_at_work(tracker, run)
    assert not only_task(progress).crashes.in_a_row
    assert progress.job.job_id in tracker.dirty


async def lose_worker_of(job_cluster: JobCluster, submitted: Job) -> None:
    """Crash the worker that runs the only task of a job."""
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    (attempt,) = state.tracker.jobs[submitted.job_id].attempts()
    sim = job_cluster.workers.current_instance(attempt.instance[0])
    await job_cluster.crash_and_restart(sim.worker)


async def test_sound_lasting_job_fails_after_two_changes_of_its_owner(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its workers crashed long after their runs had begun."""
    job_cluster.add_workers('desk', 3)
    await job_cluster.start_all(4)
    lasting = job(steps=(step(tasks=1, long_running=True),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), lasting)
    for _owner in range(3):
        await trio.sleep(8)
        job_cluster.kill(job_cluster.owner('desk'))
        await job_cluster.wait_until(job_cluster.all_owned)
        await trio.sleep(AT_WORK_MS / 1000)
        await lose_worker_of(job_cluster, lasting)
    await trio.sleep(8)
    assert await job_cluster.state_of(lasting) is JobState.running
