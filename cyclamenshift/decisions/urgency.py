"""
cyclamenshift.decisions.urgency
===============================

Orders waiting tasks by urgency.
"""

import enum
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Final, NamedTuple

from ..directory import NO_ACCOUNTS, Account
from ..job import StepId, TaskId
from .demands import group_by_step
from .overload.costs import delays_caused
from .progress import JobProgress, Task

#: A job that ends within this many times its objective is late, after that
#: too late; the platform specifies this in its rules for what jobs earn.
LATE_FACTOR: Final = 3


class Timeliness(enum.IntEnum):
    """Whether a job can still meet its objective; the lowest goes first."""

    in_time = 0
    late = 1
    too_late = 2


class Urgency(NamedTuple):
    """
    The sort key of a waiting task; the lowest goes first.

    Jobs ``beyond_share`` of their account go after all others.  ``over_share``
    tells whether the account has more than its part of the pool.  ``slack`` is
    the estimated time that the job can wait and still meet its objective, plus
    the delay that its work causes, ms.
    """

    beyond_share: bool
    priority: int
    account_priority: int
    timeliness: Timeliness
    over_share: bool
    slack: int


class Ranking(NamedTuple):
    """
    What the order of one scheduling pass depends on besides the jobs.

    ``over_share`` are the accounts that have more than their part of the
    pool, and ``beyond_share`` the jobs that came while their account submitted
    more than its share.  ``capacity`` is the cpu of the pool, millicores, 0
    to order jobs regardless of their work.  If ``promotes`` is set, the job
    that is too late by the most goes first, so that none waits for ever.
    """

    accounts: Mapping[str, Account] = NO_ACCOUNTS
    over_share: Collection[str] = frozenset()
    beyond_share: Collection[str] = frozenset()
    capacity: int = 0
    promotes: bool = False


NO_RANKING: Final = Ranking()


def urgency_of(
    task: Task, wall_time: int, ranking: Ranking = NO_RANKING
) -> Urgency:
    """Return the urgency of *task* at *wall_time*, ms since the epoch."""
    progress = task.job
    name = progress.job.account
    account = ranking.accounts.get(name)
    urgency = Urgency(
        beyond_share=progress.job.job_id in ranking.beyond_share,
        priority=progress.queue.priority,
        account_priority=account.priority if account else 0,
        timeliness=Timeliness.in_time,
        over_share=name in ranking.over_share,
        slack=0,
    )
    if task.step.long_running:
        return urgency
    schedule = progress.schedule
    released = _release_time(progress, task.task_id.occurrence)
    remaining = schedule.tails[task.task_id.step]
    slack = released + schedule.objective - wall_time - remaining
    slack_to_late = slack + (LATE_FACTOR - 1) * schedule.objective
    return urgency._replace(
        timeliness=_timeliness(slack, slack_to_late), slack=slack
    )


def most_urgent_first(
    tasks: Iterable[Task],
    wall_time: int,
    ranking: Ranking = NO_RANKING,
) -> Iterator[Task]:
    """Yield *tasks* sorted by urgency, which the tasks of a step share."""
    groups = group_by_step(tasks)
    for _urgency, step_id in rank_steps(groups, wall_time, ranking):
        yield from sorted(groups[step_id], key=_task_id)


def rank_steps(
    groups: Mapping[StepId, Sequence[Task]],
    wall_time: int,
    ranking: Ranking = NO_RANKING,
) -> list[tuple[Urgency, StepId]]:
    """Return the sort keys of the steps of *groups*, most urgent first."""
    delays = delays_caused(groups, ranking.capacity)
    ranked = []
    for step_id, group in groups.items():
        urgency = urgency_of(group[0], wall_time, ranking)
        slack = urgency.slack + delays.get(step_id, 0)
        ranked.append((urgency._replace(slack=slack), step_id))
    ranked.sort()
    if ranking.promotes:
        _promote_latest(ranked)
    return ranked


def late_groups(
    groups: Iterable[Sequence[Task]], wall_time: int
) -> list[Sequence[Task]]:
    """Return the groups, each of one step, of jobs that can't be in time."""
    return [
        group
        for group in groups
        if urgency_of(group[0], wall_time).timeliness is not Timeliness.in_time
    ]


def _promote_latest(ranked: list[tuple[Urgency, StepId]]) -> None:
    """Put the step of the job first that is too late by the most."""
    too_late = [
        each for each in ranked if each[0].timeliness is Timeliness.too_late
    ]
    if too_late:
        latest = min(too_late, key=_slack)
        ranked.remove(latest)
        ranked.insert(0, latest)


def _slack(each: tuple[Urgency, StepId]) -> int:
    return each[0].slack


def _task_id(task: Task) -> TaskId:
    return task.task_id


def _timeliness(slack: int, slack_to_late: int) -> Timeliness:
    if slack >= 0:
        return Timeliness.in_time
    return Timeliness.late if slack_to_late >= 0 else Timeliness.too_late


def _release_time(progress: JobProgress, occurrence: int) -> int:
    """Return the release time of an occurrence, ms since the epoch."""
    return max(progress.job.accepted, progress.due(occurrence))
