"""
cyclamenshift.decisions.records
===============================

Converts the progress of a job to its row and restores it from the row.
"""

from collections.abc import Iterable
from typing import Final

from ..job import JobState
from ..jobrows import (
    ActiveRun,
    AttemptedTask,
    ProgressRow,
    SuspectedCrashRow,
)
from .crashes import Crashes, KnownAge, MinimumAge
from .progress import Attempt, JobProgress, Phase, Task
from .suspected_crashes import SuspectedCrash

#: The base in which the bitmap of done tasks is written.
HEXADECIMAL: Final = 16
#: The most failed runs of a task that its row lists.  Of a task that has more,
#: each run that is over counts as a failed one.
MAX_LISTED_FAILURES: Final = 100


def row_of(progress: JobProgress) -> ProgressRow:
    """Return the row of a job; a final job needs no state of its tasks."""
    final = progress.state.final
    row = ProgressRow(
        state=progress.state,
        done=[] if final else _done_tasks(progress),
        finished=[] if final else sorted(progress.finished),
        open=active_runs(progress.tasks()),
        tried=[] if final else attempted_tasks(progress.tasks()),
        ended=progress.ended,
    )
    if is_unstarted(progress):
        row['unstarted'] = True
    return row


def is_unstarted(progress: JobProgress) -> bool:
    """Return whether runs of a job were planned and none was started."""
    return progress.state is JobState.running and not progress.started


def active_runs(tasks: Iterable[Task]) -> list[ActiveRun]:
    """Return the runs of *tasks* that may be active."""
    return [
        ActiveRun(
            task=task.position(), run=attempt.number, worker=attempt.instance
        )
        for task in tasks
        for attempt in task.attempts.values()
    ]


def attempted_tasks(tasks: Iterable[Task]) -> list[AttemptedTask]:
    """Return what the active runs of *tasks* do not tell."""
    return [
        _attempted_task(task)
        for task in tasks
        if task.last_run and not task.done and not _shown_by_runs(task)
    ]


def done_bitmap(tasks: Iterable[Task], start: int = 0) -> str:
    """Return which *tasks* are done, that with ordinal *start* lowest."""
    number = sum(
        1 << (task.task_id.ordinal - start) for task in tasks if task.done
    )
    return f'{number:x}'


def restore(
    progress: JobProgress,
    row: ProgressRow,
    wall_time: int,
    now: int,
) -> None:
    """Restore *progress* from *row*; its open runs become inherited."""
    progress.state = row['state']
    progress.ended = row['ended']
    is_queued = progress.state is JobState.queued
    progress.started = not (is_queued or row.get('unstarted', False))
    progress.finished = set(row['finished'])
    for occurrence, number, bits in row['done']:
        done = int(bits, HEXADECIMAL)
        for task in progress.ensure_open(occurrence, number):
            task.done = bool(done >> task.task_id.ordinal & 1)
    if not progress.state.final:
        progress.open_due(wall_time)
        for unfinished in _unfinished_occurrences(progress):
            progress.open_ready_steps(unfinished)
    _restore_runs(progress, row, now)


def _done_tasks(progress: JobProgress) -> list[tuple[int, int, str]]:
    return [
        (occurrence, number, done_bitmap(tasks))
        for (occurrence, number), tasks in progress.steps.items()
        if any(task.done for task in tasks)
    ]


def _attempted_task(task: Task) -> AttemptedTask:
    attempted = AttemptedTask(
        task=task.position(),
        last_run=task.last_run,
        failures=task.failures,
        checkpoint=task.checkpoint,
    )
    if 0 < len(task.failed_runs) <= MAX_LISTED_FAILURES:
        attempted['failed_runs'] = sorted(task.failed_runs)
    if task.crashes.in_a_row:
        attempted['crashes'] = (task.crashes.in_a_row, task.crashes.age)
    if task.crashes.uncertain:
        attempted['uncertain'] = task.crashes.uncertain
    if task.suspected_crashes:
        attempted['suspected'] = [
            SuspectedCrashRow(
                worker=instance,
                age=suspected.age.ms,
                known=isinstance(suspected.age, KnownAge),
                alone=suspected.alone,
            )
            for instance, suspected in task.suspected_crashes.items()
        ]
    return attempted


def _shown_by_runs(task: Task) -> bool:
    """Return whether the active runs of a task tell all that was attempted."""
    is_new = not (
        task.failures or task.checkpoint or task.possible_crashes.in_a_row
    )
    return is_new and task.last_run in task.attempts


def _restore_runs(progress: JobProgress, row: ProgressRow, now: int) -> None:
    for attempted in row['tried']:
        _restore_attempted(progress, attempted)
    for active_run in row['open']:
        _restore_active(progress, active_run, now)
    for unlisted in row['tried']:
        if 'failed_runs' not in unlisted:
            _assume_failed_runs(progress, unlisted)


def _restore_attempted(progress: JobProgress, attempted: AttemptedTask) -> None:
    occurrence, number, ordinal = attempted['task']
    task = progress.ensure_open(occurrence, number)[ordinal]
    task.last_run = attempted['last_run']
    task.failures = attempted['failures']
    task.checkpoint = attempted['checkpoint']
    task.crashes = Crashes(*attempted.get('crashes', ()))._replace(
        uncertain=attempted.get('uncertain', 0)
    )
    for row in attempted.get('suspected', ()):
        age_type = KnownAge if row['known'] else MinimumAge
        task.suspected_crashes[row['worker']] = SuspectedCrash(
            age_type(row['age']), row['alone']
        )
    if task.step.long_running:
        return
    task.failed_runs = set(attempted.get('failed_runs', ()))


def _assume_failed_runs(
    progress: JobProgress, attempted: AttemptedTask
) -> None:
    """
    Take each run of a task that is over for one that is counted as failed.

    Its row does not list them.  The members of a gang share a count, so a run
    is over unless it is active in all of them.
    """
    occurrence, number, ordinal = attempted['task']
    task = progress.ensure_open(occurrence, number)[ordinal]
    if not task.failures or task.step.long_running:
        return
    members = progress.siblings(task) if task.step.gang else [task]
    active = set.intersection(*(set(each.attempts) for each in members))
    task.failed_runs = set(range(1, task.last_run + 1)) - active


def _restore_active(
    progress: JobProgress,
    active_run: ActiveRun,
    now: int,
) -> None:
    occurrence, number, ordinal = active_run['task']
    task = progress.ensure_open(occurrence, number)[ordinal]
    attempt = Attempt(task, active_run['run'], active_run['worker'], now)
    attempt.phase = Phase.inherited
    task.attempts[attempt.number] = attempt
    task.last_run = max(task.last_run, attempt.number)


def _unfinished_occurrences(progress: JobProgress) -> list[int]:
    return sorted(
        {occurrence for occurrence, _step in progress.steps}
        - progress.finished,
    )
