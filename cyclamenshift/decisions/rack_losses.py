"""
cyclamenshift.decisions.rack_losses
===================================

Tells the crash of one worker from the loss of its whole rack.

Workers of a rack that end in the same moment without a young run of a job
speak against its tasks as the cause.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from .progress import WorkerInstance


class WorkerEnd(NamedTuple):
    """
    The end of a worker process, between ``heard_at`` and ``silent_at``.

    Both are in monotonic ms, the last answer and the first call without one.
    ``jobs`` are the ids of the jobs with runs there that were young enough to
    be the cause.
    """

    instance: WorkerInstance
    rack: str
    heard_at: int
    silent_at: int
    jobs: frozenset[str]


def ends_with_rack(
    end: WorkerEnd, others: Iterable[WorkerEnd], alive: Collection[str]
) -> list[WorkerEnd]:
    """
    Return the *others* with which a worker ended as its rack was lost.

    There are none if one of the rack is *alive*, by the racks of the workers
    that have answered since.
    """
    if not end.rack or end.rack in alive:
        return []
    return [other for other in others if _is_same_moment(other, end)]


def is_cause_elsewhere(job_id: str, together: Iterable[WorkerEnd]) -> bool:
    """Return whether one of the workers ended without a job as the cause."""
    return any(job_id not in end.jobs for end in together)


def _is_same_moment(other: WorkerEnd, end: WorkerEnd) -> bool:
    """Return whether another worker of the rack ended with that of *end*."""
    if other.rack != end.rack or other.instance[0] == end.instance[0]:
        return False
    return other.heard_at <= end.silent_at and end.heard_at <= other.silent_at
