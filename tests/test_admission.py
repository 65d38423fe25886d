"""
tests.test_admission
====================

Jobs that callers submit with odd numbers, or that are too large.
"""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenshift.decisions.admission import TASK_LIMIT, find_problem
from cyclamenshift.job import Job
from cyclamenshift.jobmessages import JobOffer
from cyclamenshift.jobrows import JobRow, job_key
from cyclamenshift.peer import Call
from cyclamenshift.peers.frames import encode
from cyclamenshift.platform.jobs import JobBody, decode_job, describe_problem
from cyclamenshift.platform.rows import encode_transaction
from cyclamenshift.platform.wire import convert
from cyclamenshift.store import Transaction, Write

from .builders import WALL_START, job_fields, step_fields

#: The size of a row of the platform's store, bytes.
ROW_BYTES = 65_536

NUMBERS = st.integers() | st.integers(0, 10)
STEP_BODIES = st.fixed_dictionaries(
    {'count': NUMBERS},
    optional={
        'cpu': NUMBERS,
        'memMb': NUMBERS,
        'gpu': NUMBERS,
        'estimateMs': NUMBERS,
        'antiAffinity': NUMBERS,
        'targetMs': NUMBERS,
        'mayMiss': NUMBERS,
        'after': st.lists(NUMBERS),
        'requires': st.text(),
        'image': st.text(),
    },
)
JOB_BODIES = st.fixed_dictionaries(
    {'steps': st.lists(STEP_BODIES, max_size=3)},
    optional={
        'spec': st.text(),
        'maxRuns': NUMBERS,
        'firstRunMs': NUMBERS,
        'intervalMs': NUMBERS,
    },
)


def decode(fields: dict[str, Any]) -> Job:
    """Return the job in the body of a request."""
    body: JobBody = convert(fields, JobBody)  # type: ignore[assignment]
    return decode_job('0' * 16, 'checks', body, WALL_START)


def stored_size(job: Job) -> int:
    """Return the size of the row of a job, bytes."""
    write = Write(job_key('desk', job.job_id), JobRow(job=job))
    encoded = encode_transaction(Transaction((), (write,)))
    (put,) = encoded['puts']
    return len(put['value'])


@given(JOB_BODIES)
def test_number_in_a_job_ends_the_process(fields: dict[str, Any]) -> None:
    """A job that is not refused can be sent to a peer and stored."""
    submitted = decode(fields)
    if find_problem(submitted) is None:
        encode(Call(1, JobOffer('desk', submitted)))
        assert stored_size(submitted) <= ROW_BYTES


@pytest.mark.parametrize(
    ('field', 'number'),
    [
        ('estimateMs', 10**20),
        ('count', 10**9),
        ('count', 0),
        ('cpu', -1),
        ('memMb', 2**63),
        ('gpu', 10**10),
        ('antiAffinity', -1),
        ('targetMs', 10**12),
        ('mayMiss', 2**64),
    ],
)
def test_number_in_a_step_is_refused_without_its_name(
    field: str, number: int
) -> None:
    """The caller learns which field to correct."""
    fields = job_fields(steps=[step_fields(), step_fields(**{field: number})])
    problem = find_problem(decode(fields))
    assert problem
    assert describe_problem(problem).startswith(f'steps[1].{field}: ')


@pytest.mark.parametrize(
    ('field', 'number'),
    [('maxRuns', 10**9), ('firstRunMs', 2**64), ('intervalMs', -1)],
)
def test_number_in_a_job_is_refused_without_its_name(
    field: str, number: int
) -> None:
    """The caller learns which field to correct."""
    problem = find_problem(decode(job_fields(**{field: number})))
    assert problem
    assert describe_problem(problem).startswith(f'{field}: ')


@pytest.mark.parametrize(
    'changes',
    [
        {'steps': [step_fields(image='i' * 50_000)]},
        {'steps': [step_fields()] * 1_000},
        {'steps': [step_fields(count=TASK_LIMIT)] * 2},
        {'maxRuns': TASK_LIMIT},
    ],
)
def test_job_that_is_too_large_is_accepted(changes: dict[str, Any]) -> None:
    """Its row was refused by the store, with all rows of its batch."""
    assert find_problem(decode(job_fields(**changes)))


def test_large_job_is_refused() -> None:
    """A job may have as many tasks as the largest ones of the users."""
    steps = [
        step_fields(count=100, after=list(range(number)))
        for number in range(50)
    ]
    submitted = decode(job_fields(spec='s' * 4_000, steps=steps))
    assert find_problem(submitted) is None
    assert stored_size(submitted) <= ROW_BYTES
