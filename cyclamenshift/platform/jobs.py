"""
cyclamenshift.platform.jobs
===========================

Jobs as the platform's clients hand them in.
"""

from typing import Any, NotRequired, TypedDict, cast

from ..job import Job, Step
from .wire import ResourcesBody, decode_resources

#: A step; zeros, falses and empty values are left out.
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
        # The rack that has the data.
        'affinity': str,
        # The most tasks of the step on one worker.
        'antiAffinity': int,
        'speculative': bool,
        'perpetual': bool,
        'image': str,
        # Bounds the tail of the answers that a task gives, not the task.
        'targetMs': int,
        # Runs in what the other tasks leave of the processor.
        'fills': bool,
        # Tasks that may be down at a time through planned work.
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
        # Occurrences, not attempts.
        'maxRuns': NotRequired[int],
        'firstRunMs': NotRequired[int],
        'intervalMs': NotRequired[int],
    },
)


def job_of(job_id: str, queue: str, body: JobBody, accepted: int) -> Job:
    """Return the job that a caller handed in at *accepted*."""
    return Job(
        job_id=job_id,
        queue=queue,
        spec=body.get('spec', ''),
        steps=tuple(map(_step_of, body['steps'])),
        occurrences=body.get('maxRuns', 0),
        first_due=body.get('firstRunMs', 0),
        interval=body.get('intervalMs', 0),
        accepted=accepted,
    )


def _step_of(body: StepBody) -> Step:
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
