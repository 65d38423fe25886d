"""
cyclamenshift.scheduling.state
==============================

The state shared by the tasks of one service's scheduler.
"""

from functools import cached_property
from typing import Any, Final

import trio

from ..clock import Clock
from ..component import Host
from ..decisions.evidence import (
    LeasesExpired,
    ProcessReplaced,
    ProcessRestarted,
)
from ..decisions.leases import LeaseBounds
from ..decisions.overload.run_samples import RunTimeLearner
from ..decisions.progress import Attempt, WorkerInstance
from ..decisions.reports import ReportApplication, ReportResult
from ..decisions.tracker import JobTracker
from ..directory import Directory
from ..duty import OwnershipTerm
from ..job import RunId
from ..logs import StructuredLogger, get_logger
from ..settings import JobSettings
from ..store import get_store_client
from ..worker import Worker, WorkerClient, WorkerReport
from .crash_recorder import CrashRecorder
from .demand import DemandForecast
from .health_monitor import HealthMonitor
from .order_window import OrderWindow
from .ownership_check import OwnershipCheck
from .recorder import Recorder
from .run_log import RunLog
from .worker_session import NOT_RESERVED, Reservation, WorkerSession

#: How long a worker may be silent before it gets no new lease, ms; longer
#: than ``REPORT_WAIT_MS``, for which it may hold a report.
SILENCE_MS: Final = 1_500


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
        self.ownership = OwnershipCheck(
            kernel.clock, get_store_client(kernel), term
        )
        log = get_logger(f'scheduler.{self.service}')
        self.run_log = RunLog(kernel.clock, log, term)
        self.health = HealthMonitor(
            kernel.clock,
            log,
            enabled=kernel.settings['overload']['worker_health'],
        )
        self.tracker = JobTracker(
            RunTimeLearner(self.health.is_suspected)
            if kernel.settings['overload']['learned_run_times']
            else None
        )
        self.crashes = CrashRecorder(kernel.clock, log, self.tracker)
        self.demand = DemandForecast(
            kernel, log, self.service, self.tracker.run_times
        )
        self.recorder = Recorder(
            term,
            self.ownership.store,
            self.tracker,
            kernel,
            log,
        )
        self.sessions: dict[WorkerInstance, WorkerSession] = {}
        self.orphans: dict[WorkerInstance, set[RunId]] = {}
        #: By VM id.
        self.reservations: dict[str, Reservation] = {}
        self.lease_bounds = LeaseBounds(
            self.clock.now(),
            self.settings['lease_horizon'],
            self.settings['max_lease'],
            term.epoch,
        )
        self.changed = trio.Event()

    @cached_property
    def client(self) -> WorkerClient:
        """The client that sends orders to the workers."""
        return self.kernel.get(WorkerClient)

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self.kernel.clock

    @property
    def term(self) -> OwnershipTerm:
        """The term under which the service is owned."""
        return self.ownership.term

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.term.domain

    @property
    def settings(self) -> JobSettings:
        """The settings of the schedulers."""
        return self.kernel.settings['jobs']

    @property
    def log(self) -> StructuredLogger:
        """The log of the scheduler of this service."""
        return self.run_log.log

    @property
    def knows_workers(self) -> bool:
        """Whether the registrations are recent enough to start tasks by."""
        limit = self.settings['registration_age']
        return self.kernel.get(Directory).workers_age <= limit

    def wake(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def session_for(self, worker: Worker) -> WorkerSession:
        """Return the session of *worker*, created on first use."""
        if worker.instance not in self.sessions:
            self._open_session(worker)
        return self.sessions[worker.instance]

    def has_runs(self, session: WorkerSession) -> bool:
        """Return whether a worker may have active runs."""
        return bool(self.tracker.attempts_at(session.worker.instance))

    def grant_lease(self, session: WorkerSession) -> int:
        """
        Return the expiry of a new lease, 0 for none.

        A worker that does not answer gets none, so that its leases expire
        and its tasks can start elsewhere.  One that missed a call may have
        restarted, and would take the expiry for a time on its new clock.  No
        lease extends beyond ``lease_horizon`` after the last confirmation of
        ownership, because a successor waits that long for workers that it
        can't reach.
        """
        now = self.clock.now()
        heard = session.lease.heard_since(now - SILENCE_MS)
        if session.misses or not heard:
            return 0
        remaining = (
            self.settings['lease_horizon'] - self.ownership.unconfirmed_for()
        )
        length = min(self.settings['lease'], remaining)
        return session.lease.grant(now, length) if length > 0 else 0

    def apply_report(
        self, session: WorkerSession, report: WorkerReport, asked: int
    ) -> ReportResult:
        """
        Apply a report to the tracked jobs, and each end in it once.

        It was asked for at the position *asked* of the session's calls.
        """
        is_first = not session.has_reported
        if not session.closed:
            if is_first:
                self._follow_restarts_to(session)
            self.crashes.dismiss(session.worker)
        new_ends = session.end_log.select_new(report.ended)
        new_report = report._replace(ended=new_ends)
        report_result = ReportApplication(
            self.tracker,
            session.worker.instance,
            new_report,
            session.calls.time_report(asked),
            self.clock.wall_time(),
        ).run()
        session.end_log.add(new_ends, report_result.jobs)
        for end in new_ends:
            self.kernel.metrics.run_ends.inc(
                {'service': self.service, 'how': str(end.outcome)},
            )
        for sample in report_result.samples:
            self.kernel.metrics.load.record_run_time(self.service, *sample)
        self.run_log.record_report(session, new_report, report_result)
        self.health.record_ends(session.worker.instance, report_result.ended)
        if is_first:
            self._find_late_runs(session)
        if report_result.orphans:
            orphans = self.orphans.setdefault(session.worker.instance, set())
            orphans.update(report_result.orphans)
        self.wake()
        return report_result

    def close_session(
        self, session: WorkerSession, reason: str, *, restarted: bool = True
    ) -> None:
        """
        Close a session and mark its runs as lost.

        If another instance of the worker has ``restarted``, this one has
        crashed, unless it was to leave.
        """
        if session.closed:
            return
        session.closed = True
        session.wake()
        lost = self._mark_runs_lost(session, ProcessReplaced(), reason)
        if restarted:
            self.crashes.record(session, lost)
            self.recorder.notify()
            self.wake()

    def follow_restart(self, session: WorkerSession, started_at: int) -> None:
        """
        Close a session whose worker restarted at *started_at* under its id.

        What the earlier process reported has ended with it.  Other runs may
        be at the new one, and are settled there before their tasks start
        elsewhere.
        """
        if session.closed:
            return
        instance = session.worker.instance
        crashed = self.tracker.answered_attempts_at(instance)
        session.closed = True
        session.wake()
        self._mark_runs_lost(session, ProcessRestarted(), 'worker restarted')
        successor = session.worker._replace(started_at=started_at)
        leases_until = session.lease.longest_until
        if session.may_have_leased_successor(self.clock.now()):
            self.bound_unknown_leases(successor, leases_until)
        if session.end_log.late_until >= self.clock.now():
            self.bound_unknown_leases(successor, leases_until)
            later = self.sessions[successor.instance]
            later.end_log.predecessor = session.end_log
        self._move_runs(instance, successor, leases_until)
        self.crashes.record(session, crashed)
        self.recorder.notify()
        self.wake()

    def bound_successor_leases(self, session: WorkerSession) -> None:
        """Wait for a lease that a call of a closed session may have given."""
        if not session.closed:
            return
        worker_id, started_at = session.worker.instance
        for later in tuple(self.sessions.values()):
            is_same = later.worker.worker_id == worker_id
            if is_same and later.worker.started_at > started_at:
                leases_until = session.lease.longest_until
                self.bound_unknown_leases(later.worker, leases_until)

    def bound_unknown_leases(self, successor: Worker, until: int) -> None:
        """
        Wait for the leases that a restarted worker got by earlier orders.

        Their expiries are times on another clock, so they may be the longest
        that a worker accepts, and have expired at *until*, monotonic ms.
        """
        if successor.instance not in self.sessions:
            self._open_session(successor)
            self.sessions[successor.instance].registered = False
        self.sessions[successor.instance].lease.extend_prior(until)

    def mark_leases_expired(self, session: WorkerSession) -> None:
        """
        Mark the runs of a worker as lost after its last lease expired.

        Whether it had crashed shows once it is replaced.  It is suspected
        where the host refuses connections; otherwise a cut is more likely.
        """
        evidence = LeasesExpired(session.lease, self.clock.now())
        lost = self._mark_runs_lost(session, evidence, 'leases expired')
        self.crashes.record_lost(session, lost)

    def drop_unregistered(self) -> None:
        """
        Drop recorded runs at workers that are no longer registered.

        Such workers can't be asked, so their leases have to expire first.
        """
        evidence = LeasesExpired(
            self.lease_bounds.initial_lease(), self.clock.now()
        )
        for instance in tuple(
            self.tracker.attempts_by_worker.keys() - self.sessions.keys()
        ):
            lost = self.tracker.weigh_all_at(instance, evidence)
            if lost:
                self.run_log.record_unregistered(instance, lost)
                self.recorder.notify()

    def _find_late_runs(self, session: WorkerSession) -> None:
        """Find what orders to earlier processes may start at this one."""
        instance = session.worker.instance
        tracked = self.tracker.attempts_by_worker.get(instance, {})
        found = self.tracker.open_orders.find_late(instance, self.clock.now())
        session.late_runs = {
            run: until for run, until in found.items() if run not in tracked
        }
        if session.late_runs:
            self.run_log.record_late_runs(session)
            orphans = self.orphans.setdefault(instance, set())
            orphans.update(session.late_runs)

    def _follow_restarts_to(self, session: WorkerSession) -> None:
        """Let a process that reports answer for the earlier ones of its id."""
        worker_id, started_at = session.worker.instance
        earlier = [
            instance
            for instance in (*self.sessions, *self.tracker.attempts_by_worker)
            if instance[0] == worker_id and instance[1] < started_at
        ]
        for instance in earlier:
            earlier_session = self.sessions.get(instance)
            if earlier_session is not None:
                self.follow_restart(earlier_session, started_at)
                continue
            crashed = self.tracker.answered_attempts_at(instance)
            leases_until = self.lease_bounds.longest_from(self.clock.now())
            self._move_runs(instance, session.worker, leases_until)
            self.crashes.record_earlier(instance, crashed)
        self.crashes.confirm_before(session.worker)
        self.recorder.notify()

    def _open_session(self, worker: Worker) -> None:
        lease = self.lease_bounds.initial_lease()
        session = WorkerSession(worker, lease, self.clock.now())
        reservation = self.reservations.get(worker.vm_id, NOT_RESERVED)
        if worker.started_at < reservation.made_at:
            session.reserved_until = reservation.until
        self.sessions[worker.instance] = session

    def _move_runs(
        self, instance: WorkerInstance, successor: Worker, leases_until: int
    ) -> None:
        """Let the process that followed *instance* answer for its runs."""
        moved = self.tracker.attempts_at(instance)
        if not moved:
            return
        self.bound_unknown_leases(successor, leases_until)
        for attempt in moved:
            self.tracker.move(attempt, successor.instance)
        self.run_log.record_moved(instance, successor, moved)
        self.recorder.notify()
        self.wake()

    def _mark_runs_lost(
        self, session: WorkerSession, evidence: Any, reason: str
    ) -> list[Attempt]:
        """Remove, log and return the runs at a worker that are over."""
        lost = self.tracker.weigh_all_at(session.worker.instance, evidence)
        if lost:
            self.run_log.record_lost(session, lost, reason)
            self.recorder.notify()
            self.wake()
        return lost
