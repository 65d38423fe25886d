"""
tests.test_explanation
======================

Why a step has no worker, decided on data that are handed in.
"""

from typing import Any, Final

import pytest

from cyclamenshift.decisions.accounts.allotments import StartBudget
from cyclamenshift.decisions.candidates import Candidate
from cyclamenshift.decisions.crashes import (
    MIN_CRASHES,
    Crashes,
    KnownAge,
)
from cyclamenshift.decisions.explanation import (
    AccountRoom,
    NextPass,
    WaitReason,
    find_order,
    find_placement,
)
from cyclamenshift.decisions.overload.worker_states import Rank
from cyclamenshift.decisions.placement import PlacementRules
from cyclamenshift.decisions.progress import Task
from cyclamenshift.decisions.suspected_crashes import SuspectedCrash
from cyclamenshift.decisions.urgency import Ranking, Timeliness
from cyclamenshift.job import NO_RESOURCES, Resources, Step
from .builders import WALL_START, tasks_of, step, worker

SMALL: Final = Resources(2_000, 16_384)
NOT_FREE: Final = Resources(500, 16_384)
HUGE_STEP: Final = step(resources=Resources(9_000, 1_024))
LABEL_STEP: Final = step(required_label='gpu')
GANG: Final = step(tasks=3, gang=True)
LONG_STEP: Final = step(tasks=1, long_running=True)
ACCOUNT: Final = 'account-1'


def candidate(
    free: Resources = SMALL, worker_id: str = 'w0', rank: Rank = Rank.healthy
) -> Candidate:
    """Return a worker with *free* resources."""
    return Candidate(worker(worker_id), free, rank)


def next_pass(
    tasks: list[Task], *candidates: Candidate, **overrides: Any
) -> NextPass:
    """Return a pass over *tasks* and *candidates* without other bounds."""
    values: dict[str, Any] = {
        'tasks': tasks,
        'candidates': {each.instance: each for each in candidates},
        'free_at': {each.instance: each.free for each in candidates},
        'suspects': [],
        'free': 9,
        'rules': PlacementRules(),
        'ranking': Ranking(),
        'wall_time': WALL_START,
    }
    return NextPass(**(values | overrides))


def reason_of(
    explained: Step, *candidates: Candidate, **overrides: Any
) -> WaitReason | None:
    """Return why a new job with one step waits."""
    own = tasks_of(explained)
    coming = next_pass(own, *candidates, **overrides)
    return find_placement(own, coming).reason


def limited(allowed: int, limit: int = 9_000, **overrides: Any) -> Any:
    """Return the overrides for an account with 1,000 millicores in use."""
    used = Resources(1_000, 0)
    room = AccountRoom(
        Resources(limit, 10**6), Resources(allowed, 10**6), used, confirmed=True
    )._replace(**overrides)
    budget = StartBudget({ACCOUNT: room.left})
    return {'rules': PlacementRules(budget), 'account': room}


@pytest.mark.parametrize(
    ('explained', 'candidates', 'expected'),
    [
        (step(), (), WaitReason.no_worker),
        (LABEL_STEP, (candidate(),), WaitReason.label),
        (HUGE_STEP, (candidate(),), WaitReason.too_large),
        (step(), (candidate(NOT_FREE),), WaitReason.no_room),
        (GANG, (candidate(),), WaitReason.gang),
        (LONG_STEP, (candidate(rank=Rank.trial),), WaitReason.health),
        (step(worker_limit=1), (candidate(),), WaitReason.worker_limit),
    ],
)
def test_reasons_of_the_pool(
    explained: Step, candidates: tuple[Candidate, ...], expected: WaitReason
) -> None:
    """An operator looked for room where a label or a limit was the cause."""
    fresh = [candidate(each.free, rank=each.rank) for each in candidates]
    assert reason_of(explained, *fresh) is expected


