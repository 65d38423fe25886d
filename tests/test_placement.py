"""
tests.test_placement
====================

Which waiting tasks are placed, and where.
"""

import random
from collections.abc import Sequence
from typing import TypeAlias

import pytest

from cyclamenshift.decisions.candidates import Candidate, Placement
from cyclamenshift.decisions.overload.worker_states import Rank
from cyclamenshift.decisions.placement import (
    PlacementRules,
    may_fit,
    place,
    share_checkpoint,
)
from cyclamenshift.decisions.progress import Attempt, JobProgress, Task
from cyclamenshift.decisions.tracker import reserved_resources
from cyclamenshift.job import Resources, Step

from .builders import job, queue, step, worker

#: The cpu of a task, and of workers that hold one, two and four of them.
TASK_CPU = 1_000
SMALL = Resources(TASK_CPU, 16_384)
LARGE = Resources(2 * TASK_CPU, 16_384)
HUGE = Resources(4 * TASK_CPU, 16_384)
TOO_LARGE_STEP = step(tasks=3, resources=Resources(9_000, 1_024))
GANG = step(tasks=3, gang=True)
LARGE_GANG = step(tasks=5, gang=True)
GPU_STEP = step(tasks=1, required_label='gpu')
PlacementCase: TypeAlias = tuple[
    tuple[Step, ...],
    tuple[Resources, ...],
    int,
    list[str],
]

#: The steps of one job, the workers, the limit and the workers of the tasks.
PLACEMENTS: tuple[PlacementCase, ...] = (
    ((step(tasks=3),), (LARGE, SMALL), 9, ['w1', 'w0', 'w0']),
    ((step(tasks=9),), (LARGE, SMALL), 9, ['w1', 'w0', 'w0']),
    ((TOO_LARGE_STEP, step(tasks=2)), (LARGE,), 9, ['w0', 'w0']),
    ((step(tasks=3),), (HUGE,), 2, ['w0', 'w0']),
    ((step(tasks=3),), (HUGE,), 0, []),
    ((GANG, step()), (HUGE,), 1, ['w0', 'w0', 'w0']),
    ((LARGE_GANG, step(tasks=1)), (HUGE,), 9, ['w0']),
    ((step(tasks=4, worker_limit=1),), (HUGE, LARGE), 9, ['w1', 'w0']),
    ((GPU_STEP, step()), (LARGE,), 9, ['w0', 'w0']),
)


def open_tasks(steps: tuple[Step, ...]) -> list[Task]:
    """Return the tasks of a job with *steps*, all of which may start."""
    progress = JobProgress(job(steps=steps), queue())
    return progress.open_ready_steps(0)


def make_candidates(
    sizes: Sequence[Resources],
) -> dict[tuple[str, int], Candidate]:
    """Return idle workers with the given resources, named w0, w1 and so on."""
    workers = [
        worker(f'w{number}', resources=size)
        for number, size in enumerate(sizes)
    ]
    return {each.instance: Candidate(each, each.resources) for each in workers}


@pytest.mark.parametrize(('steps', 'sizes', 'limit', 'expected'), PLACEMENTS)
def test_placements(
    steps: tuple[Step, ...],
    sizes: tuple[Resources, ...],
    limit: int,
    expected: list[str],
) -> None:
    """Each task gets the fullest worker; a gang starts whole or not at all."""
    placements = place(open_tasks(steps), make_candidates(sizes), limit)
    assert [placement.instance[0] for placement in placements] == expected


def test_tasks_too_large_for_every_worker_are_not_sorted() -> None:
    """Only tasks that some worker may hold are candidates for a placement."""
    tasks = open_tasks((TOO_LARGE_STEP, step(tasks=2)))
    candidates = make_candidates((SMALL, LARGE))
    assert may_fit(tasks, candidates.values()) == tasks[3:]
    assert not may_fit(tasks, [])


def test_a_copy_is_placed_at_another_worker() -> None:
    """Its failure to fit does not keep an equal task from being placed."""
    copied, waiting = open_tasks((step(tasks=2, speculative=True),))
    candidates = make_candidates((SMALL,))
    (instance,) = candidates
    copied.attempts[1] = Attempt(copied, 1, instance, now=0)
    (placement,) = place([copied, waiting], candidates, limit=9)
    assert placement.task is waiting


def random_steps(random_source: random.Random) -> tuple[Step, ...]:
    """Return steps that share resources, and some of which have conditions."""
    return tuple(
        step(
            tasks=random_source.randint(1, 6),
            resources=random_source.choice((SMALL, LARGE))._replace(memory=1),
            required_label=random_source.choice(('', '', 'small')),
            preferred_rack=random_source.choice(('', '', 'rack-1', 'rack-2')),
            worker_limit=random_source.choice((0, 0, 0, 2)),
            best_effort=random_source.choice((False, False, True)),
        )
        for _step in range(8)
    )


@pytest.mark.parametrize('seed', range(200))
def test_equal_tasks_are_placed_like_each_by_itself(seed: int) -> None:
    """Tasks placed together get the workers that each gets in its own call."""
    random_source = random.Random(seed)
    tasks = open_tasks(random_steps(random_source))
    sizes = random_source.choices((SMALL, LARGE, HUGE), k=6)
    together, single = make_candidates(sizes), make_candidates(sizes)
    for task in tasks:
        task.failed_at.update(
            random_source.sample(list(single), random_source.choice((0, 0, 1)))
        )
    expected: list[Placement] = []
    for task in tasks:
        expected.extend(place([task], single, 1, expected))
    assert place(tasks, together, len(tasks)) == expected


