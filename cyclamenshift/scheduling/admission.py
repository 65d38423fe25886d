"""
cyclamenshift.scheduling.admission
==================================

Admits or refuses the new jobs of one service, and measures these decisions.
"""

from collections import deque
from typing import NamedTuple

from ..component import Host
from ..decisions.demands import group_by_step
from ..decisions.lending import total_resources
from ..decisions.overload.admission_control import (
    Admission,
    Admitted,
    Backlog,
    StepWaits,
    Rejected,
    backlog_of,
    decide,
    needs_of,
)
from ..decisions.progress import JobProgress
from ..directory import Directory, Queue
from ..job import Job
from .account_limits import AccountLimits
from .state import ServiceState


class Refusal(NamedTuple):
    """A refused job, and until when it should have ended, monotonic ms."""

    job_id: str
    due: int


class Preview(NamedTuple):
    """What would be decided about a job, and the work that waits."""

    admission: Admission
    backlog: Backlog


class JobAdmission:
    """Decides about the jobs that are offered to the owner of a service."""

    def __init__(
        self, kernel: Host, state: ServiceState, account_limits: AccountLimits
    ) -> None:
        """Start without any refused job."""
        self.is_active = kernel.settings['overload']['admission_control']
        self.directory = kernel.get(Directory)
        self.clock = kernel.clock
        self.metrics = kernel.metrics.load.overload
        self.state = state
        self.account_limits = account_limits
        self.waits = StepWaits()
        self.refusals: deque[Refusal] = deque()

    def decide(self, job: Job) -> Admission:
        """
        Return whether *job* is admitted.

        One that is tracked was stored before, and is never refused.
        """
        queue = self._controlled_queue(job)
        if queue is None:
            return Admitted()
        backlog = self.backlog(self.waits)
        self._check_refusals(backlog)
        progress = JobProgress(job, queue, self.state.tracker.run_times)
        needs = needs_of(
            progress,
            within_share=self.account_limits.is_within_share(job.account),
        )
        admission = decide(needs, backlog)
        self._record(job, admission, backlog, needs.objective)
        return admission

    def preview(self, progress: JobProgress) -> Preview:
        """Return what would be decided about a job, without any effect."""
        backlog = self.backlog(self.waits.copy())
        if self._controlled_queue(progress.job) is None:
            return Preview(Admitted(), backlog)
        within_share = self.account_limits.would_be_within_share(
            progress.job.account
        )
        needs = needs_of(progress, within_share=within_share)
        return Preview(decide(needs, backlog), backlog)

    def backlog(self, step_waits: StepWaits) -> Backlog:
        """
        Return the work within the shares of accounts that waits now.

        *step_waits* is updated by it.
        """
        beyond = self.account_limits.beyond_share
        exhausted = self.account_limits.exhausted
        tasks = [
            task
            for task in self.state.tracker.waiting.values()
            if task.task_id.job_id not in beyond
            and task.job.job.account not in exhausted
            and not task.step.long_running
        ]
        groups = group_by_step(tasks)
        waits = step_waits.update(groups, self.clock.now())
        capacity = total_resources(
            [
                session.worker.resources
                for session in self.state.sessions.values()
                if not session.closed
            ]
        )
        return backlog_of(groups, waits, capacity.cpu)

    def _controlled_queue(self, job: Job) -> Queue | None:
        """Return the queue of a job that may be refused, None for others."""
        catalog = self.directory.catalog
        queue = catalog.queues.get(job.queue) if catalog else None
        is_known = job.job_id in self.state.tracker.jobs
        if not self.is_active or queue is None or is_known:
            return None
        if job.occurrences or any(step.long_running for step in job.steps):
            return None
        return queue

    def _check_refusals(self, backlog: Backlog) -> None:
        """Count the refused jobs whose time has come by whether they fitted."""
        now = self.clock.now()
        while self.refusals and self.refusals[0].due <= now:
            self.refusals.popleft()
            fitted = 'no' if backlog.is_short else 'yes'
            self.metrics.refused.inc(
                {'service': self.state.service, 'would_have_fitted': fitted}
            )

    def _record(
        self, job: Job, admission: Admission, backlog: Backlog, objective: int
    ) -> None:
        if not isinstance(admission, Rejected):
            return
        self.refusals.append(Refusal(job.job_id, self.clock.now() + objective))
        if job.account:
            self.metrics.accounts.refused[job.account] += 1
        self.state.log.note(
            'Job refused.',
            job=job.job_id,
            queue=job.queue,
            account=job.account,
            reason=admission.reason,
            retry_after=admission.retry_after,
            drain_ms=backlog.drain_time,
            oldest_wait_ms=backlog.oldest_wait,
        )
