"""
cyclamenshift.decisions.overload.admission_control
==================================================

Decides which new jobs are refused because capacity is insufficient.

Demand of a service rises to several times what its pool holds, and VMs arrive
a few seconds later.  Jobs are refused only once capacity is known not to come,
so that a wait for VMs under way refuses nobody: then those beyond the share of
their account, and those that could not even end late.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

import xxhash

from ...job import StepId
from ..progress import JobProgress, Task
from ..urgency import LATE_FACTOR
from .costs import remaining_work

#: How long tasks wait for a worker before capacity counts as insufficient, ms:
#: the time to see a peak, to move VMs of the spare pool, which takes 1.5 s, and
#: to start tasks there, with as much again for moves out of other pools.
SHORTAGE_MS: Final = 3_000
#: The shortest and the longest time after which a caller is to return, ms.
MIN_RETRY_AFTER_MS: Final = 1_000
MAX_RETRY_AFTER_MS: Final = 30_000


class Admitted(NamedTuple):
    """The job may be stored."""


class Rejected(NamedTuple):
    """The job is refused; the caller should return in ``retry_after`` ms."""

    reason: str
    retry_after: int


Admission: TypeAlias = Admitted | Rejected


class Backlog(NamedTuple):
    """
    The work that waits for capacity.

    It would take ``drain_time`` ms on the pool as it is, and its oldest task
    has waited ``oldest_wait`` ms.  Work of jobs beyond their share is left out,
    as it goes last.
    """

    drain_time: int
    oldest_wait: int

    @property
    def is_short(self) -> bool:
        """Whether capacity is insufficient, and no more is on its way."""
        return self.oldest_wait >= SHORTAGE_MS


class JobNeeds(NamedTuple):
    """
    What a new job needs to be served.

    ``chain`` is its longest chain of run times and ``objective`` the time in
    which it should end, ms.
    """

    job_id: str
    chain: int
    objective: int
    within_share: bool


def needs_of(progress: JobProgress, *, within_share: bool) -> JobNeeds:
    """Return what a job that is not tracked yet needs."""
    return JobNeeds(
        progress.job.job_id,
        max(progress.schedule.tails, default=0),
        progress.schedule.objective,
        within_share,
    )


def decide(needs: JobNeeds, backlog: Backlog) -> Admission:
    """Return whether a new job is admitted beside *backlog*."""
    if not backlog.is_short:
        return Admitted()
    end = backlog.drain_time + needs.chain
    if not needs.within_share and end > needs.objective:
        return Rejected(
            'the account is beyond its share while capacity is insufficient',
            retry_after(needs.job_id, backlog),
        )
    if needs.within_share and end > LATE_FACTOR * needs.objective:
        return Rejected(
            'capacity is insufficient to run the job in time',
            retry_after(needs.job_id, backlog),
        )
    return Admitted()


def retry_after(job_id: str, backlog: Backlog) -> int:
    """
    Return when the caller of a refused job should return, ms.

    By then the backlog can be done.  Callers are spread over as much time
    again, so that they do not return together.
    """
    earliest = earliest_return(backlog)
    return earliest + xxhash.xxh64_intdigest(job_id.encode()) % earliest


def earliest_return(backlog: Backlog) -> int:
    """Return when the first of the refused callers should return, ms."""
    return min(
        max(backlog.drain_time, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS // 2
    )


def backlog_of(
    groups: Mapping[StepId, Sequence[Task]],
    waits: Mapping[StepId, int],
    capacity: int,
) -> Backlog:
    """
    Return the backlog of the waiting tasks, given by step.

    *waits* tells how long each step has waited, ms; *capacity* is the cpu of
    the pool, millicores.
    """
    if not groups:
        return Backlog(0, 0)
    work = sum(map(remaining_work, groups.values()))
    drain_time = work // capacity if capacity else MAX_RETRY_AFTER_MS
    return Backlog(drain_time, max(waits[step_id] for step_id in groups))


class StepWaits:
    """Since when the steps of one service have had tasks that wait."""

    def __init__(self) -> None:
        """Start without waiting steps."""
        self.since: dict[StepId, int] = {}

    def copy(self) -> 'StepWaits':
        """Return a copy that can be updated on its own."""
        copied = StepWaits()
        copied.since = self.since.copy()
        return copied

    def update(self, waiting: Iterable[StepId], now: int) -> dict[StepId, int]:
        """Return how long each step in *waiting* has waited at *now*, ms."""
        self.since = {
            step_id: self.since.get(step_id, now) for step_id in waiting
        }
        return {step_id: now - since for step_id, since in self.since.items()}
