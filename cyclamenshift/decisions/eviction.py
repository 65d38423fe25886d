"""
cyclamenshift.decisions.eviction
================================

Decides which runs may be stopped to empty their VM.
"""

from typing import Final

from .progress import Attempt, Phase, Task

#: The progress at which a long-running task serves, per cent.
SERVING_PERCENT: Final = 100
#: A run with at least this progress is left to finish, per cent.
NEARLY_DONE_PERCENT: Final = 70


def may_evict(attempt: Attempt, stop_time: int) -> bool:
    """
    Return whether *attempt* may be stopped now and restarted elsewhere.

    The disruption limit of a long-running step bounds how many of its
    tasks may be unavailable at a time.  Any other run is stopped only if it
    can resume from a checkpoint and is not nearly done.  Workers stop a run
    within *stop_time*, ms.
    """
    if attempt.evicted or attempt.phase is not Phase.running:
        return False
    step = attempt.task.step
    if step.long_running:
        limit = step.disruption_limit
        return not limit or len(unavailable(attempt, stop_time)) < limit
    return step.saves_checkpoints and attempt.percent < NEARLY_DONE_PERCENT


def unavailable(attempt: Attempt, stop_time: int) -> list[Task]:
    """Return the other tasks of the step that may not be serving."""
    return [
        sibling
        for sibling in attempt.task.job.siblings(attempt.task)
        if sibling is not attempt.task and not _is_serving(sibling, stop_time)
    ]


def _is_serving(task: Task, stop_time: int) -> bool:
    return any(
        attempt.in_touch
        and not attempt.evicted
        and attempt.percent >= SERVING_PERCENT
        and not _may_be_stopping(attempt, stop_time)
        for attempt in task.attempts.values()
    )


def _may_be_stopping(attempt: Attempt, stop_time: int) -> bool:
    """
    Return whether an earlier scheduler may have ordered a run to stop.

    Its worker lists the run until it has stopped.  No order of the earlier
    scheduler is executed after the first report to this one.
    """
    is_adopted = attempt.ordered_at is None
    return is_adopted and attempt.seen_for <= stop_time
