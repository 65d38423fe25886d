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
from cyclamenshift.decisions.placement import may_fit, place
from cyclamenshift.decisions.progress import Attempt, JobProgress, Task
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
