"""
tests.test_records
==================

The rows of jobs' progress, and what a successor restores from them.
"""

from cyclamenshift.decisions.crashes import Crashes
from cyclamenshift.decisions.progress import JobProgress, Phase
from cyclamenshift.decisions.records import restore, row_of
from cyclamenshift.decisions.reports import ReportApplication
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import RunEnd, RunId, RunOutcome
from cyclamenshift.worker import WorkerReport

from .builders import WALL_START, job, queue, report_timing, step

TASKS = 6
#: How often a lasting task fails within minutes, and the most bytes that its
#: row may take then.
FAILURES = 1_000
ROW_BYTES = 1_000
INSTANCE = ('worker-1', WALL_START)


def started_job() -> tuple[JobTracker, JobProgress]:
    """Return a job whose tasks are all at work in their first run."""
    tracker = JobTracker()
    submitted = job(steps=(step(tasks=TASKS),))
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    for task in tuple(tracker.waiting.values()):
        tracker.plan(task, INSTANCE, 1, 0)
    return tracker, progress


def restored(progress: JobProgress) -> JobProgress:
    """Return what a successor restores from the row of *progress*."""
    successor = JobProgress(progress.job, progress.queue)
    restore(successor, row_of(progress), WALL_START, 0)
    return successor


def test_active_runs_are_recorded_once() -> None:
    """Each task at work was in the row twice, which made half of its size."""
    _tracker, progress = started_job()
    row = row_of(progress)
    assert len(row['open']) == TASKS
    assert not row['tried']


def test_successor_restores_what_was_attempted() -> None:
    """Numbers of runs, failures and checkpoints survive in any combination."""
    tracker, progress = started_job()
    tasks = list(progress.tasks())
    tasks[1].failures = 1
    tasks[2].checkpoint = 'saved'
    tasks[0].crashes = Crashes(1, 20)
    tracker.remove(tasks[3].attempts[1])
    tracker.remove(tasks[4].attempts[1])
    tracker.plan(tasks[4], INSTANCE, 2, 0)
    tracker.plan(tasks[5], INSTANCE, 2, 0)
    tracker.remove(tasks[5].attempts[2])
    for before, after in zip(tasks, restored(progress).tasks(), strict=True):
        assert after.last_run == before.last_run
        assert after.failures == before.failures
        assert after.checkpoint == before.checkpoint
        assert after.crashes == before.crashes
        assert after.attempts.keys() == before.attempts.keys()
        assert all(
            attempt.phase is Phase.inherited and attempt.instance == INSTANCE
            for attempt in after.attempts.values()
        )


def test_successor_knows_which_runs_failed() -> None:
    """It counts the end of another run, but not the same end once more."""
    tracker, progress = started_job()
    task = next(progress.tasks())
    tracker.plan(task, INSTANCE, 2, 0)
    progress.record_failure(task, 2, INSTANCE, WALL_START)
    tracker.remove(task.attempts[2])
    successor = restored(progress)
    task_after = next(successor.tasks())
    assert task_after.failed_runs == {2}
    successor.record_failure(task_after, 2, INSTANCE, WALL_START)
    assert task_after.failures == 1
    successor.record_failure(task_after, 1, INSTANCE, WALL_START)
    assert task_after.failures == 2


def test_row_of_an_earlier_build_counts_no_end_twice() -> None:
    """It does not tell which runs failed, so those that are over may have."""
    tracker, progress = started_job()
    task = next(progress.tasks())
    tracker.remove(task.attempts[1])
    tracker.plan(task, INSTANCE, 2, 0)
    task.failures = 1
    successor = restored(progress)
    task_after = next(successor.tasks())
    successor.record_failure(task_after, 1, INSTANCE, WALL_START)
    assert task_after.failures == 1
    successor.record_failure(task_after, 2, INSTANCE, WALL_START)
    assert task_after.failures == 2


def test_job_whose_run_was_only_planned_counts_as_started() -> None:
    """A successor gave too few waiting jobs after a worker had refused."""
    tracker, progress = started_job()
    assert not restored(progress).started
    attempts = progress.attempts()
    for refused in attempts[1:]:
        tracker.remove(refused)
    assert not restored(progress).started
    tracker.mark_running(attempts[0], 1)
    assert restored(progress).started


def test_job_whose_run_has_ended_unseen_counts_as_waiting() -> None:
    """The end is the first that the scheduler hears of the run."""
    tracker, progress = started_job()
    first_run = progress.attempts()[0].run
    end = RunEnd(1, first_run, RunOutcome.done, '')
    report = WorkerReport(1, WALL_START, running=(), ended=(end,))
    ReportApplication(
        tracker, INSTANCE, report, report_timing(), WALL_START
    ).run()
    assert progress.started
    assert restored(progress).started


def test_row_grows_with_each_failure_of_a_lasting_task() -> None:
    """It got too large for the store, and no job was started any more."""
    tracker = JobTracker()
    submitted = job(steps=(step(tasks=1, long_running=True),))
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    (task,) = progress.tasks()
    for number in range(1, FAILURES + 1):
        tracker.plan(task, INSTANCE, number, 0)
        run = RunId(task.task_id, number)
        end = RunEnd(number, run, RunOutcome.failed, '')
        report = WorkerReport(number, WALL_START, running=(), ended=(end,))
        ReportApplication(
            tracker, INSTANCE, report, report_timing(), WALL_START
        ).run()
    assert task.failures == FAILURES
    assert len(str(row_of(progress))) < ROW_BYTES
    (successor,) = restored(progress).tasks()
    assert successor.failures == FAILURES
    assert successor.last_run == FAILURES
    assert not successor.failed_runs


def test_row_grows_with_each_failure_of_a_task_with_many_attempts() -> None:
    """Each failed run was listed, up to the attempts that a queue allows."""
    tracker = JobTracker()
    progress = tracker.add(job(), queue(attempts=10**6), WALL_START)
    assert progress
    task = next(progress.tasks())
    for number in range(1, 20_001):
        progress.record_failure(task, number, INSTANCE, 0)
    task.last_run = 20_000
    assert len(str(row_of(progress))) < ROW_BYTES
    successor = next(restored(progress).tasks())
    assert successor.failures == task.failures
    assert task.failed_runs == successor.failed_runs


def test_failure_of_a_gang_counts_twice_after_a_take_over() -> None:
    """Its first member was still listed as active, and shares the count."""
    tracker = JobTracker()
    submitted = job(steps=(step(tasks=2, gang=True),))
    progress = tracker.add(submitted, queue(attempts=3), WALL_START)
    assert progress
    first, second = progress.steps[0, 0]
    for task in (first, second):
        tracker.plan(task, INSTANCE, 1, 0)
    progress.record_failure(second, 1, INSTANCE, 0)
    tracker.remove(second.attempts[1])
    successor = restored(progress)
    (restored_first, restored_second) = successor.steps[0, 0]
    successor.record_failure(restored_second, 1, INSTANCE, 0)
    assert (restored_first.failures, restored_first.failed_runs) == (1, {1})
