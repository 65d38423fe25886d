"""
cyclamenshift.decisions.admission
=================================

Validates the jobs that callers submit.
"""

from typing import Final

from ..job import Job, Step

#: The longest specification, bytes, as the platform specifies.
SPEC_LIMIT: Final = 4_000


def find_problem(job: Job) -> str:
    """Return the first problem of *job* and its remedy, empty if none."""
    if len(job.spec.encode()) > SPEC_LIMIT:
        return f'spec: longer than {SPEC_LIMIT} bytes; shorten it'
    if not job.steps:
        return 'steps: there is none; name at least one'
    problems = (
        _problem_with_step(number, step)
        for number, step in enumerate(job.steps)
    )
    return next(filter(None, problems), '')


def _problem_with_step(number: int, step: Step) -> str:
    if step.tasks < 1:
        return f'steps[{number}]: it has no task; ask for one or more'
    if min(step.resources) < 0:
        return f'steps[{number}]: it asks for less than nothing'
    if not all(0 <= dependency < number for dependency in step.dependencies):
        return f'steps[{number}]: it may only come after earlier steps'
    return ''
