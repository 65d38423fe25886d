"""
cyclamenshift.scheduling.state
==============================

What the tasks of one service's scheduler share.
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
from ..job import RunId
from ..jobrows import OwnerRow
from ..logs import get_logger
from ..rows import decode_row
from ..store import Unavailable, get_store_client
from ..worker import Worker, WorkerClient, WorkerReport
from .recorder import Recorder
from .worker_session import WorkerSession

#: How old the proof of ownership may become, ms; small against the horizon
#: of the leases that it bounds.
PROOF_MS: Final = 1_000
#: How long a worker may be silent before it gets no new lease, ms: longer
#: than it may wait for an end before it reports.
SILENCE_MS: Final = 1_500
#: The wait before a call of the store that failed is tried again, ms.
RETRY_MS: Final = 100


class ServiceState:
    """The jobs, the workers and the recorder of one service."""

    def __init__(self, kernel: Host, term: OwnershipTerm) -> None:
        """Start empty, under *tenure*."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.term = term
        self.settings = kernel.settings['jobs']
        self.log = get_logger(f'scheduler.{self.service}')
        self.store = get_store_client(kernel)
        self.client = kernel.get(WorkerClient)
        self.tracker = JobTracker()
        self.arrivals = Arrivals()
        self.recorder = Recorder(
            term,
            self.store,
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
        """The service that is scheduled."""
        return self.term.domain

    def wake(self) -> None:
        """Let the tasks that place and stop look again."""
        self.changed.set()
        self.changed = trio.Event()

    def session(self, worker: Worker) -> WorkerSession:
        """Return the station of *worker*, made when it is first asked for."""
        if worker.instance not in self.sessions:
            prior_leases_until = self.started_at
            if self.tracker.attempts_at(worker.instance):
                prior_leases_until += max_elapsed(
                    self.settings['lease_horizon'],
                )
            self.sessions[worker.instance] = WorkerSession(
                worker,
                Lease(prior_leases_until),
            )
        return self.sessions[worker.instance]

    def has_runs(self, session: WorkerSession) -> bool:
        """Return whether anything may run at a worker."""
        return bool(self.tracker.attempts_at(session.worker.instance))

    def grant(self, session: WorkerSession) -> int:
        """
        Return the expiry of a new lease, 0 for none.

        A worker that does not answer gets none, so that its leases run out
        and what it had runs elsewhere.  No lease reaches beyond
        ``lease_horizon`` after the last proof of ownership: a successor
        waits that long for workers that it can't reach.
        """
        now = self.clock.now()
        if not session.lease.heard_since(now - SILENCE_MS):
            return 0
        unproved = now - self.term.confirmed_at
        left = self.settings['lease_horizon'] - unproved
        length = min(self.settings['lease'], left)
        return session.lease.grant(now, length) if length > 0 else 0

    def apply_report(
        self,
        session: WorkerSession,
        report: WorkerReport,
    ) -> ReportResult:
        """Bring the tracker in line with a report."""
        instance = session.worker.instance
        noted = self.tracker.apply_report(
            instance,
            report,
            self.clock.wall_time(),
        )
        for end in report.ended:
            if end.number > session.acknowledged:
                self.kernel.metrics.run_ends.inc(
                    {'service': self.service, 'how': str(end.outcome)},
                )
                self.log.note(
                    'A run has ended.',
                    run=end.run,
                    worker=session.worker.worker_id,
                    how=end.outcome,
                    number=end.number,
                )
        if noted.orphans:
            self.orphans.setdefault(instance, set()).update(noted.orphans)
        self.wake()
        return noted

    def take_strays(self) -> list[tuple[WorkerSession, RunId]]:
        """Return the runs that nobody wants, and forget them."""
        orphans = [
            (self.sessions[instance], run)
            for instance, runs in self.orphans.items()
            for run in runs
            if instance in self.sessions
        ]
        self.orphans.clear()
        return orphans

    def end_life(self, session: WorkerSession, reason: str) -> None:
        """Note that a worker is gone, with everything that ran there."""
        if session.gone:
            return
        session.gone = True
        session.want()
        self._lose(session, reason)

    def expire(self, session: WorkerSession) -> None:
        """Note that every lease at a worker has run out."""
        self._lose(session, 'leases ran out')

    def lose_unknown(self, workers: Mapping[str, Worker]) -> None:
        """
        Give up recorded runs at workers that are not registered any more.

        Nobody can ask such a worker: its leases have to run out.
        """
        horizon = max_elapsed(self.settings['lease_horizon'])
        waited_out = self.clock.now() >= self.started_at + horizon
        for instance in tuple(
            self.tracker.attempts_by_worker.keys() - self.sessions.keys(),
        ):
            worker_id, started_at = instance
            present = workers.get(worker_id)
            reborn = present is not None and present.started_at > started_at
            if waited_out or reborn:
                lost = self.tracker.remove_all_at(instance)
                self.log.warning(
                    'Runs are over.',
                    worker=worker_id,
                    reason='not registered any more',
                    runs=[attempt.run for attempt in lost],
                )

    async def keep_proof(self) -> None:
        """Prove the ownership again and again while nothing else does."""
        while True:
            await self.clock.sleep(PROOF_MS)
            if self.clock.now() - self.term.confirmed_at >= PROOF_MS:
                await self.check_tenure()

    def fail(self, attempt: Attempt, reason: str) -> None:
        """Note that an attempt never ran."""
        self.log.note(
            'A run did not start.',
            run=attempt.run,
            worker=attempt.instance[0],
            reason=reason,
        )
        self.tracker.remove(attempt)
        self.recorder.want()
        self.wake()

    async def check_tenure(self) -> None:
        """Read the owner's row, and end the tenure if it is another's."""
        asked_at = self.clock.now()
        rows = await self.store.read([self.term.key])
        if isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_MS)
            return
        row = rows[0]
        fields = decode_row(row, OwnerRow) if row.version else None
        if self.term.check_row(fields, row.version):
            self.term.confirm(asked_at)

    def _lose(self, session: WorkerSession, reason: str) -> None:
        lost = self.tracker.remove_all_at(session.worker.instance)
        if lost:
            self.log.warning(
                'Runs are over.',
                worker=session.worker.worker_id,
                reason=reason,
                runs=[attempt.run for attempt in lost],
            )
            self.recorder.want()
            self.wake()
