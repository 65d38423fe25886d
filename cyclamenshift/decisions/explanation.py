"""
cyclamenshift.decisions.explanation
===================================

Tells where the tasks of a step would start now, or why none would.

It plays the next scheduling pass on data that are handed in, and keeps nothing
of it.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..job import NO_RESOURCES, Resources, StepId
from .candidates import Candidate, Placement
from .demands import group_by_step
from .placement import PlacementRules, may_fit, place
from .progress import Task, WorkerInstance
from .tracker import reserved_resources
from .urgency import Ranking, Urgency, most_urgent_first, rank_steps


class WaitReason(enum.StrEnum):
    """Why a task does not start now."""

    order_window = 'the window of start orders is full'
    unconfirmed = 'the configuration is not confirmed'
    account_limit = 'the account is at its limit'
    allotment = 'the account has too little allotted to this service now'
    registrations = 'the registrations of the workers are too old'
    no_worker = 'no worker is usable'
    label = 'no usable worker has the label'
    too_large = 'no usable worker is that large'
    no_room = 'no worker has room'
    room_taken = 'steps that go first take the room'
    gang = 'the gang does not fit as a whole'
    crashes = 'crashes under it are not proved yet, and would give it up'
    isolation = 'a worker crashed under it, and none is free for it alone'
    health = 'the workers with room accept only some tasks, as they failed'
    worker_limit = 'the workers with room are at the limit of the step'
    other = 'an equal task that goes first does not fit'


class StepOrder(NamedTuple):
    """
    The place of a step in the order of the waiting steps.

    ``before`` of the ``waiting`` steps go first; its own is one of them.
    ``promoted`` tells that it goes first as the one that is too late by the
    most, regardless of its ``key``.
    """

    before: int
    waiting: int
    key: Urgency
    promoted: bool


class AccountRoom(NamedTuple):
    """
    What an account may still start at one service.

    ``limit`` is that over all services, ``allowed`` what is allotted to this
    one, and ``used`` what runs here.  ``confirmed`` tells whether the
    configuration is recent enough to start anything by it.
    """

    limit: Resources
    allowed: Resources
    used: Resources
    confirmed: bool

    @property
    def left(self) -> Resources:
        """Return what may start here now."""
        return self.allowed.minus(self.used) if self.confirmed else NO_RESOURCES


class NextPass(NamedTuple):
    """
    What the next scheduling pass would look at.

    ``tasks`` are those that wait, without the suspects, whose ``suspects``
    placements come first.  ``free`` is how many more tasks the order window
    allows, 0 if it does not allow a pass, and ``free_at`` what was free at
    the candidates before the suspects.  ``knows_workers`` tells whether the
    registrations are recent enough.  ``account`` has the room of the account
    that is explained, None without a limit.
    """

    tasks: list[Task]
    candidates: Mapping[WorkerInstance, Candidate]
    free_at: Mapping[WorkerInstance, Resources]
    suspects: list[Placement]
    free: int
    rules: PlacementRules
    ranking: Ranking
    wall_time: int
    knows_workers: bool = True
    account: AccountRoom | None = None


class StepPlacement(NamedTuple):
    """
    Where the waiting ``tasks`` of a step would start.

    ``workers`` counts those that would by worker; ``reason`` tells why the
    others would not, None if all would.
    """

    tasks: int
    workers: Mapping[str, int]
    reason: WaitReason | None


def find_order(
    tasks: Iterable[Task],
    step_id: StepId,
    wall_time: int,
    ranking: Ranking,
) -> StepOrder:
    """Return the place of a step among the waiting *tasks*."""
    ranked = rank_steps(group_by_step(tasks), wall_time, ranking)
    step_ids = [each for _urgency, each in ranked]
    before = step_ids.index(step_id)
    key = ranked[before][0]
    promoted = not before and any(other < key for other, _step in ranked)
    return StepOrder(before, len(ranked), key, promoted)


def find_placement(own: list[Task], next_pass: NextPass) -> StepPlacement:
    """Return where the tasks *own*, all of one step, would start."""
    step_id = own[0].task_id.step_id
    placed = [*next_pass.suspects, *_place(step_id, next_pass)]
    started = {
        each.task.task_id: each.instance[0]
        for each in placed
        if each.task.task_id.step_id == step_id
    }
    waiting = [task for task in own if task.task_id not in started]
    return StepPlacement(
        len(own),
        Counter(started.values()),
        _reason(waiting[0], next_pass, len(placed)) if waiting else None,
    )


def _place(step_id: StepId, next_pass: NextPass) -> list[Placement]:
    """Place the tasks up to those of a step, in the order of the pass."""
    if not next_pass.free:
        return []
    fitting = may_fit(next_pass.tasks, next_pass.candidates.values())
    ordered = list(
        most_urgent_first(fitting, next_pass.wall_time, next_pass.ranking)
    )
    last = max(
        (
            number
            for number, task in enumerate(ordered)
            if task.task_id.step_id == step_id
        ),
        default=-1,
    )
    return place(
        ordered[: last + 1],
        next_pass.candidates,
        next_pass.free - len(next_pass.suspects),
        rules=next_pass.rules,
    )


def _reason(task: Task, next_pass: NextPass, placed: int) -> WaitReason:
    """Return why *task* has no worker after so many tasks were *placed*."""
    if placed >= next_pass.free:
        return WaitReason.order_window
    return (
        _reason_of_account(task, next_pass)
        or _reason_of_pool(task, next_pass)
        or _reason_of_room(task, next_pass)
    )


def _reason_of_account(task: Task, next_pass: NextPass) -> WaitReason | None:
    budget = next_pass.rules.budget
    room = next_pass.account
    if room is None or budget.allows(task):
        return None
    if not room.confirmed:
        return WaitReason.unconfirmed
    count = task.step.tasks if task.step.gang else 1
    needed = task.step.resources.times(count)
    # What runs, and what would start before it in this pass.
    used = room.allowed.minus(budget.remaining[task.job.job.account])
    at_limit = not room.limit.can_fit(used.plus(needed))
    return WaitReason.account_limit if at_limit else WaitReason.allotment


def _reason_of_pool(task: Task, next_pass: NextPass) -> WaitReason | None:
    """Return the reason that does not depend on what is free."""
    if not next_pass.knows_workers:
        return WaitReason.registrations
    usable = next_pass.candidates.values()
    if not usable:
        return WaitReason.no_worker
    labelled = _with_label(task, usable)
    if not labelled:
        return WaitReason.label
    needed = reserved_resources(task.step)
    if not any(each.worker.resources.can_fit(needed) for each in labelled):
        return WaitReason.too_large
    return None


def _reason_of_room(task: Task, next_pass: NextPass) -> WaitReason:
    needed = reserved_resources(task.step)
    labelled = _with_label(task, next_pass.candidates.values())
    with_room = [each for each in labelled if each.free.can_fit(needed)]
    apart = _reason_of_crashes(task)
    if apart:
        return apart
    if not with_room:
        had_room = any(
            next_pass.free_at[each.instance].can_fit(needed)
            for each in labelled
        )
        return WaitReason.room_taken if had_room else WaitReason.no_room
    if task.step.gang:
        return WaitReason.gang
    if not any(not each.single or each.accepts(task) for each in with_room):
        return WaitReason.health
    return (
        WaitReason.worker_limit
        if task.step.worker_limit
        else (WaitReason.other)
    )


def _reason_of_crashes(task: Task) -> WaitReason | None:
    if task.on_hold:
        return WaitReason.crashes
    apart = task.possible_crashes.suspicious and not task.step.gang
    return WaitReason.isolation if apart else None


def _with_label(task: Task, candidates: Iterable[Candidate]) -> list[Candidate]:
    label = task.step.required_label
    return [
        each for each in candidates if not label or label in each.worker.labels
    ]
