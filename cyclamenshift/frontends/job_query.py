"""
cyclamenshift.frontends.job_query
=================================

Decodes the jobs that operators want to have explained.
"""

from http import HTTPStatus
from typing import Any, Final, TypedDict, cast

import msgspec
from quart import Response

from ..decisions.admission import find_problem
from ..job import NO_RESOURCES, Job, Resources, Step
from .responses import problem_response

#: No job that is tracked has this id.
NO_JOB_ID: Final = ''


class StepBody(TypedDict, total=False):
    """A step by the names of ``cyclamenshift.job.Step`` and ``Resources``."""

    tasks: int
    cpu: int
    memory: int
    gpu: int
    estimate: int
    dependencies: tuple[int, ...]
    saves_checkpoints: bool
    gang: bool
    single_rack: bool
    required_label: str
    preferred_rack: str
    worker_limit: int
    speculative: bool
    long_running: bool
    image: str
    latency_target: int
    best_effort: bool
    disruption_limit: int


class JobQueryBody(TypedDict):
    """The request body of ``POST /v1/explain``; ``account`` may be empty."""

    queue: str
    account: str
    steps: list[dict[str, Any]]


def decode_query(body: bytes, wall_time: int) -> Job | Response:
    """Return a job that would be accepted at *wall_time*, or a problem."""
    try:
        query = msgspec.json.decode(body, type=JobQueryBody)
        steps = tuple(map(_decode_step, query['steps']))
    except msgspec.MsgspecError as error:
        return _bad_request(str(error), 'Send a queue, an account and steps.')
    job = Job(
        job_id=NO_JOB_ID,
        queue=query['queue'],
        spec='',
        steps=steps,
        accepted=wall_time,
        account=query['account'],
    )
    problem = find_problem(job)
    if problem is None:
        return job
    step = '' if problem.step is None else f'Step {problem.step}, '
    return _bad_request(
        'No such job would be accepted.',
        f'{step}{problem.field}: {problem.remedy}',
    )


def _decode_step(body: dict[str, Any]) -> Step:
    """
    Return a step.

    Raises MsgspecError also for a field that steps don't have: a job with a
    misspelt field would be explained as another one.
    """
    unknown = sorted(body.keys() - StepBody.__annotations__.keys())
    if unknown:
        raise msgspec.ValidationError(f'Steps have no {unknown[0]}')
    fields = cast(dict[str, Any], msgspec.convert(body, StepBody))
    amounts = {name: fields.pop(name, 0) for name in NO_RESOURCES._fields}
    return Step(
        tasks=fields.pop('tasks', 1), resources=Resources(**amounts), **fields
    )


def _bad_request(reason: str, remedy: str) -> Response:
    return problem_response(HTTPStatus.BAD_REQUEST, reason, remedy)
