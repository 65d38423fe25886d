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
from ..decisions.book import Book, Noted
from ..decisions.leases import Lease, slowest
from ..decisions.progress import Attempt, Life
from ..duty import Tenure
from ..job import RunId
from ..jobrows import OwnerRow
from ..logs import get_logger
from ..rows import typed
from ..store import Unavailable, path_to_store
from ..worker import Report, Worker, WorkerClient
from .recorder import Recorder
from .worker_session import WorkerSession

#: How old the proof of ownership may become, ms; small against the horizon
#: of the leases that it bounds.
OWNERSHIP_CHECK_MS: Final = 1_000
#: How long a worker may be silent before it gets no new lease, ms: longer
#: than it may wait for an end before it reports.
SILENCE_MS: Final = 1_500
#: The wait before a call of the store that failed is tried again, ms.
RETRY_MS: Final = 100


class ServiceState:
    """The jobs, the workers and the recorder of one service."""

    def __init__(self, kernel: Host, tenure: Tenure) -> None:
        """Start empty, under *tenure*."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.tenure = tenure
        self.settings = kernel.settings['jobs']
        self.log = get_logger(f'scheduler.{self.service}')
        self.store = path_to_store(kernel)
        self.client = kernel.get(WorkerClient)
        self.book = Book()
        self.arrivals = Arrivals()
        self.recorder = Recorder(
            tenure,
            self.store,
            self.book,
            kernel,
            self.log,
        )
        self.sessions: dict[Life, WorkerSession] = {}
        self.strays: dict[Life, set[RunId]] = {}
        self.started_at = self.clock.now()
        self.changed = trio.Event()

    @property
    def service(self) -> str:
        """The service that is scheduled."""
        return self.tenure.domain

    def wake(self) -> None:
        """Let the tasks that place and stop look again."""
        self.changed.set()
        self.changed = trio.Event()

    def session_for(self, worker: Worker) -> WorkerSession:
        """Return the station of *worker*, made when it is first asked for."""
        if worker.life not in self.sessions:
            open_until = self.started_at
            if self.book.runs_at(worker.life):
                open_until += slowest(self.settings['lease_horizon'])
            self.sessions[worker.life] = WorkerSession(
                worker, Lease(open_until)
            )
        return self.sessions[worker.life]

    def has_runs(self, session: WorkerSession) -> bool:
        """Return whether anything may run at a worker."""
        return bool(self.book.runs_at(session.worker.life))

    def grant_lease(self, session: WorkerSession) -> int:
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
        unconfirmed = now - self.tenure.confirmed_at
        remaining = self.settings['lease_horizon'] - unconfirmed
        length = min(self.settings['lease'], remaining)
        return session.lease.grant(now, length) if length > 0 else 0

    def take_report(self, session: WorkerSession, report: Report) -> Noted:
        """Bring the book in line with a report."""
        life = session.worker.life
        noted = self.book.take_report(life, report, self.clock.wall_time())
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
        if noted.strays:
            self.strays.setdefault(life, set()).update(noted.strays)
        self.wake()
        return noted

    def take_strays(self) -> list[tuple[WorkerSession, RunId]]:
        """Return the runs that nobody wants, and forget them."""
        strays = [
            (self.sessions[life], run)
            for life, runs in self.strays.items()
            for run in runs
            if life in self.sessions
        ]
        self.strays.clear()
        return strays

    def close_session(self, session: WorkerSession, reason: str) -> None:
        """Note that a worker is gone, with everything that ran there."""
        if session.closed:
            return
        session.closed = True
        session.wake()
        self._mark_runs_lost(session, reason)

    def mark_leases_expired(self, session: WorkerSession) -> None:
        """Note that every lease at a worker has run out."""
        self._mark_runs_lost(session, 'leases ran out')

    def drop_unregistered(self, workers: Mapping[str, Worker]) -> None:
        """
        Give up recorded runs at workers that are not registered any more.

        Nobody can ask such a worker: its leases have to run out.
        """
        horizon = slowest(self.settings['lease_horizon'])
        leases_expired = self.clock.now() >= self.started_at + horizon
        for life in tuple(self.book.at.keys() - self.sessions.keys()):
            worker_id, born = life
            present = workers.get(worker_id)
            restarted = present is not None and present.born > born
            if leases_expired or restarted:
                lost = self.book.lose(life)
                self.log.warning(
                    'Runs are over.',
                    worker=worker_id,
                    reason='not registered any more',
                    runs=[attempt.run for attempt in lost],
                )

    async def keep_ownership_confirmed(self) -> None:
        """Prove the ownership again and again while nothing else does."""
        while True:
            await self.clock.sleep(OWNERSHIP_CHECK_MS)
            if (
                self.clock.now() - self.tenure.confirmed_at
                >= OWNERSHIP_CHECK_MS
            ):
                await self.check_tenure()

    def mark_not_started(self, attempt: Attempt, reason: str) -> None:
        """Note that an attempt never ran."""
        self.log.note(
            'A run did not start.',
            run=attempt.run,
            worker=attempt.life[0],
            reason=reason,
        )
        self.book.remove(attempt)
        self.recorder.wake()
        self.wake()

    async def check_tenure(self) -> None:
        """Read the owner's row, and end the tenure if it is another's."""
        asked_at = self.clock.now()
        rows = await self.store.read([self.tenure.key])
        if isinstance(rows, Unavailable):
            await self.clock.sleep(RETRY_MS)
            return
        row = rows[0]
        fields = typed(row, OwnerRow) if row.version else None
        if self.tenure.follow(fields, row.version):
            self.tenure.confirm(asked_at)

    def _mark_runs_lost(self, session: WorkerSession, reason: str) -> None:
        lost = self.book.lose(session.worker.life)
        if lost:
            self.log.warning(
                'Runs are over.',
                worker=session.worker.worker_id,
                reason=reason,
                runs=[attempt.run for attempt in lost],
            )
            self.recorder.wake()
            self.wake()
