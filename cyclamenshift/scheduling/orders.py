"""
cyclamenshift.scheduling.orders
===============================

Orders workers to start and stop runs, and resolves lost answers.
"""

from functools import singledispatchmethod
from typing import Final

from ..decisions.evidence import NotSent, OrderRefused, Withdrawn
from ..decisions.leases import ClockReading
from ..decisions.progress import Attempt, Phase
from ..decisions.verdicts import Verdict, judge
from ..job import RunId
from ..worker import (
    Accepted,
    OrderResult,
    RefusalReason,
    Refused,
    StartOrder,
    Unanswered,
)
from .lease_renewer import LeaseRenewer
from .state import ServiceState
from .worker_session import WorkerSession

#: How long an order to start stays valid, ms.  It must outlast a slow
#: connection, but be short enough to wait for its expiry.
ORDER_VALID_MS: Final = 2_000
#: The backoff after a worker refused a run for lack of capacity, ms.
NO_CAPACITY_BACKOFF_MS: Final = 100
#: The backoff after a worker was unreachable or refused for another reason,
#: ms.
FAILURE_BACKOFF_MS: Final = 1_000
#: The delay before an unanswered order is sent again, ms.
RETRY_DELAY_MS: Final = 150


class RunStarter:
    """Records and orders one attempt, as a task of its own."""

    def __init__(
        self,
        state: ServiceState,
        session: WorkerSession,
        attempt: Attempt,
    ) -> None:
        """Prepare to start *attempt* at the worker of *session*."""
        self.state = state
        self.session = session
        self.attempt = attempt
        self.repeated = False
        self.least_clock = 0

    async def run(self) -> None:
        """
        Record the attempt, order its start and handle the answer.

        The attempt must have entered the order window; it leaves the window
        with the answer, whatever that is.
        """
        window = self.state.order_window
        try:
            result = await self._record_and_order()
        finally:
            window.leave(self.state.service)
        if result is not None:
            await self._apply(result)

    async def _record_and_order(self) -> OrderResult | None:
        """Return the answer, None if the order is no longer wanted."""
        await self.state.recorder.wait_until_recorded(self.attempt.task.job)
        if self._is_obsolete():
            self.state.tracker.weigh(self.attempt, Withdrawn())
            self.state.wake()
            return None
        self.attempt.phase = Phase.ordered
        self.session.wake()
        sent_at = self.state.clock.now()
        self.attempt.ordered_at = sent_at
        result = await self._order()
        window = self.state.order_window
        if not isinstance(result, Unanswered):
            window.record_answer(self.session, sent_at)
        elif result.sent:
            window.record_timeout(sent_at)
        return result

    async def _order(self) -> OrderResult:
        """Send the order once."""
        worker = self.session.worker
        now = self.state.clock.now()
        self.attempt.orders.record_sent(now)
        open_orders = self.state.tracker.open_orders
        order = open_orders.record_sent(worker.instance, self.attempt.run, now)
        self.session.calls.open_grants += 1
        self.least_clock = self.session.lease.min_clock(now)
        result = await self.state.client.start(worker, self._start_order())
        self.attempt.orders.record_result(result, self.attempt.instance[1])
        if not isinstance(result, Unanswered) or not result.sent:
            open_orders.record_answered(order)
            self.session.calls.open_grants -= 1
            self.session.calls.granted_at = self.session.calls.advance()
        self.session.wake()
        self.state.bound_successor_leases(self.session)
        metrics = self.state.kernel.metrics
        metrics.run_orders.inc(
            {
                'service': self.state.service,
                'result': type(result).__name__,
            },
        )
        return result

    def _is_obsolete(self) -> bool:
        attempt = self.attempt
        removed = not attempt.current
        to_stop = attempt.run in self.state.tracker.to_stop
        unavailable = self.session.closed or self.session.worker.leaving
        if not self.state.knows_workers:
            unavailable = True
        return removed or to_stop or unavailable or attempt.task.job.state.final

    def _start_order(self) -> StartOrder:
        task = self.attempt.task
        job = task.job.job
        now = self.state.clock.now()
        return StartOrder(
            run=self.attempt.run,
            spec=job.spec,
            expires=self.session.lease.grant(now, ORDER_VALID_MS),
            fence=self.state.term.epoch,
            checkpoint=task.checkpoint,
        )

    async def _apply(self, result: OrderResult) -> None:
        """Handle an answer, unless closing the session removed the run."""
        if not self.session.closed:
            await self._handle(result)

    @singledispatchmethod
    async def _handle(self, result: OrderResult) -> None:
        raise NotImplementedError(type(result).__qualname__)

    @_handle.register
    async def _handle_accepted(self, result: Accepted) -> None:
        if result.clock < self.least_clock:
            # Another process under the worker's id accepted the order.
            self.state.run_log.record_other_process(
                self.session, self.attempt, result.clock
            )
            self.attempt.phase = Phase.unsettled
            await self._settle()
            return
        now = self.state.clock.now()
        self.session.lease.observe(result.clock, now)
        position = self.session.calls.advance()
        self.attempt.orders.acceptance = ClockReading(result.clock, now)
        self.attempt.confirm(position, reported=False)
        self.state.tracker.mark_running(self.attempt, result.clock)
        metrics = self.state.kernel.metrics
        metrics.run_start_ms.observe(
            {'service': self.state.service},
            self.attempt.elapsed(now),
        )
        self.state.run_log.record_started(self.session, self.attempt)

    @_handle.register
    async def _handle_refusal(self, result: Refused) -> None:
        evidence = OrderRefused(result.reason)
        if judge(evidence, self.attempt) is Verdict.unsettled:
            await self._settle()
            return
        now = self.state.clock.now()
        if result.reason is RefusalReason.no_capacity:
            self.session.back_off(now + NO_CAPACITY_BACKOFF_MS)
        elif result.reason is RefusalReason.replaced:
            self.state.close_session(self.session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await self.state.ownership.check()
        elif result.reason is not RefusalReason.stale_run:
            self.session.back_off(now + FAILURE_BACKOFF_MS)
        self._mark_not_started(evidence)

    @_handle.register
    async def _handle_unanswered(self, result: Unanswered) -> None:
        evidence = NotSent(result.reason)
        is_over = judge(evidence, self.attempt) is Verdict.over
        if not result.sent and is_over:
            self.session.back_off(self.state.clock.now() + FAILURE_BACKOFF_MS)
            self._mark_not_started(evidence)
            return
        self.state.log.note(
            'No answer to a start order.',
            run=self.attempt.run,
            worker=self.session.worker.worker_id,
            reason=result.reason,
            receiver=result.receiver,
        )
        if self.attempt.phase is Phase.ordered:
            self.attempt.phase = Phase.unsettled
        self.session.unsettled += 1
        try:
            await self._repeat_or_settle()
        finally:
            self.session.unsettled -= 1
            self.state.wake()

    def _mark_not_started(self, evidence: NotSent | OrderRefused) -> None:
        """Remove the attempt, which was never started."""
        self.state.run_log.record_not_started(self.attempt, evidence.reason)
        self.state.tracker.weigh(self.attempt, evidence)
        self.state.recorder.notify()
        self.state.wake()

    async def _repeat_or_settle(self) -> None:
        """
        Repeat the order, which the worker executes once, or stop the run.

        The worker is asked for a report first: it may list the run, and names
        the process that would get the repeated order.
        """
        if self.attempt.phase is not Phase.unsettled:
            return
        if not (self.repeated or self._is_obsolete()):
            await LeaseRenewer(self.state, self.session).renew(0)
        if self.session.closed or self.attempt.phase is not Phase.unsettled:
            return
        if self.repeated or self._is_obsolete() or self.session.misses:
            self.session.back_off(self.state.clock.now() + FAILURE_BACKOFF_MS)
            await self._settle()
            return
        self.repeated = True
        await self._apply(await self._order())

    async def _settle(self) -> None:
        await settle_attempt(self.state, self.session, self.attempt)


async def settle_attempt(
    state: ServiceState,
    session: WorkerSession,
    attempt: Attempt,
) -> None:
    """Stop an attempt that may be at a worker, unless it is reported there."""
    await LeaseRenewer(state, session).renew(0)
    if attempt.phase is Phase.unsettled and not session.closed:
        await stop_attempt(state, session, attempt)


async def stop_attempt(
    state: ServiceState,
    session: WorkerSession,
    attempt: Attempt,
) -> None:
    """
    Stop an attempt; return once it is over or can no longer start.

    Once the session is closed, an answer may be that of the process before,
    and the attempt has to be stopped where it is now.
    """
    while attempt.current and not session.closed:
        result = await state.client.stop(
            session.worker,
            attempt.run,
            state.term.epoch,
        )
        if session.closed:
            break
        if isinstance(result, Accepted):
            session.lease.observe(result.clock, state.clock.now())
            attempt.phase = Phase.stopping
            attempt.confirm(session.calls.advance(), reported=False)
            session.wake()
            await LeaseRenewer(state, session).renew(0)
            return
        await _handle_stop_result(state, session, result)
        await state.clock.sleep(RETRY_DELAY_MS)
    if attempt.current:
        state.tracker.to_stop[attempt.run] = attempt
        state.wake()


async def stop_orphan(
    state: ServiceState,
    session: WorkerSession,
    run: RunId,
) -> None:
    """Stop a run that has no attempt; tried once for each report."""
    epoch = state.term.epoch
    result = await state.client.stop(session.worker, run, epoch)
    await _handle_stop_result(state, session, result)


async def refuse_late_run(
    state: ServiceState,
    session: WorkerSession,
    run: RunId,
) -> None:
    """
    Let a restarted worker refuse a run that a late order would start there.

    It gets no other runs before it has, or the order can't come any more.
    """
    until = session.late_runs.get(run, 0)
    while not session.closed and state.clock.now() <= until:
        result = await state.client.stop(session.worker, run, state.term.epoch)
        if isinstance(result, Accepted):
            break
        await _handle_stop_result(state, session, result)
        await state.clock.sleep(RETRY_DELAY_MS)
    session.late_runs.pop(run, None)
    state.wake()


async def _handle_stop_result(
    state: ServiceState,
    session: WorkerSession,
    result: OrderResult,
) -> None:
    """Handle the refusal of a stop."""
    if isinstance(result, Refused):
        if result.reason is RefusalReason.replaced:
            state.close_session(session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await state.ownership.check()
