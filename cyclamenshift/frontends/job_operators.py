"""
cyclamenshift.frontends.job_operators
=====================================

The HTTP front end for operators of an entry VM that schedules jobs.
"""

from http import HTTPStatus
from typing import Any

import msgspec
import trio
from quart import Response

from ..component import Host
from ..controls.ownership import Ownership
from ..directory import Directory, Queue
from ..duties.scheduler import SchedulerDuty
from ..frontend import Frontend, read_body
from ..job import Job
from ..metrics import TEXT_FORMAT
from ..plugin import register
from ..scheduling.explainer import Explainer
from .job_query import decode_query
from .responses import problem_response


@register
class JobOperatorFrontend(Frontend):
    """Serves metrics, state dumps and job details on a separate port."""

    name = 'job-operators'

    def __init__(self, kernel: Host) -> None:
        """Register the routes."""
        super().__init__(kernel)
        self.app.get('/metrics')(self.show_metrics)
        self.app.get('/v1/dump')(self.show_dump)
        self.app.get('/v1/jobs/<job_id>')(self.show_job)
        self.app.get('/v1/jobs/<job_id>/explain')(self.explain_job)
        self.app.post('/v1/explain')(self.explain_new_job)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve operators."""
        await self.listen((self.kernel.settings['operators'],), task_status)

    async def show_metrics(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(
            self.kernel.metrics.render(),
            content_type=TEXT_FORMAT,
        )

    async def show_dump(self) -> Response:
        """Return the state of all components."""
        return Response(
            msgspec.json.encode(self.kernel.dump(), order='sorted'),
            content_type='application/json',
        )

    async def show_job(self, job_id: str) -> Response:
        """Return a job, its tasks and runs, or 404 if not scheduled here."""
        detail = self.kernel.get(SchedulerDuty).detail_of(job_id)
        return _json_response(detail) if detail else _no_such_job()

    async def explain_job(self, job_id: str) -> Response:
        """Return where the tasks of a job would start now, and why."""
        scheduler = self.kernel.get(SchedulerDuty).scheduler_of(job_id)
        if scheduler is None:
            return _no_such_job()
        if scheduler.placer is None:
            return _not_loaded(scheduler.state.service)
        explainer = Explainer(scheduler, scheduler.placer)
        progress = scheduler.tracker.jobs[job_id]
        return _json_response(explainer.explain_tracked(progress))

    async def explain_new_job(self) -> Response:
        """Return where a job would go that is submitted now, and why."""
        job = decode_query(await read_body(), self.clock.wall_time())
        if isinstance(job, Response):
            return job
        catalog = self.kernel.get(Directory).catalog
        queue = catalog.queues.get(job.queue) if catalog else None
        if catalog is None or queue is None:
            return _unknown('queue', job.queue)
        if job.account and job.account not in catalog.accounts:
            return _unknown('account', job.account)
        if not (job.account or queue.open_access):
            return problem_response(
                HTTPStatus.BAD_REQUEST,
                'The queue takes jobs of accounts only.',
                'Name an account.',
            )
        return self._explain(job, queue)

    def _explain(self, job: Job, queue: Queue) -> Response:
        service = queue.service
        scheduler = self.kernel.get(SchedulerDuty).schedulers.get(service)
        if scheduler is None:
            owner = self.kernel.get(Ownership).owner_of(service)
            return problem_response(
                HTTPStatus.NOT_FOUND,
                f'The service {service} is not scheduled here.',
                f'Ask {owner}, which owns it.'
                if owner
                else 'Try again; no owner of it is known now.',
            )
        if scheduler.placer is None:
            return _not_loaded(service)
        explainer = Explainer(scheduler, scheduler.placer)
        return _json_response(explainer.explain_new(job, queue))


def _json_response(value: Any) -> Response:
    return Response(msgspec.json.encode(value), content_type='application/json')


def _no_such_job() -> Response:
    return problem_response(
        HTTPStatus.NOT_FOUND,
        'No service that is scheduled here has this job.',
        'Ask the owner of its service: "cyclamenshift owners".',
    )


def _not_loaded(service: str) -> Response:
    return problem_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'The jobs of the service {service} are not loaded yet.',
        'Try again in a second.',
    )


def _unknown(kind: str, name: str) -> Response:
    return problem_response(
        HTTPStatus.NOT_FOUND,
        f'The configuration has no {kind} "{name}".',
        f'Name a configured {kind}.',
    )
