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


def may_evict(attempt: Attempt) -> bool:
    """
    Return whether *attempt* may be stopped now and restarted elsewhere.

    The disruption limit of a long-running step bounds how many of its
    tasks may be unavailable at a time.  Any other run is stopped only if it
    can resume from a checkpoint and is not nearly done.
    """
    if attempt.evicted or attempt.phase is not Phase.running:
        return False
    step = attempt.task.step
    if step.long_running:
        limit = step.disruption_limit
        return not limit or _count_unavailable(attempt.task) < limit
    return step.saves_checkpoints and attempt.percent < NEARLY_DONE_PERCENT


def _count_unavailable(task: Task) -> int:
    """Return how many other tasks of the step are not serving."""
    return sum(
        1
        for sibling in task.job.siblings(task)
        if sibling is not task and not _is_serving(sibling)
    )


def _is_serving(task: Task) -> bool:
    return any(
        attempt.in_touch
        and not attempt.evicted
        and attempt.percent >= SERVING_PERCENT
        for attempt in task.attempts.values()
    )
