"""
cyclamenshift.scheduling.state
==============================

The state shared by the tasks of one service's scheduler.
"""

from collections.abc import Mapping
from typing import Final

import trio

from ..component import Host
from ..decisions.arrivals import Arrivals
from ..decisions.leases import Lease, max_elapsed
from ..decisions.progress import Attempt, WorkerInstance
from ..decisions.tracker import JobTracker, ReportResult
from ..duty import OwnershipTerm
from ..job import RunEnd, RunId
from ..ownerrows import OwnerRow
from ..logs import get_logger
from ..rows import decode_row
from ..store import StoreClient, Unavailable, get_store_client
from ..worker import Worker, WorkerClient, WorkerReport
from .order_window import OrderWindow
from .recorder import Recorder
from .worker_session import WorkerSession

#: How long the ownership may go unconfirmed, ms; small compared with
#: ``lease_horizon``, which counts from the last confirmation.
OWNERSHIP_CHECK_INTERVAL_MS: Final = 1_000
#: How long a worker may be silent before it gets no new lease, ms; longer
#: than ``REPORT_WAIT_MS``, for which it may hold a report.
SILENCE_MS: Final = 1_500
#: The delay before a failed store call is retried, ms.
RETRY_DELAY_MS: Final = 100


class ServiceState:
    """The jobs, worker sessions and recorder of one service."""

    def __init__(
        self,
        kernel: Host,
        term: OwnershipTerm,
        order_window: OrderWindow,
    ) -> None:
        """Create the state of the service owned under *term*."""
        self.order_window = order_window
        self.kernel = kernel
        self.clock = kernel.clock
        self.term = term
        self.settings = kernel.settings['jobs']
        self.log = get_logger(f'scheduler.{self.service}')
        self.client = kernel.get(WorkerClient)
        self.tracker = JobTracker()
        self.arrivals = Arrivals()
        self.recorder = Recorder(
            term,
            get_store_client(kernel),
            self.tracker,
            kernel,
            self.log,
        )
        self.sessions: dict[WorkerInstance, WorkerSession] = {}
        self.orphans: dict[WorkerInstance, set[RunId]] = {}
        self.started_at = self.clock.now()
        self.changed = trio.Event()

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.term.domain

    @property
    def store(self) -> StoreClient:
        """The client of the store."""
        return self.recorder.store

    def wake(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def session_for(self, worker: Worker) -> WorkerSession:
        """Return the session of *worker*, created on first use."""
        if worker.instance not in self.sessions:
            prior_leases_until = self.started_at
            if self.tracker.attempts_at(worker.instance):
                prior_leases_until += max_elapsed(
                    self.settings['lease_horizon']
                )
            self.sessions[worker.instance] = WorkerSession(
                worker, Lease(prior_leases_until)
            )
        return self.sessions[worker.instance]

    def has_runs(self, session: WorkerSession) -> bool:
        """Return whether a worker may have active runs."""
        return bool(self.tracker.attempts_at(session.worker.instance))

    def grant_lease(self, session: WorkerSession) -> int:
        """
        Return the expiry of a new lease, 0 for none.

        A worker that does not answer gets none, so that its leases expire
        and its tasks can start elsewhere.  No lease extends beyond
        ``lease_horizon`` after the last confirmation of ownership, because a
        successor waits that long for workers that it can't reach.
        """
        now = self.clock.now()
        if not session.lease.heard_since(now - SILENCE_MS):
            return 0
        unconfirmed = now - self.term.confirmed_at
        remaining = self.settings['lease_horizon'] - unconfirmed
        length = min(self.settings['lease'], remaining)
        return session.lease.grant(now, length) if length > 0 else 0

    def apply_report(
        self, session: WorkerSession, report: WorkerReport
    ) -> ReportResult:
        """Apply a report to the tracked jobs, and each end in it once."""
        instance = session.worker.instance
        new_ends = session.end_log.select_new(report.ended)
        report_result = self.tracker.apply_report(
            instance,
            report._replace(ended=new_ends),
            self.clock.wall_time(),
        )
        session.end_log.add(new_ends, report_result.jobs)
        for end in new_ends:
            self._log_end(session, end)
        if report_result.orphans:
            self.orphans.setdefault(instance, set()).update(
                report_result.orphans
            )
        self.wake()
        return report_result

    def take_orphans(self) -> list[tuple[WorkerSession, RunId]]:
        """Return and clear the reported runs that have no attempt."""
        orphans = [
            (self.sessions[instance], run)
            for instance, runs in self.orphans.items()
            for run in runs
            if instance in self.sessions
        ]
        self.orphans.clear()
        return orphans

    def close_session(self, session: WorkerSession, reason: str) -> None:
        """Close a session and mark its runs as lost."""
        if session.closed:
            return
        session.closed = True
        session.wake()
        self._mark_runs_lost(session, reason)

    def mark_leases_expired(self, session: WorkerSession) -> None:
        """Mark the runs of a worker as lost after its last lease expired."""
        self._mark_runs_lost(session, 'leases expired')

    def drop_unregistered(self, workers: Mapping[str, Worker]) -> None:
        """
        Drop recorded runs at workers that are no longer registered.

        Such workers can't be asked, so their leases have to expire first.
        """
        horizon = max_elapsed(self.settings['lease_horizon'])
        leases_expired = self.clock.now() >= self.started_at + horizon
        for instance in tuple(
            self.tracker.attempts_by_worker.keys() - self.sessions.keys()
        ):
            worker_id, started_at = instance
            current = workers.get(worker_id)
            restarted = current is not None and current.started_at > started_at
            if leases_expired or restarted:
                lost = self.tracker.remove_all_at(instance)
                self.log.warning(
                    'Runs lost.',
                    worker=worker_id,
                    reason='worker not registered',
                    runs=[attempt.run for attempt in lost],
                )
                self.recorder.notify()

    async def keep_ownership_confirmed(self) -> None:
        """Check the ownership whenever no other call has confirmed it."""
        while True:
            await self.clock.sleep(OWNERSHIP_CHECK_INTERVAL_MS)
            if (
                self.clock.now() - self.term.confirmed_at
                >= OWNERSHIP_CHECK_INTERVAL_MS
            ):
                await self.check_ownership()

    def mark_not_started(self, attempt: Attempt, reason: str) -> None:
        """Remove an attempt that was never started."""
        self.log.note(
            'Run not started.',
            run=attempt.run,
            worker=attempt.instance[0],
            reason=reason,
        )
        self.tracker.remove(attempt)
        self.recorder.notify()
        self.wake()

    async def check_ownership(self) -> None:
        """Read the owner row; revoke the term if its fields have changed."""
        sent_at = self.clock.now()
        rows = await self.store.read([self.term.key])
        if isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            return
        row = rows[0]
        fields = decode_row(row, OwnerRow) if row.version else None
        if self.term.check_row(fields, row.version, 'check'):
            self.term.confirm(sent_at)

    def _mark_runs_lost(self, session: WorkerSession, reason: str) -> None:
        lost = self.tracker.remove_all_at(session.worker.instance)
        if lost:
            self.log.warning(
                'Runs lost.',
                worker=session.worker.worker_id,
                reason=reason,
                runs=[attempt.run for attempt in lost],
            )
            self.recorder.notify()
            self.wake()

    def _log_end(self, session: WorkerSession, end: RunEnd) -> None:
        self.kernel.metrics.run_ends.inc(
            {'service': self.service, 'how': str(end.outcome)},
        )
        self.log.note(
            'Run ended.',
            run=end.run,
            worker=session.worker.worker_id,
            how=end.outcome,
            number=end.number,
        )
