"""
cyclamenshift.scheduling.health_monitor
=======================================

Keeps the health of the workers of one service, and logs its changes.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from ..clock import Clock
from ..decisions.overload.worker_health import WorkerHealth
from ..decisions.overload.worker_states import HealthChange, HealthState, Rank
from ..decisions.progress import Attempt, WorkerInstance
from ..decisions.reports import EndedRun
from ..decisions.tracker import JobTracker
from ..job import RunId
from ..logs import StructuredLogger
from .worker_session import WorkerSession

TEXTS: Final[Mapping[HealthState, str]] = {
    HealthState.healthy: 'Worker readmitted.',
    HealthState.suspected: 'Worker suspected.',
    HealthState.ejected: 'Worker ejected.',
    HealthState.probed: 'Worker probed.',
}
NO_ATTEMPTS: Final[Mapping[RunId, Attempt]] = {}


class HealthMonitor:
    """The health of the workers; all are healthy unless it is *enabled*."""

    def __init__(
        self, clock: Clock, log: StructuredLogger, *, enabled: bool
    ) -> None:
        """Start without any evidence, as after each take-over."""
        self.clock = clock
        self.log = log
        self.health = WorkerHealth() if enabled else None

    @property
    def enabled(self) -> bool:
        """Whether the setting asks for it."""
        return self.health is not None

    @property
    def ejected(self) -> int:
        """How many workers are ejected."""
        return len(self.health.ejected) if self.health else 0

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Return whether a worker may be slow or fail its runs."""
        worker = self.health.workers.get(instance) if self.health else None
        return worker is not None and worker.state is not HealthState.healthy

    def is_ejected(self, instance: WorkerInstance) -> bool:
        """Return whether a worker gets no runs but probes."""
        return self.health is not None and instance in self.health.ejected

    def retain(self, sessions: Mapping[WorkerInstance, WorkerSession]) -> None:
        """Follow the workers that have come and gone."""
        if self.health:
            self.health.retain(
                {
                    instance
                    for instance, session in sessions.items()
                    if session.registered and not session.closed
                },
                self.clock.now(),
            )
            self._log_changes()

    def check_running(self, tracker: JobTracker) -> None:
        """Look for workers with runs that take too long."""
        if self.health:
            self.health.check_running(
                tracker.attempts_by_worker, self.clock.now()
            )
            self._log_changes()

    def rank(
        self,
        instance: WorkerInstance,
        attempts: Mapping[RunId, Attempt] = NO_ATTEMPTS,
    ) -> Rank:
        """Return the rank of a worker that has these *attempts*."""
        if self.health is None:
            return Rank.healthy
        rank = self.health.rank(instance, self.clock.now(), attempts)
        self._log_changes()
        return rank

    def peek_rank(
        self,
        instance: WorkerInstance,
        attempts: Mapping[RunId, Attempt] = NO_ATTEMPTS,
    ) -> Rank:
        """Return the rank of a worker without changing its health."""
        if self.health is None:
            return Rank.healthy
        return self.health.peek_rank(instance, self.clock.now(), attempts)

    def record_start(self, attempt: Attempt) -> None:
        """Take note of a run that is about to start."""
        if self.health:
            self.health.record_start(
                attempt.instance, attempt.run, self.clock.now()
            )
            self._log_changes()

    def record_ends(
        self, instance: WorkerInstance, ended: Iterable[EndedRun]
    ) -> None:
        """Learn from the ends in a report of a worker."""
        if self.health:
            for run in ended:
                self.health.record_end(run, instance, self.clock.now())
            self._log_changes()

    def _log_changes(self) -> None:
        for change in self.health.take_changes() if self.health else ():
            self._log_change(change)

    def _log_change(self, change: HealthChange) -> None:
        worker_id, started_at = change.instance
        self.log.note(
            TEXTS[change.state],
            worker=worker_id,
            started_at=started_at,
            reason=change.reason,
            failed_runs=change.failures,
            failed_steps=change.steps,
            slowdown=round(change.slowdown, 1),
            pool_failure_rate=round(change.pool_rate, 2),
            ejected=self.ejected,
        )