def ranked_candidates(
    ranks: Sequence[Rank], racks: Sequence[str] = ()
) -> dict[tuple[str, int], Candidate]:
    """Return workers that hold two tasks, named w0 and so on."""
    candidates = {}
    for number, rank in enumerate(ranks):
        rack = racks[number] if racks else 'rack-1'
        ranked = worker(f'w{number}', resources=LARGE, rack=rack)
        candidates[ranked.instance] = Candidate(ranked, LARGE, rank)
    return candidates


def workers_of(placements: Sequence[Placement]) -> list[str]:
    """Return the id of the worker of each placement."""
    return [placement.instance[0] for placement in placements]


def test_workers_are_filled_by_rank() -> None:
    """A suspected worker got as much work as a healthy one."""
    candidates = ranked_candidates((Rank.suspected, Rank.healthy))
    tasks = open_tasks((step(tasks=4),))
    assert workers_of(place(tasks, candidates, 9)) == ['w1', 'w1', 'w0', 'w0']


@pytest.mark.parametrize('rank', [Rank.probe, Rank.trial])
def test_single_candidate_gets_one_task(rank: Rank) -> None:
    """A worker that fails all would have used up an attempt of more tasks."""
    candidates = ranked_candidates((rank,))
    assert len(place(open_tasks((step(tasks=4),)), candidates, 9)) == 1
    assert not place(open_tasks((step(gang=True),)), candidates, 9)
    assert not place(open_tasks((step(long_running=True),)), candidates, 9)


def test_probe_gets_a_task_that_has_not_failed() -> None:
    """A task with few attempts left would be lost with the probe."""
    failed, other = open_tasks((step(tasks=2),))
    failed.failures = 1
    candidates = ranked_candidates((Rank.probe,))
    (placement,) = place([failed, other], candidates, 9)
    assert placement.task is other


def place_in_racks(tasks: Sequence[Task], racks: Sequence[str]) -> list[str]:
    """Place *tasks* at one worker in each of *racks* and return these."""
    candidates = ranked_candidates([Rank.healthy] * len(racks), racks)
    placements = place(
        tasks,
        candidates,
        9,
        rules=PlacementRules(
            rack_of=lambda instance: racks[int(instance[0][1:])]
        ),
    )
    return [racks[int(name[1:])] for name in workers_of(placements)]


def test_copy_goes_to_another_rack() -> None:
    """A fault of the rack slowed down the run and its copy."""
    (task,) = open_tasks((step(tasks=1, speculative=True),))
    task.attempts[1] = Attempt(task, 1, worker('w0').instance, now=0)
    racks = ('rack-1', 'rack-1', 'rack-2')
    assert place_in_racks([task], racks) == ['rack-2']
    assert place_in_racks([task], racks[:2]) == ['rack-1']


@pytest.mark.parametrize('long_running', [True, False])
def test_long_running_step_is_not_in_one_rack(long_running: bool) -> None:
    """The loss of a rack ended all tasks of a service; others are packed."""
    tasks = open_tasks((step(tasks=3, long_running=long_running),))
    racks = place_in_racks(tasks, ('rack-1', 'rack-1', 'rack-2'))
    assert ('rack-2' in racks) is long_running


def best_fit(
    task: Task, candidates: dict[tuple[str, int], Candidate]
) -> list[str]:
    """Return the worker that gets *task* by the rule for healthy workers."""
    reserved = reserved_resources(task.step)
    preferred, label = task.step.preferred_rack, task.step.required_label
    ranked = [
        (
            bool(preferred) and candidate.worker.rack != preferred,
            candidate.instance in task.failed_at,
            candidate.free.cpu,
            candidate.worker.worker_id,
        )
        for candidate in candidates.values()
        if candidate.free.can_fit(reserved)
        and (not label or label in candidate.worker.labels)
    ]
    return [min(ranked)[-1]] if ranked else []


@pytest.mark.parametrize('seed', range(100))
def test_healthy_workers_are_ranked_as_without_the_setting(seed: int) -> None:
    """The ranks, and racks without a name, must not change a placement."""
    random_source = random.Random(seed)
    candidates = make_candidates(random_source.choices((SMALL, HUGE), k=6))
    for candidate in candidates.values():
        rack = random_source.choice(('', 'rack-1', 'rack-2'))
        candidate.worker = candidate.worker._replace(rack=rack)
    for task in open_tasks(random_steps(random_source)):
        task.failed_at.add(random_source.choice(list(candidates)))
        if not task.step.worker_limit:
            expected = best_fit(task, candidates)
            assert workers_of(place([task], candidates, 1)) == expected


def test_gang_shares_its_checkpoint_when_it_starts() -> None:
    """A placement that was only computed changed where the gang resumed."""
    gang = open_tasks((GANG,))
    gang[1].checkpoint = 'half'
    assert len(place(gang, make_candidates([HUGE]), 9)) == 3
    assert [member.checkpoint for member in gang] == ['', 'half', '']
    share_checkpoint(gang[0])
    assert {member.checkpoint for member in gang} == {'half'}
