"""
cyclamenshift.scheduling.orders
===============================

Gives one order, and finds out what became of it: a task for each.
"""

from functools import singledispatchmethod
from typing import Final

from ..decisions.progress import Attempt, Phase
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

#: How long an order to start stays valid, ms: long enough for a slow
#: connection, short enough to be waited out.
ORDER_VALID_MS: Final = 2_000
#: How long nothing is started at a worker that had no room, ms.
NO_ROOM_MS: Final = 100
#: How long nothing is started at a worker that is unhealthy, ms.
UNHEALTHY_MS: Final = 1_000
#: The wait before an order that got no answer is given again, ms.
RETRY_MS: Final = 150


class StartTask:
    """The task of one attempt, from its record to the worker's answer."""

    def __init__(
        self,
        state: ServiceState,
        session: WorkerSession,
        attempt: Attempt,
    ) -> None:
        """Start *attempt* at *station*."""
        self.state = state
        self.session = session
        self.attempt = attempt

    async def run(self) -> None:
        """Record the attempt, order it, and settle what came of it."""
        await self.state.recorder.recorded(self.attempt.task.job)
        if self._unwanted():
            self.state.tracker.remove(self.attempt)
            self.state.wake()
            return
        self.attempt.phase = Phase.ordered
        self.session.want()
        worker = self.session.worker
        result = await self.state.client.start(worker, self._order())
        metrics = self.state.kernel.metrics
        metrics.run_orders.inc(
            {
                'service': self.state.service,
                'result': type(result).__name__,
            },
        )
        await self._take(result)

    def _unwanted(self) -> bool:
        attempt = self.attempt
        removed = attempt.number not in attempt.task.attempts
        to_stop = attempt.run in self.state.tracker.to_stop
        left = self.session.gone or self.session.worker.leaving
        return removed or to_stop or left or attempt.task.job.state.final

    def _order(self) -> StartOrder:
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

    @singledispatchmethod
    async def _take(self, result: OrderResult) -> None:
        raise NotImplementedError(type(result).__qualname__)

    @_take.register
    async def _take_accepted(self, result: Accepted) -> None:
        now = self.state.clock.now()
        self.session.lease.observe(result.clock, now)
        self.state.tracker.mark_running(self.attempt, result.clock)
        metrics = self.state.kernel.metrics
        metrics.run_start_ms.observe(
            {'service': self.state.service},
            now - self.attempt.planned_at,
        )
        self.state.log.note(
            'A run has started.',
            run=self.attempt.run,
            worker=self.attempt.instance[0],
            after_ms=now - self.attempt.planned_at,
        )

    @_take.register
    async def _take_refused(self, result: Refused) -> None:
        now = self.state.clock.now()
        if result.reason is RefusalReason.no_capacity:
            self.session.shun(now + NO_ROOM_MS)
        elif result.reason is RefusalReason.replaced:
            self.state.end_life(self.session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await self.state.check_tenure()
        elif result.reason is not RefusalReason.stale_run:
            self.session.shun(now + UNHEALTHY_MS)
        self.state.fail(self.attempt, result.reason)

    @_take.register
    async def _take_nothing(self, result: Unanswered) -> None:
        if not result.sent:
            self.session.shun(self.state.clock.now() + UNHEALTHY_MS)
            self.state.fail(self.attempt, result.reason)
            return
        self.state.log.note(
            'An order got no answer.',
            run=self.attempt.run,
            worker=self.session.worker.worker_id,
            reason=result.reason,
        )
        if self.attempt.phase is Phase.ordered:
            self.attempt.phase = Phase.unsettled
        await LeaseRenewer(self.state, self.session).renew(0)
        if self.attempt.phase is Phase.unsettled:
            await stop(self.state, self.session, self.attempt)


async def stop(
    state: ServiceState,
    session: WorkerSession,
    attempt: Attempt,
) -> None:
    """Stop an attempt; return when it is over, or can't begin any more."""
    while attempt.number in attempt.task.attempts:
        result = await state.client.stop(
            session.worker,
            attempt.run,
            state.term.epoch,
        )
        if isinstance(result, Accepted):
            session.lease.observe(result.clock, state.clock.now())
            attempt.phase = Phase.stopping
            attempt.last_seen_clock = result.clock
            session.want()
            await LeaseRenewer(state, session).renew(0)
            return
        if await _is_over(state, session, result):
            return
        await state.clock.sleep(RETRY_MS)


async def stop_stray(
    state: ServiceState,
    session: WorkerSession,
    run: RunId,
) -> None:
    """Stop a run that no attempt stands for; tried once for each report."""
    epoch = state.term.epoch
    result = await state.client.stop(session.worker, run, epoch)
    await _is_over(state, session, result)


async def _is_over(
    state: ServiceState,
    session: WorkerSession,
    result: OrderResult,
) -> bool:
    """Return whether a refusal or silence ends the worker's life here."""
    if isinstance(result, Refused):
        if result.reason is RefusalReason.replaced:
            state.end_life(session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await state.check_tenure()
    return session.gone
