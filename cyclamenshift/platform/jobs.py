"""
cyclamenshift.platform.jobs
===========================

Decodes the jobs that the platform's clients submit.
"""

from collections.abc import Mapping
from typing import Any, Final, NotRequired, TypedDict, cast

from ..decisions.admission import Problem
from ..job import Job, Step
from .wire import ResourcesBody, decode_resources

#: A step; zero, false and empty values are omitted.
StepBody = TypedDict(
    'StepBody',
    {
        'count': int,
        'cpu': int,
        'memMb': int,
        'gpu': int,
        'estimateMs': int,
        'after': list[int],
        'savesProgress': bool,
        'gang': bool,
        'sameRack': bool,
        'requires': str,
        # The rack that holds the data.
        'affinity': str,
        # The maximum number of tasks of the step on one worker.
        'antiAffinity': int,
        'speculative': bool,
        'perpetual': bool,
        'image': str,
        # Limits the tail latency of a task's responses, not its duration.
        'targetMs': int,
        # Uses the CPU time that other tasks leave idle.
        'fills': bool,
        # The number of tasks that planned work may take down at a time.
        'mayMiss': int,
    },
    total=False,
)
#: A job.
JobBody = TypedDict(
    'JobBody',
    {
        'spec': NotRequired[str],
        'steps': list[StepBody],
        # The number of occurrences, not of attempts.
        'maxRuns': NotRequired[int],
        'firstRunMs': NotRequired[int],
        'intervalMs': NotRequired[int],
    },
)


#: The platform's names of the fields of a job and a step that differ.
FIELD_NAMES: Final[Mapping[str, str]] = {
    'occurrences': 'maxRuns',
    'first_due': 'firstRunMs',
    'interval': 'intervalMs',
    'tasks': 'count',
    'memory': 'memMb',
    'estimate': 'estimateMs',
    'dependencies': 'after',
    'worker_limit': 'antiAffinity',
    'latency_target': 'targetMs',
    'disruption_limit': 'mayMiss',
}


def describe_problem(problem: Problem) -> str:
    """Return *problem* with the platform's name of its field."""
    field = FIELD_NAMES.get(problem.field, problem.field)
    if problem.step is not None:
        field = f'steps[{problem.step}].{field}'
    return f'{field}: {problem.remedy}'


def decode_job(job_id: str, queue: str, body: JobBody, accepted: int) -> Job:
    """Return the job that a caller submitted at *accepted*."""
    return Job(
        job_id=job_id,
        queue=queue,
        spec=body.get('spec', ''),
        steps=tuple(map(_decode_step, body['steps'])),
        occurrences=body.get('maxRuns', 0),
        first_due=body.get('firstRunMs', 0),
        interval=body.get('intervalMs', 0),
        accepted=accepted,
    )


def _decode_step(body: StepBody) -> Step:
    resources = cast(ResourcesBody, cast(Any, body))
    return Step(
        tasks=body.get('count', 0),
        resources=decode_resources(resources),
        estimate=body.get('estimateMs', 0),
        dependencies=tuple(body.get('after', ())),
        saves_checkpoints=body.get('savesProgress', False),
        gang=body.get('gang', False),
        single_rack=body.get('sameRack', False),
        required_label=body.get('requires', ''),
        preferred_rack=body.get('affinity', ''),
        worker_limit=body.get('antiAffinity', 0),
        speculative=body.get('speculative', False),
        long_running=body.get('perpetual', False),
        image=body.get('image', ''),
        latency_target=body.get('targetMs', 0),
        best_effort=body.get('fills', False),
        disruption_limit=body.get('mayMiss', 0),
    )
