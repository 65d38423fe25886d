"""
cyclamenshift.decisions.admission
=================================

Validates the jobs that callers submit.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from ..job import Job, Step

#: The longest specification, bytes, as the platform specifies.
SPEC_LIMIT: Final = 4_000
#: The largest amount of a resource: more than any fleet has.  Totals over the
#: tasks of a pool still fit into 64 bits.
AMOUNT_LIMIT: Final = 1_000_000_000
#: The longest time, ms: three years.
DURATION_LIMIT: Final = 100_000_000_000
#: The latest time, ms since the epoch: in the year 2286.
TIME_LIMIT: Final = 9_999_999_999_999
#: The most tasks of all occurrences; one entry VM keeps them in memory.
TASK_LIMIT: Final = 50_000
#: The most bytes of the steps as they are stored.  The platform's rows have
#: 65,536, of which the specification and base64 take a part.
STEPS_SIZE_LIMIT: Final = 40_000
#: The most bytes of a step without its texts and dependencies.
STEP_SIZE: Final = 120
#: The most bytes of the number of a step.
DEPENDENCY_SIZE: Final = 3


class Problem(NamedTuple):
    """
    Why a job is refused, and the remedy.

    ``field`` is an attribute of the job, or of its step number ``step``.
    """

    field: str
    remedy: str
    step: int | None = None


class Amount(NamedTuple):
    """A number in a job or a step, and the largest one that is allowed."""

    field: str
    number: int
    limit: int


def find_problem(job: Job) -> Problem | None:
    """Return the first problem of *job*, None if there is none."""
    return next(_problems_of(job), None)


def _problems_of(job: Job) -> Iterator[Problem]:
    if len(job.spec.encode()) > SPEC_LIMIT:
        yield Problem('spec', f'longer than {SPEC_LIMIT} bytes; shorten it')
    if not job.steps:
        yield Problem('steps', 'there is none; name at least one')
    yield from _problems_with_amounts(_amounts_of(job))
    for number, step in enumerate(job.steps):
        for problem in _problems_of_step(number, step):
            yield problem._replace(step=number)
    if sum(map(_size_of, job.steps)) > STEPS_SIZE_LIMIT:
        yield Problem('steps', 'too large to be stored; use several jobs')
    tasks = sum(step.tasks for step in job.steps)
    if tasks * max(1, job.occurrences) > TASK_LIMIT:
        yield Problem(
            'steps', f'more than {TASK_LIMIT} tasks; use several jobs'
        )


def _problems_of_step(number: int, step: Step) -> Iterator[Problem]:
    if step.tasks < 1:
        yield Problem('tasks', 'there is none; ask for one or more')
    yield from _problems_with_amounts(_amounts_of_step(step))
    if not all(0 <= dependency < number for dependency in step.dependencies):
        yield Problem('dependencies', 'name earlier steps only')


def _problems_with_amounts(amounts: Iterator[Amount]) -> Iterator[Problem]:
    for field, number, limit in amounts:
        if not 0 <= number <= limit:
            yield Problem(field, f'not from 0 to {limit}')


def _amounts_of(job: Job) -> Iterator[Amount]:
    yield Amount('occurrences', job.occurrences, TASK_LIMIT)
    yield Amount('first_due', job.first_due, TIME_LIMIT)
    yield Amount('interval', job.interval, DURATION_LIMIT)


def _amounts_of_step(step: Step) -> Iterator[Amount]:
    yield Amount('tasks', step.tasks, TASK_LIMIT)
    for field, amount in step.resources._asdict().items():
        yield Amount(field, amount, AMOUNT_LIMIT)
    yield Amount('estimate', step.estimate, DURATION_LIMIT)
    yield Amount('latency_target', step.latency_target, DURATION_LIMIT)
    yield Amount('worker_limit', step.worker_limit, AMOUNT_LIMIT)
    yield Amount('disruption_limit', step.disruption_limit, AMOUNT_LIMIT)


def _size_of(step: Step) -> int:
    """Return a bound of the size of *step* as it is stored, bytes."""
    texts = (step.required_label, step.preferred_rack, step.image)
    text_size = sum(len(text.encode()) for text in texts)
    return STEP_SIZE + text_size + len(step.dependencies) * DEPENDENCY_SIZE
