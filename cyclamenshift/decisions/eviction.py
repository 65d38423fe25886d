"""
cyclamenshift.decisions.eviction
================================

Which runs may be stopped, so that their VM becomes empty.
"""

from typing import Final

from .progress import Attempt, Phase, Task

#: A long-running task serves when it is this far, per cent.
SERVING_PERCENT: Final = 100
#: A run that is further than this is left to end by itself, per cent.
NEARLY_DONE_PERCENT: Final = 70


def may_evict(attempt: Attempt) -> bool:
    """
    Return whether *attempt* may be stopped now, to start again elsewhere.

    Of a long-running step no more tasks may be away at a time than its
    disruption limit.  Other work is stopped only where it goes on from a
    checkpoint, and has a good part to go.
    """
    if attempt.evicted or attempt.phase is not Phase.running:
        return False
    step = attempt.task.step
    if step.long_running:
        limit = step.disruption_limit
        return not limit or _away(attempt.task) < limit
    return step.saves_checkpoints and attempt.percent < NEARLY_DONE_PERCENT


def _away(task: Task) -> int:
    """Return how many other tasks of the step do not serve."""
    return sum(
        1
        for sibling in task.job.siblings(task)
        if sibling is not task and not _serves(sibling)
    )


def _serves(task: Task) -> bool:
    return any(
        attempt.in_touch
        and not attempt.evicted
        and attempt.percent >= SERVING_PERCENT
        for attempt in task.attempts.values()
    )