def test_task_on_hold_waits_for_proof() -> None:
    """It looked as if no worker had room for it."""
    (task,) = tasks_of(step(tasks=1))
    task.suspected_crashes = {
        (f'w{number}', 1): SuspectedCrash(KnownAge(0), alone=True)
        for number in range(MIN_CRASHES)
    }
    coming = next_pass([], candidate())
    assert find_placement([task], coming).reason is WaitReason.crashes


def test_reasons_of_the_pass() -> None:
    """A pass that did not take place, or stopped early, looked like no room."""
    assert reason_of(step(), candidate(), free=0) is WaitReason.order_window
    assert reason_of(step(), candidate(), free=1) is WaitReason.order_window
    assert reason_of(step(), candidate()) is None
    too_old = reason_of(step(), knows_workers=False)
    assert too_old is WaitReason.registrations


@pytest.mark.parametrize(
    ('room', 'expected'),
    [
        (limited(9_000), None),
        (limited(2_000), WaitReason.allotment),
        (limited(2_000, limit=2_000), WaitReason.account_limit),
        (limited(9_000, confirmed=False), WaitReason.unconfirmed),
    ],
)
def test_reasons_of_the_account(
    room: dict[str, Any], expected: WaitReason | None
) -> None:
    """What a ledger may still allot was taken for the limit of the account."""
    own = tasks_of(step(), account=ACCOUNT)
    fresh = PlacementRules(StartBudget(dict(room['rules'].budget.remaining)))
    coming = next_pass(own, candidate(), **(room | {'rules': fresh}))
    assert find_placement(own, coming).reason is expected


def test_room_is_taken_by_steps_that_go_first() -> None:
    """Free workers were shown to a job that would not have got them."""
    urgent = tasks_of(step(), 'job-0')
    own = tasks_of(step(), 'job-1')
    found = find_placement(own, next_pass([*own, *urgent], candidate()))
    assert found.reason is WaitReason.room_taken
    assert not found.workers
    order = find_order(
        [*own, *urgent], own[0].task_id.step_id, WALL_START, Ranking()
    )
    assert (order.before, order.waiting, order.promoted) == (1, 2, False)


def test_part_of_a_step_starts() -> None:
    """A step of which some tasks start was shown as if all did."""
    own = tasks_of(step(tasks=3))
    found = find_placement(own, next_pass(own, candidate()))
    assert found.workers == {'w0': 2}
    assert found.reason is WaitReason.room_taken


def test_suspect_waits_for_a_worker_of_its_own() -> None:
    """Room at workers was no help to a task under which one had crashed."""
    own = tasks_of(step(tasks=1))
    own[0].crashes = Crashes(1, alone=True)
    assert own[0].crashes.suspicious
    found = find_placement(own, next_pass([], candidate()))
    assert found.reason is WaitReason.isolation


def test_equal_task_before_it_was_skipped() -> None:
    """A pass tries equal tasks once, also where another could have started."""
    first = tasks_of(LONG_STEP, 'job-0')
    own = tasks_of(step(tasks=1), 'job-1')
    ranking = Ranking(beyond_share={'job-1'})
    coming = next_pass(
        [*first, *own], candidate(rank=Rank.probe), ranking=ranking
    )
    assert find_placement(own, coming).reason is WaitReason.other


def test_job_that_is_promoted_goes_first() -> None:
    """The order by the keys alone put it last, and it started first."""
    late = tasks_of(step(), 'job-1', accepted=WALL_START - 10**6)
    tasks = [*tasks_of(step(), 'job-0'), *late]
    step_id = late[0].task_id.step_id
    order = find_order(tasks, step_id, WALL_START, Ranking())
    assert (order.before, order.promoted) == (1, False)
    assert order.key.timeliness is Timeliness.too_late
    order = find_order(tasks, step_id, WALL_START, Ranking(promotes=True))
    assert (order.before, order.promoted) == (0, True)


def test_nothing_is_left_without_a_confirmed_configuration() -> None:
    """What was allotted by an older configuration was shown as free."""
    room = limited(9_000, confirmed=False)['account']
    assert room.left == NO_RESOURCES
