"""
tests.standins.worker_client
============================

A worker client that gives orders to the simulated workers.

Orders name a worker by its id alone: the life that is up at the address
carries them out.
"""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import trio

from cyclamenshift.job import RunId
from cyclamenshift.worker import (
    Accepted,
    LeaseRenewal,
    OrderResult,
    RefusalReason,
    Refused,
    StartOrder,
    Throttle,
    Unanswered,
    Worker,
    WorkerClient,
    WorkerReport,
)

from .sim_worker import SimWorker, now_ms
from .worker_faults import next_delay
from .workers import SimWorkers

#: The duration of an order with its response, ms.
ORDER_MS = 4
#: How much longer every other order takes, ms.
SLOW_ORDER_EXTRA_MS = 25
#: The time after which a client gives up on a lost response, ms.
RESPONSE_TIMEOUT_MS = 400
#: The interval at which a worker checks for ends to report, ms.
POLL_INTERVAL_MS = 5

CONNECTION_LOST = Unanswered(sent=True, reason='connection lost')
REFUSED_CONNECTION = Unanswered(sent=False, reason='refused', refused=True)
SILENT = Unanswered(sent=True, reason='silent')

AnswerType = TypeVar('AnswerType')


class FakeWorkerClient(WorkerClient):
    """A client that gives orders to the simulated workers."""

    name = 'fake'
    workers: SimWorkers
    nursery: trio.Nursery

    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Order *worker* to start a run; the response may be lost."""
        execute = partial(self.workers.start, order=order)
        if not self.workers.names_receivers:
            return await self._start(worker, execute)
        life = self.workers.life_of(worker)
        if not self.workers.proxied:
            execute = partial(_execute_at, life, execute)
        result = await self._start(worker, execute)
        if isinstance(result, Refused):
            return result
        return result._replace(receiver=life.worker.started_at)

    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """Order *worker* to stop a run."""
        unanswered = await self._reach(worker)
        if unanswered:
            return unanswered
        execute = partial(self.workers.stop, run=run, fence=fence)
        result = await self._execute(worker, execute)
        return await self._bring_back(worker, result)

    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease; wait for an end for as long as *order* says."""
        unanswered = await self._reach(worker)
        if unanswered:
            return unanswered
        execute = partial(self.workers.renew, order=order)
        delay = self.workers.faults.renewal_delay(order)
        if delay:
            return await self._execute_late(worker, execute, delay)
        report = await self._execute(worker, execute)
        if isinstance(report, WorkerReport):
            life = self.workers.life_of(worker)
            report = await self._hold_report(life, order, report)
        unanswered = await self._reach_back(worker)
        if unanswered or not isinstance(report, WorkerReport):
            return unanswered or report
        return await self._bring_report_back(order, report)

    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Accept the order without an effect."""
        return Accepted(0)

    async def _start(
        self, worker: Worker, execute: Callable[[SimWorker], OrderResult]
    ) -> OrderResult:
        unanswered = await self._reach(worker)
        if unanswered:
            return unanswered
        if self.workers.late_order_delays:
            delay = self.workers.late_order_delays.pop()
            return await self._execute_late(worker, execute, delay)
        result = await self._execute(worker, execute)
        if self.workers.lose_answers:
            self.workers.lose_answers -= 1
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Unanswered(sent=True, reason='lost')
        return await self._bring_back(worker, result)

    async def _hold_report(
        self, life: SimWorker, order: LeaseRenewal, report: WorkerReport
    ) -> WorkerReport | Refused | Unanswered:
        """Wait for an end, take the lists, and stamp them with the clock."""
        deadline = self.clock.now() + order.wait
        held: WorkerReport | Refused = report
        while isinstance(held, WorkerReport) and not held.ended:
            if self.clock.now() >= deadline:
                break
            await self.clock.sleep(POLL_INTERVAL_MS)
            if self.workers.resets(life):
                return CONNECTION_LOST
            held = self.workers.renew(life, order)
        age = next_delay(self.workers.faults.list_ages)
        if not age or isinstance(held, Refused):
            return held
        await self.clock.sleep(age)
        if life.crashed:
            return CONNECTION_LOST
        return held._replace(clock=life.clock(now_ms()))

    async def _bring_report_back(
        self, order: LeaseRenewal, report: WorkerReport
    ) -> WorkerReport | Unanswered:
        faults = self.workers.faults
        if faults.closes_report():
            return CONNECTION_LOST
        unanswered = await self._delay(next_delay(faults.report_delays))
        if unanswered:
            return unanswered
        self.workers.known_ends.record_report(
            order.fence, report.started_at, report.ended
        )
        return report

    async def _bring_back(
        self, worker: Worker, result: OrderResult
    ) -> OrderResult:
        """Return the answer to an order that was carried out."""
        faults = self.workers.faults
        if faults.loses_responses(worker.worker_id):
            return await self._time_out()
        if faults.closes_connection():
            return CONNECTION_LOST
        return await self._delay(next_delay(faults.answer_delays)) or result

    async def _delay(self, delay: int) -> Unanswered | None:
        """Delay a response by *delay* ms, for which a client may not wait."""
        await self.clock.sleep(min(delay, RESPONSE_TIMEOUT_MS))
        if delay > RESPONSE_TIMEOUT_MS:
            return Unanswered(sent=True, reason='delayed')
        return None

    async def _reach(self, worker: Worker) -> Unanswered | Refused | None:
        faults = self.workers.faults
        sim = self.workers.life_of(worker)
        is_refusal_lost = sim.crashed and faults.loses_responses(
            worker.worker_id
        )
        if faults.loses_calls(worker.worker_id) or is_refusal_lost:
            return await self._time_out()
        if self.workers.resets(sim):
            await self.clock.sleep(ORDER_MS)
            if sim.replaced:
                return Refused(RefusalReason.replaced)
            return REFUSED_CONNECTION
        if sim.is_unreachable_from(self.kernel.settings['entry']['id']):
            return await self._time_out()
        self.workers.order_count += 1
        extra = SLOW_ORDER_EXTRA_MS * (self.workers.order_count % 2)
        await self.clock.sleep(ORDER_MS + extra)
        return None

    async def _reach_back(self, worker: Worker) -> Unanswered | Refused | None:
        if self.workers.faults.loses_responses(worker.worker_id):
            return await self._time_out()
        return await self._reach(worker)

    async def _time_out(self) -> Unanswered:
        await self.clock.sleep(RESPONSE_TIMEOUT_MS)
        return SILENT

    async def _execute(
        self,
        worker: Worker,
        execute: Callable[[SimWorker], AnswerType],
    ) -> AnswerType | Unanswered:
        """Execute an order once the uplink has carried it."""
        delay = self.workers.link.enqueue(self.kernel.settings['entry']['id'])
        if delay > RESPONSE_TIMEOUT_MS:
            return await self._execute_late(worker, execute, delay)
        await self.clock.sleep(delay)
        life = self.workers.life_of(worker)
        return CONNECTION_LOST if life.crashed else execute(life)

    async def _execute_late(
        self,
        worker: Worker,
        execute: Callable[[SimWorker], object],
        delay: int,
    ) -> Unanswered:
        """Execute an order after *delay* ms; its response comes too late."""

        async def wait_and_execute() -> None:
            await self.clock.sleep(delay)
            life = self.workers.life_of(worker)
            if not life.crashed:
                execute(life)

        self.nursery.start_soon(wait_and_execute)
        await self.clock.sleep(RESPONSE_TIMEOUT_MS)
        return Unanswered(sent=True, reason='late')


def _execute_at(
    receiver: SimWorker,
    execute: Callable[[SimWorker], OrderResult],
    life: SimWorker,
) -> OrderResult:
    """Execute an order on a connection that leads to *receiver*."""
    return execute(life) if life is receiver else CONNECTION_LOST
