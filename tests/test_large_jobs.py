"""
tests.test_large_jobs
=====================

Jobs whose progress is too large for one row of the store.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.controls.job_access import Stored
from cyclamenshift.decisions.pieces import join, ranges_of
from cyclamenshift.decisions.progress import JobProgress, Task
from cyclamenshift.decisions.records import restore, row_of
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import Job, JobState, Resources, TaskId
from cyclamenshift.jobrows import PROGRESS_TABLE, ProgressRow, progress_key
from cyclamenshift.platform.rows import size_of_value
from cyclamenshift.progressrows import (
    DividedRow,
    Piece,
    PieceRow,
    is_divided,
    piece_of,
)
from cyclamenshift.rows import decode_row
from cyclamenshift.scheduling.job_rows import JobRows, RowChange, RowLimit
from cyclamenshift.store import Row

from .builders import WALL_START, job, queue, step
from .standins.jobs import WAIT_MS, JobCluster
from .standins.store_limits import MAX_ROW_SIZE

#: Tasks that take more than one row, and small enough to fit a test's pool.
TASKS = 1_200
TINY = Resources(10, 10)
RUN_MS = 20_000
INSTANCE = ('worker-1', WALL_START)
#: The target's ``finish_s`` on the strictest deployment, s.
FINISH_S = 14


def large_job(cluster: JobCluster, **changes: object) -> Job:
    """Return a job whose tasks run at the same time, and a step after it."""
    first = step(tasks=TASKS, resources=TINY, **changes)
    last = step(tasks=1, resources=TINY, dependencies=(0,))
    for ordinal in range(TASKS):
        cluster.workers.run_ms[TaskId('large', 0, 0, ordinal)] = RUN_MS
    return job('large', steps=(first, last))


async def start_large(cluster: JobCluster, submitted: Job) -> None:
    """Submit a job and wait until all tasks of its first step are at work."""
    cluster.add_workers('desk', 4)
    await cluster.start_all(2)
    await cluster.submit(cluster.entry_not_owning('desk'), submitted)
    with trio.fail_after(FINISH_S):
        await cluster.wait_until(
            lambda: len(cluster.workers.started_runs) == TASKS
        )


def stored_rows(cluster: JobCluster) -> list[Row]:
    """Return the rows of progress of the service."""
    return list(cluster.store.table.scan(PROGRESS_TABLE, 'desk').rows)


@pytest.mark.parametrize('changes', [{}, {'gang': True}])
async def test_large_job_stops_all_jobs_of_its_service(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    changes: dict[str, object],
) -> None:
    """Its row was too large, and it was in each transaction."""
    submitted = large_job(job_cluster, **changes)
    await start_large(job_cluster, submitted)
    small = job('small')
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), small)
    with trio.fail_after(1):
        await job_cluster.wait_for_state(JobState.completed, small)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == TASKS + 3
    assert not job_cluster.workers.find_violations()
    await trio.sleep(1)
    (row, other) = stored_rows(job_cluster)
    assert not is_divided(row) and not is_divided(other)


async def test_successor_of_a_large_job_starts_its_tasks_again(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It has to join the pieces, and to write them over their versions."""
    submitted = large_job(job_cluster)
    await start_large(job_cluster, submitted)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert len(job_cluster.workers.started_runs) == TASKS + 1
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize('moment', [0.01, 0.03, 0.05, 0.1, 0.3])
async def test_owner_of_a_large_job_dies_while_its_runs_are_recorded(
    job_cluster: JobCluster, autojump_clock: MockClock, moment: float
) -> None:
    """Some of the pieces are stored, and others are not."""
    submitted = large_job(job_cluster)
    job_cluster.add_workers('desk', 4)
    await job_cluster.start_all(2)
    job_cluster.store.transaction_ms = 5
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await trio.sleep(moment)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert not job_cluster.workers.find_violations()


