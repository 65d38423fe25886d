"""
bench.row_sizes
===============

Prints the sizes of the rows of jobs, as the platform's store transfers them.

Run as ``python -m bench.row_sizes``.
"""

from collections.abc import Iterable
from typing import Any, Final

import msgspec

from cyclamenshift import settings
from cyclamenshift.decisions.progress import JobProgress
from cyclamenshift.decisions.records import row_of
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import Job, JobState
from cyclamenshift.jobrows import JobRow, job_key, progress_key
from cyclamenshift.platform.rows import encode_transaction, size_of_value
from cyclamenshift.scheduling.job_rows import JobRows, RowLimit
from cyclamenshift.store import Check, Transaction, Write
from tests.builders import WALL_START, job, queue, step

#: A service's jobs at a take-over.
FINISHED_JOBS: Final = 300
OPEN_JOBS: Final = 30
#: The numbers of tasks in a step.
SMALL: Final = 8
LARGE: Final = 32
#: The same where one row does not hold them.
DIVIDED: Final = (1_000, 10_000)


def open_job(number: int, tasks: int) -> JobProgress:
    """Return a job of two steps whose first step's tasks are all started."""
    submitted = job(
        f'{number:016x}', steps=(step(tasks=tasks), step(dependencies=(0,)))
    )
    tracker = JobTracker()
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    for index, task in enumerate(tuple(tracker.waiting.values())):
        instance = (f'{index % SMALL:016x}', WALL_START + index % SMALL)
        tracker.plan(task, instance, 1, 0)
    return progress


def finished_job(number: int) -> JobProgress:
    """Return a completed job."""
    progress = open_job(number, SMALL)
    progress.finish(JobState.completed, WALL_START)
    for task in progress.tasks():
        task.attempts.clear()
    return progress


def job_write(submitted: Job) -> Write:
    """Return the write of the row of a job."""
    return Write(job_key('wule91c', submitted.job_id), JobRow(job=submitted))


def progress_write(progress: JobProgress) -> Write:
    """Return the write of the row of a job's progress."""
    key = progress_key('wule91c', progress.job.job_id)
    return Write(key, row_of(progress))


def page_size(writes: Iterable[Write]) -> int:
    """Return the size of the rows in a page, bytes."""
    body = encode_transaction(Transaction((), tuple(writes)))
    rows: list[dict[str, Any]] = [
        {**row, 'ver': WALL_START} for row in body['puts']
    ]
    return len(msgspec.json.encode(rows))


def transaction_size(progress: JobProgress) -> int:
    """Return the size of a transaction that records one job, bytes."""
    write = progress_write(progress)
    transaction = Transaction((Check(write.key, WALL_START),), (write,))
    return len(msgspec.json.encode(encode_transaction(transaction)))


def print_divided() -> None:
    """Print the sizes of the rows of jobs that are divided into pieces."""
    for tasks in DIVIDED:
        progress = open_job(0, tasks)
        rows = JobRows(
            progress_key('wule91c', progress.job.job_id),
            RowLimit(settings.default()['store']['row_limit'], size_of_value),
        )
        changes = rows.changes(progress)
        for change in changes:
            rows.confirm(change, WALL_START)
        first = next(progress.tasks())
        first.attempts.clear()
        sizes = [change.size for change in changes]
        changed = rows.changes(progress)[0]
        print(
            f'{tasks} runs of one job: {len(sizes)} rows, {sum(sizes)} bytes, '
            f'the end of one {changed.size} bytes'
        )


def main() -> None:
    """Print the sizes."""
    print_divided()
    for tasks in (SMALL, LARGE):
        size = transaction_size(open_job(0, tasks))
        print(f'transaction, {tasks} runs of one job: {size} bytes')
    finished = [finished_job(number) for number in range(FINISHED_JOBS)]
    opened = [open_job(number, SMALL) for number in range(OPEN_JOBS)]
    for name, jobs in (('finished', finished), ('open', opened)):
        job_bytes = page_size(job_write(each.job) for each in jobs)
        progress_bytes = page_size(map(progress_write, jobs))
        print(
            f'take-over, {len(jobs)} {name} jobs: '
            f'job rows {job_bytes} bytes, progress rows {progress_bytes} bytes'
        )


if __name__ == '__main__':
    main()
