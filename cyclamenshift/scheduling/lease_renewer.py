"""
cyclamenshift.scheduling.lease_renewer
======================================

Renews the lease of one worker while it has runs, and applies its reports.
"""

from functools import singledispatch
from typing import Final

from ..decisions.leases import REPORT_WAIT_MS
from ..decisions.progress import Phase
from ..decisions.run_ends import may_be_elsewhere
from ..worker import (
    LeaseRenewal,
    RefusalReason,
    Refused,
    Unanswered,
    WorkerReport,
)
from .state import SILENCE_MS, ServiceState
from .worker_session import WorkerSession

#: How long to wait for the run ends in a report to be stored, ms.  After
#: that the lease is renewed without acknowledging them; well below a lease.
RECORD_WAIT_MS: Final = 500
#: How long to wait for the answers to start orders before the worker is asked
#: for its runs, ms.
ANSWER_WAIT_MS: Final = 100
#: The delay before retrying a worker that sent no report, ms.
RETRY_DELAY_MS: Final = 150
#: The delay before retrying a worker that is no longer registered, ms.
UNREGISTERED_RETRY_DELAY_MS: Final = 500


class LeaseRenewer:
    """Renews the lease of one worker instance; runs as a task of its own."""

    def __init__(self, state: ServiceState, session: WorkerSession) -> None:
        """Create a renewer for *session*."""
        self.state = state
        self.session = session
        self.clock = state.clock

    async def run(self) -> None:
        """Renew the lease and apply reports until the session is closed."""
        session = self.session
        while not session.closed:
            wakeup = session.wakeup
            if session.responsive and not self._is_due():
                await wakeup.wait()
            if not session.closed:
                await self.renew(self._report_wait())
                await self._wait_to_acknowledge()

    async def renew(self, wait: int) -> None:
        """
        Renew the lease once and apply the report in the answer.

        A worker does not hold a report for which it drops ends: another process
        would drop those of the runs that are ordered meanwhile.

        If the session was closed meanwhile, only the ends in the answer count:
        the worker may have a new session, whose runs it does not tell of.
        """
        session = self.session
        acknowledged = self._ends_to_acknowledge()
        # Ends that are acknowledged now wait for no answer.
        kept = not acknowledged and self._awaits_answers()
        session.end_log.record_kept(self.clock.now(), kept=kept)
        order = LeaseRenewal(
            expires=self.state.grant_lease(session),
            fence=self.state.term.epoch,
            acknowledged=acknowledged,
            wait=0 if acknowledged else wait,
        )
        asked = session.calls.advance()
        asked_at = self.clock.now()
        session.calls.open_grants += bool(order.expires)
        if acknowledged:
            session.end_log.record_sent(asked_at)
        result = await self.state.client.renew(session.worker, order)
        if self._is_confined(result):
            session.end_log.record_settled(asked_at)
        if self._is_settled(result):
            session.calls.open_grants -= bool(order.expires)
        elif order.expires:
            self.state.bound_successor_leases(session)
        if not session.closed:
            self._expire_orders(result, asked_at)
            await _handle(result, self, asked)
        elif isinstance(result, WorkerReport):
            self._apply_late_ends(result)
        if isinstance(result, WorkerReport) and not session.closed:
            session.end_log.confirm(acknowledged)

    def apply_report(self, result: WorkerReport, asked: int) -> None:
        """Apply a report, maybe that of a process that has restarted."""
        session = self.session
        if result.started_at != session.worker.started_at:
            self.state.follow_restart(session, result.started_at)
            self._adopt_runs(result)
            return
        session.lease.observe(result.clock, self.clock.now())
        session.record_report()
        self.state.apply_report(session, result, asked)

    async def apply_refusal(self, result: Refused) -> None:
        """Handle the refusal of a renewal."""
        if result.reason is RefusalReason.replaced:
            self.state.close_session(self.session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await self.state.ownership.check()
        else:
            await self.record_miss(
                Unanswered(True, f'refused: {result.reason}')
            )

    async def record_miss(self, result: Unanswered) -> None:
        """Record a call without a report, and wait before the next one."""
        session = self.session
        session.record_miss(self.clock.now(), refused=result.refused)
        self.state.tracker.mark_unresponsive(session.worker.instance)
        if session.misses == 1:
            self.state.log.note(
                'No report from a worker.',
                worker=session.worker.worker_id,
                reason=result.reason,
                runs=len(
                    self.state.tracker.attempts_at(session.worker.instance)
                ),
            )
        if session.lease.all_expired(self.clock.now()):
            self.state.mark_leases_expired(session)
        delay = (
            RETRY_DELAY_MS
            if session.registered
            else UNREGISTERED_RETRY_DELAY_MS
        )
        await self.clock.sleep(delay)

    def _expire_orders(
        self, result: WorkerReport | Refused | Unanswered, asked_at: int
    ) -> None:
        """Forget the orders that the process outlived, by its report."""
        worker = self.session.worker
        if not isinstance(result, WorkerReport):
            return
        if result.started_at == worker.started_at:
            for attempt in self.state.tracker.attempts_at(worker.instance):
                attempt.orders.expire(asked_at)

    def _apply_late_ends(self, report: WorkerReport) -> None:
        """Apply the ends in a report that outlasted the session."""
        if report.started_at == self.session.worker.started_at:
            ends_only = report._replace(running=(), complete=False)
            position = self.session.calls.position
            self.state.apply_report(self.session, ends_only, position)

    def _is_settled(self, result: WorkerReport | Refused | Unanswered) -> bool:
        """Return whether no process that followed can have got a renewal."""
        if isinstance(result, WorkerReport):
            return result.started_at == self.session.worker.started_at
        return isinstance(result, Refused) or not result.sent

    def _is_confined(self, result: WorkerReport | Refused | Unanswered) -> bool:
        """Return whether no other process can execute the call from now on."""
        if not isinstance(result, Unanswered):
            return True
        known = result.receiver == self.session.worker.started_at
        return known or not result.sent

    def _is_due(self) -> bool:
        """Return whether to call the worker, for its runs or their ends."""
        has_ends = self.session.end_log.unrecorded
        has_ends = has_ends or bool(self._ends_to_acknowledge())
        return self.state.has_runs(self.session) or has_ends

    def _report_wait(self) -> int:
        """
        Return how long the worker may hold a report, ms.

        The first report fences off the orders of earlier schedulers; the next
        one decides about the runs that they recorded.  A worker that missed a
        call gets no lease before it reports again.
        """
        session = self.session
        attempts = self.state.tracker.attempts_at(session.worker.instance)
        inherited = any(each.phase is Phase.inherited for each in attempts)
        decides = inherited and not session.calls.has_fenced_report
        may_hold = session.responsive and not decides
        if not attempts or not may_hold:
            return 0
        now = self.clock.now()
        open_for = (each.orders.open_for(now) for each in attempts)
        times = [each for each in open_for if each is not None]
        return min((*times, REPORT_WAIT_MS))

    def _ends_to_acknowledge(self) -> int:
        """
        Return the number of the last end to acknowledge now, 0 for none.

        A worker that was not heard for a while may have restarted; it first
        has to report again.  One that may have executed an order after a
        restart has ends of its own, with the same numbers.
        """
        session = self.session
        heard = session.lease.heard_since(self.clock.now() - SILENCE_MS)
        is_known = session.responsive and heard
        if not is_known or self._awaits_answers():
            return 0
        return session.end_log.to_acknowledge

    async def _wait_to_acknowledge(self) -> None:
        """
        Wait until the listed ends are recorded, so that they can be dropped.

        Until then the worker answers a renewal at once, and so it does while
        an order may have reached another process.
        """
        end_log = self.session.end_log
        recorder = self.state.recorder
        if end_log.unrecorded:
            with self.clock.move_on_after(RECORD_WAIT_MS):
                while end_log.unrecorded:
                    recorder.notify()
                    await recorder.wait_for_commit()
        if self._awaits_answers():
            with self.clock.move_on_after(ANSWER_WAIT_MS):
                while self._awaits_answers():
                    await self.session.wakeup.wait()

    def _awaits_answers(self) -> bool:
        """Return whether ends are acknowledged only after other answers."""
        session = self.session
        if not session.end_log.to_acknowledge:
            return False
        attempts = self.state.tracker.attempts_at(session.worker.instance)
        return may_be_elsewhere(attempts)

    def _adopt_runs(self, report: WorkerReport) -> None:
        """
        Apply the *report* of a process that has restarted under its id.

        It lists what orders to the earlier process have started there.  Those
        of earlier schedulers can start nothing more, since the report answers
        a call under this epoch.
        """
        if not report.running:
            return
        worker = self.session.worker._replace(started_at=report.started_at)
        leases_until = self.state.lease_bounds.longest_from(self.clock.now())
        self.state.bound_unknown_leases(worker, leases_until)
        session = self.state.sessions[worker.instance]
        session.lease.observe(report.clock, self.clock.now())
        session.record_report()
        self.state.apply_report(session, report, session.calls.position)


@singledispatch
async def _handle(
    result: WorkerReport | Refused | Unanswered,
    renewer: LeaseRenewer,
    asked: int,
) -> None:
    """Handle the answer to a renewal made at position *asked*."""
    raise NotImplementedError(type(result).__qualname__)


@_handle.register
async def _handle_report(
    result: WorkerReport, renewer: LeaseRenewer, asked: int
) -> None:
    renewer.apply_report(result, asked)


@_handle.register
async def _handle_refusal(
    result: Refused, renewer: LeaseRenewer, asked: int
) -> None:
    await renewer.apply_refusal(result)


@_handle.register
async def _handle_unanswered(
    result: Unanswered, renewer: LeaseRenewer, asked: int
) -> None:
    await renewer.record_miss(result)
