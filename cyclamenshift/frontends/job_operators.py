"""
cyclamenshift.frontends.job_operators
=====================================

The HTTP front end for operators of an entry VM that schedules jobs.
"""

from http import HTTPStatus

import msgspec
import trio
from quart import Response

from ..component import Host
from ..duties.scheduler import SchedulerDuty
from ..frontend import Frontend
from ..metrics import TEXT_FORMAT
from ..plugin import register
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
        if detail is None:
            return problem_response(
                HTTPStatus.NOT_FOUND,
                'No service that is scheduled here has this job.',
                'Ask the owner of its service: "cyclamenshift owners".',
            )
        return Response(
            msgspec.json.encode(detail),
            content_type='application/json',
        )