async def test_cancel_of_a_large_job_leaves_its_pieces(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """They go with the last of its runs, and the job after its retention."""
    submitted = large_job(job_cluster)
    await start_large(job_cluster, submitted)
    assert len(stored_rows(job_cluster)) > TASKS / 100
    await job_cluster.cancel(submitted)
    await job_cluster.wait_for_state(JobState.cancelled, submitted)
    await trio.sleep(FINISH_S)
    assert len(stored_rows(job_cluster)) == 1
    await trio.sleep(200)
    assert not stored_rows(job_cluster)


async def test_lost_answers_while_a_large_job_is_recorded(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The versions of the pieces were not those that it expected."""
    submitted = large_job(job_cluster)
    job_cluster.add_workers('desk', 4)
    await job_cluster.start_all(2)
    job_cluster.store.lose_answers = 3
    entry = job_cluster.entry_not_owning('desk')
    result = await entry.job_access.submit(
        job_cluster.queue_of(submitted), submitted, 2 * WAIT_MS
    )
    job_cluster.register_steps(submitted)
    assert isinstance(result, Stored)
    job_cluster.store.lose_answers = 3
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert not job_cluster.workers.find_violations()


async def test_job_that_the_store_rejects_holds_up_the_others(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """It is left out, and the log and a metric tell of it."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(1)
    entry = next(iter(job_cluster.entries.values()))
    poisoned = job('poisoned', steps=(step(tasks=1),))
    job_cluster.workers.run_ms[TaskId('poisoned', 0, 0, 0)] = RUN_MS
    await job_cluster.submit(entry, poisoned)
    await trio.sleep(1)
    tracker = job_cluster.state('entry-1', 'desk').tracker
    progress = tracker.jobs['poisoned']
    for task in progress.tasks():
        task.checkpoint = 'x' * MAX_ROW_SIZE
    tracker.mark_dirty(progress)
    sound = [job(f'job-{number}') for number in range(5)]
    for submitted in sound:
        await job_cluster.submit(entry, submitted)
    with trio.fail_after(2):
        await job_cluster.wait_for_state(JobState.completed, *sound)
    assert entry.scheduler.jobs_left_out() == {'billing': 0, 'desk': 1}
    for task in progress.tasks():
        task.checkpoint = ''
    await job_cluster.wait_for_state(JobState.completed, poisoned)
    assert entry.scheduler.jobs_left_out() == {'billing': 0, 'desk': 0}


async def test_transaction_of_several_rows_is_too_large(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Each row is accepted, but not all of them in one transaction."""
    job_cluster.add_workers('desk', 4)
    await job_cluster.start_all(1)
    entry = next(iter(job_cluster.entries.values()))
    submitted = [
        job(f'job-{number}', steps=(step(tasks=1, resources=TINY),))
        for number in range(40)
    ]
    for each in submitted:
        job_cluster.workers.run_ms[TaskId(each.job_id, 0, 0, 0)] = RUN_MS
        await job_cluster.submit(entry, each)
    await trio.sleep(2)
    tracker = job_cluster.state('entry-1', 'desk').tracker
    for progress in tracker.jobs.values():
        for task in progress.tasks():
            task.checkpoint = 'x' * (MAX_ROW_SIZE // 2)
        tracker.mark_dirty(progress)
    job_cluster.state('entry-1', 'desk').recorder.notify()
    await trio.sleep(1)
    assert all(
        progress.recorded == progress.generation
        for progress in tracker.jobs.values()
    )


class Written:
    """The rows of a job as a store would have them."""

    def __init__(self, limit: int) -> None:
        """Start without rows, of which none may have more than *limit*."""
        key = progress_key('desk', 'job-1')
        self.rows = JobRows(key, RowLimit(limit, size_of_value))
        self.stored: dict[str, Row] = {}
        self.version = 0

    def write(self, changes: list[RowChange]) -> None:
        """Write *changes* under the next version."""
        self.version += 1
        for change in changes:
            self.rows.confirm(change, self.version)
            if change.fields is None:
                self.stored.pop(change.key.name)
            else:
                row = Row(change.key, self.version, change.fields)
                self.stored[change.key.name] = row

    def restored(self, progress: JobProgress) -> JobProgress:
        """Return what a successor restores."""
        successor = JobProgress(progress.job, progress.queue)
        row = self.stored['job-1']
        if is_divided(row):
            joined = join(decode_row(row, DividedRow), self.pieces())
        else:
            joined = decode_row(row, ProgressRow)
        restore(successor, joined, WALL_START, 0)
        return successor

    def pieces(self) -> dict[Piece, PieceRow]:
        """Return the pieces of the job."""
        return {
            named.piece: decode_row(row, PieceRow)
            for row in self.stored.values()
            if (named := piece_of(row.key))
        }


def summary_of(task: Task) -> tuple[object, ...]:
    """Return what a successor has to know of a task."""
    if task.done:
        return (task.position(), True)
    attempted = (task.last_run, task.failures, task.checkpoint)
    return (task.position(), attempted, sorted(task.attempts))


def planned(tasks: int) -> tuple[JobTracker, JobProgress]:
    """Return a job whose tasks are planned in their first run."""
    tracker = JobTracker()
    submitted = job(steps=(step(tasks=tasks),))
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    for task in tuple(tracker.waiting.values()):
        tracker.plan(task, INSTANCE, 1, 0)
    return tracker, progress


def test_successor_joins_the_pieces_of_a_job() -> None:
    """It knows of each task what it knew from one row."""
    tracker, progress = planned(500)
    written = Written(limit=8_000)
    written.write(written.rows.changes(progress))
    tasks = list(progress.tasks())
    for number, task in enumerate(tasks):
        if number % 3 == 0:
            tracker.remove(task.attempts[1])
            tracker.complete(task, WALL_START)
        if number % 7 == 0:
            task.checkpoint = 'saved' * (number % 50)
            task.failures = 1
    written.write(written.rows.changes(progress))
    assert (
        max(size_of_value(row.fields) for row in written.stored.values())
        <= 8_000
    )
    restored = list(written.restored(progress).tasks())
    assert list(map(summary_of, restored)) == list(map(summary_of, tasks))


def test_change_of_one_task_writes_all_rows() -> None:
    """Each end of a run wrote the whole job, up to the limit of a row."""
    tracker, progress = planned(2_000)
    written = Written(MAX_ROW_SIZE)
    written.write(written.rows.changes(progress))
    assert written.rows.divided
    assert not written.rows.changes(progress)
    task = list(progress.tasks())[1_000]
    tracker.remove(task.attempts[1])
    (change,) = written.rows.changes(progress)
    assert change.size < MAX_ROW_SIZE / 8


@pytest.mark.parametrize('stop', range(1, 9))
def test_job_is_divided_by_writes_of_which_the_last_ones_are_missing(
    stop: int,
) -> None:
    """The row of the job said nothing of the runs in the missing pieces."""
    _tracker, progress = planned(500)
    written = Written(MAX_ROW_SIZE)
    written.write(written.rows.changes(progress))
    written.rows.limit = RowLimit(8_000, size_of_value)
    changes = written.rows.changes(progress)
    assert len(changes) == 9
    written.write(changes[:stop])
    restored = written.restored(progress).tasks()
    assert all(sorted(task.attempts) == [1] for task in restored)


def test_small_job_is_recorded_as_before() -> None:
    """Builds that know no pieces have to read the rows of usual jobs."""
    _tracker, progress = planned(24)
    written = Written(MAX_ROW_SIZE)
    (change,) = written.rows.changes(progress)
    assert change.fields == row_of(progress)


def test_many_finished_occurrences_make_the_row_too_large() -> None:
    """Each one was listed by its number."""
    progress = JobProgress(job(occurrences=40_000), queue())
    progress.finished = set(range(30_000)) - {5}
    written = Written(MAX_ROW_SIZE)
    changes = written.rows.changes(progress)
    assert max(change.size for change in changes) < 200
    written.write(changes)
    assert written.restored(progress).finished == progress.finished


def test_pieces_of_finished_occurrences_are_restored() -> None:
    """They are left over where the owner died before it deleted them."""
    row = DividedRow(
        state=JobState.running, finished=ranges_of({0, 1, 3}), ended=0
    )
    assert row['finished'] == [(0, 1), (3, 3)]
    _tracker, progress = planned(500)
    written = Written(limit=8_000)
    written.write(written.rows.changes(progress))
    assert not join(row, written.pieces())['open']
