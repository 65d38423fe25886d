"""
cyclamenshift.scheduling.lease_renewer
======================================

Keeps one worker: renews its lease while something runs, and takes reports.
"""

from functools import singledispatchmethod
from typing import Final

from ..worker import (
    LeaseRenewal,
    RefusalReason,
    Refused,
    Unanswered,
    WorkerReport,
)
from .state import ServiceState
from .worker_session import WorkerSession

#: How long a worker may wait for an end before it reports, ms.
REPORT_WAIT_MS: Final = 1_000
#: How long the ends of a report may take to be recorded before the lease is
#: renewed without acknowledging them, ms; well within a lease.
RECORD_WAIT_MS: Final = 500
#: The wait before a worker that did not answer is asked again, ms.
RETRY_MS: Final = 150
#: The wait before a worker that is not registered any more is asked, ms.
UNREGISTERED_RETRY_MS: Final = 500


class LeaseRenewer:
    """The task of one worker."""

    def __init__(self, state: ServiceState, session: WorkerSession) -> None:
        """Keep *station*."""
        self.state = state
        self.session = session
        self.clock = state.clock

    async def keep(self) -> None:
        """Renew and take reports, until the worker's life is over."""
        session = self.session
        while not session.gone:
            wanted = session.wanted
            if session.answers and not self.state.has_runs(session):
                await wanted.wait()
            await self.renew(REPORT_WAIT_MS if session.surveyed else 0)

    async def renew(self, wait: int) -> None:
        """Renew once, and take the report."""
        order = LeaseRenewal(
            expires=self.state.grant(self.session),
            fence=self.state.term.epoch,
            acknowledged=self.session.acknowledged,
            wait=wait,
        )
        worker = self.session.worker
        await self._take(await self.state.client.renew(worker, order))

    @singledispatchmethod
    async def _take(self, result: WorkerReport | Refused | Unanswered) -> None:
        raise NotImplementedError(type(result).__qualname__)

    @_take.register
    async def _take_report(self, result: WorkerReport) -> None:
        session = self.session
        if result.started_at != session.worker.started_at:
            self.state.end_life(session, 'born again')
            return
        session.lease.observe(result.clock, self.clock.now())
        session.misses = 0
        session.surveyed = True
        noted = self.state.apply_report(session, result)
        with self.clock.move_on_after(RECORD_WAIT_MS) as waiting:
            await self.state.recorder.recorded(*noted.jobs)
        if waiting.cancelled_caught:
            return
        last = max((end.number for end in result.ended), default=0)
        session.acknowledged = max(session.acknowledged, last)

    @_take.register
    async def _take_refused(self, result: Refused) -> None:
        if result.reason is RefusalReason.replaced:
            self.state.end_life(self.session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await self.state.check_tenure()
        else:
            await self._miss(f'refused: {result.reason}')

    @_take.register
    async def _take_nothing(self, result: Unanswered) -> None:
        await self._miss(result.reason)

    async def _miss(self, reason: str) -> None:
        session = self.session
        session.misses += 1
        self.state.tracker.mark_unresponsive(session.worker.instance)
        if session.misses == 1:
            self.state.log.note(
                'A worker does not answer.',
                worker=session.worker.worker_id,
                reason=reason,
                runs=len(
                    self.state.tracker.attempts_at(session.worker.instance),
                ),
            )
        if session.lease.all_expired(self.clock.now()):
            self.state.expire(session)
        delay = RETRY_MS if session.registered else UNREGISTERED_RETRY_MS
        await self.clock.sleep(delay)
