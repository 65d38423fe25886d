"""
cyclamenshift.scheduling.run_log
================================

Logs why the runs of one service began, ended or were given up.

Whether a task may run twice follows from these lines alone: each removal of a
run names its evidence, the session and its age, the epoch and the worker's
clock.
"""

from collections.abc import Collection, Iterable
from typing import Any

from ..clock import Clock
from ..decisions.progress import Attempt, Task, WorkerInstance
from ..decisions.reports import ReportResult
from ..duty import OwnershipTerm
from ..job import RunEnd, RunId
from ..logs import StructuredLogger
from ..worker import Worker, WorkerReport
from .worker_session import WorkerSession


class RunLog:
    """Logs the changes of the runs of one service, under one term."""

    def __init__(
        self, clock: Clock, log: StructuredLogger, term: OwnershipTerm
    ) -> None:
        """Write to *log* about the runs under *term*."""
        self.clock = clock
        self.log = log
        self.term = term

    def record_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """Log that a worker accepted the order to start a run."""
        self.log.note(
            'Run started.',
            run=attempt.run,
            worker=attempt.instance[0],
            after_ms=attempt.elapsed(self.clock.now()),
            clock=session.lease.clock,
        )

    def record_other_process(
        self, session: WorkerSession, attempt: Attempt, clock: int
    ) -> None:
        """Log that a process that has not reported accepted an order."""
        self._note(
            'Order accepted by another process.',
            session,
            run=attempt.run,
            clock=clock,
            expected_clock=session.lease.estimate_clock(self.clock.now()),
        )

    def record_not_started(self, attempt: Attempt, reason: str) -> None:
        """Log that a run was not started."""
        self.log.note(
            'Run not started.',
            run=attempt.run,
            worker=attempt.instance[0],
            reason=reason,
            phase=attempt.phase,
        )

    def record_report(
        self,
        session: WorkerSession,
        report: WorkerReport,
        report_result: ReportResult,
    ) -> None:
        """Log the ends in a report, and where it and the attempts differ."""
        for end in report.ended:
            self._record_end(
                session, end, tracked=end not in report_result.untracked
            )
        if report_result.unlisted:
            self._note(
                'Runs removed: not listed.',
                session,
                runs=_run_ids(report_result.unlisted),
                phases=[each.phase for each in report_result.unlisted],
                clock=report.clock,
            )
        if report_result.adopted:
            self._note(
                'Runs adopted.',
                session,
                runs=_run_ids(report_result.adopted),
                clock=report.clock,
            )
        if report_result.orphans:
            self._note(
                'Runs without an attempt.',
                session,
                runs=report_result.orphans,
                clock=report.clock,
            )

    def record_lost(
        self, session: WorkerSession, lost: Collection[Attempt], reason: str
    ) -> None:
        """
        Log the removal of runs of a session.

        Which process had them follows from whether a report has listed each,
        and from the clock in the answer to its order.
        """
        now = self.clock.now()
        self.log.warning(
            'Runs lost.',
            worker=session.worker.worker_id,
            reason=reason,
            runs=_run_ids(lost),
            phases=[each.phase for each in lost],
            reported=[each.confirmation.reported for each in lost],
            unanswered=[each.orders.unanswered for each in lost],
            unlocated=[each.orders.unlocated for each in lost],
            start_clocks=[each.start_clock for each in lost],
            clock=session.lease.estimate_clock(now),
            granted_until=session.lease.granted_until,
            silent_ms=now - session.silent_since(now),
            refused=bool(session.silence and session.silence.refused),
            leaving=session.worker.leaving,
            **self._context(session),
        )

    def record_evicted(
        self,
        session: WorkerSession,
        attempt: Attempt,
        unavailable: Iterable[Task],
    ) -> None:
        """Log the stop of a run, and which others counted as unavailable."""
        self._note(
            'Run evicted.',
            session,
            run=attempt.run,
            leaving=session.worker.leaving,
            unavailable=[task.task_id.ordinal for task in unavailable],
            limit=attempt.task.step.disruption_limit,
            seen_ms=attempt.seen_for,
        )

    def record_unregistered(
        self,
        instance: WorkerInstance,
        lost: Iterable[Attempt],
    ) -> None:
        """Log the removal of runs at a worker that has no session."""
        worker_id, started_at = instance
        self.log.warning(
            'Runs lost.',
            worker=worker_id,
            reason='worker not registered',
            runs=_run_ids(lost),
            started_at=started_at,
            epoch=self.term.epoch,
        )

    def record_late_runs(self, session: WorkerSession) -> None:
        """Log the runs that a restarted worker is told to refuse."""
        self._note(
            'Late orders may reach a restarted worker.',
            session,
            runs=list(session.late_runs),
        )

    def record_moved(
        self,
        instance: WorkerInstance,
        successor: Worker,
        moved: Iterable[Attempt],
    ) -> None:
        """Log that runs are looked for at the next process of a worker."""
        worker_id, started_at = instance
        self.log.note(
            'Runs may be at the restarted worker.',
            worker=worker_id,
            runs=_run_ids(moved),
            phases=[attempt.phase for attempt in moved],
            started_at=started_at,
            restarted_at=successor.started_at,
            epoch=self.term.epoch,
        )

    def _record_end(
        self, session: WorkerSession, end: RunEnd, *, tracked: bool
    ) -> None:
        self.log.note(
            'Run ended.',
            run=end.run,
            worker=session.worker.worker_id,
            how=end.outcome,
            number=end.number,
            tracked=tracked,
        )

    def _note(self, text: str, session: WorkerSession, **fields: Any) -> None:
        self.log.note(
            text,
            worker=session.worker.worker_id,
            **fields,
            **self._context(session),
        )

    def _context(self, session: WorkerSession) -> dict[str, Any]:
        """Return the fields that tell sessions and terms apart."""
        return {
            'started_at': session.worker.started_at,
            'session_ms': self.clock.now() - session.opened_at,
            'epoch': self.term.epoch,
        }


def _run_ids(attempts: Iterable[Attempt]) -> list[RunId]:
    return [attempt.run for attempt in attempts]
