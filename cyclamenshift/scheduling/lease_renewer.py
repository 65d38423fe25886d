"""
cyclamenshift.scheduling.lease_renewer
======================================

Keeps one worker: renews its lease while something runs, and takes reports.
"""

from functools import singledispatchmethod
from typing import Final

from ..worker import RefusalReason, Refused, Renewal, Report, Unanswered
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

    async def run(self) -> None:
        """Renew and take reports, until the worker's life is over."""
        session = self.session
        while not session.closed:
            wakeup = session.wakeup
            if session.responsive and not self.state.has_runs(session):
                await wakeup.wait()
            await self.renew(REPORT_WAIT_MS if session.has_reported else 0)

    async def renew(self, wait: int) -> None:
        """Renew once, and take the report."""
        order = Renewal(
            expires=self.state.grant_lease(self.session),
            fence=self.state.tenure.epoch,
            acknowledged=self.session.acknowledged,
            wait=wait,
        )
        worker = self.session.worker
        await self._handle(await self.state.client.renew(worker, order))

    @singledispatchmethod
    async def _handle(self, result: Report | Refused | Unanswered) -> None:
        raise NotImplementedError(type(result).__qualname__)

    @_handle.register
    async def _handle_report(self, result: Report) -> None:
        session = self.session
        if result.born != session.worker.born:
            self.state.close_session(session, 'born again')
            return
        session.lease.observe(result.clock, self.clock.now())
        session.misses = 0
        session.has_reported = True
        noted = self.state.take_report(session, result)
        with self.clock.move_on_after(RECORD_WAIT_MS) as timeout:
            await self.state.recorder.wait_until_recorded(*noted.jobs)
        if timeout.cancelled_caught:
            return
        last_end = max((end.number for end in result.ended), default=0)
        session.acknowledged = max(session.acknowledged, last_end)

    @_handle.register
    async def _handle_refusal(self, result: Refused) -> None:
        if result.reason is RefusalReason.replaced:
            self.state.close_session(self.session, 'replaced')
        elif result.reason is RefusalReason.fenced:
            await self.state.check_tenure()
        else:
            await self._record_miss(f'refused: {result.reason}')

    @_handle.register
    async def _handle_unanswered(self, result: Unanswered) -> None:
        await self._record_miss(result.reason)

    async def _record_miss(self, reason: str) -> None:
        session = self.session
        session.misses += 1
        self.state.book.doubt(session.worker.life)
        if session.misses == 1:
            self.state.log.note(
                'A worker does not answer.',
                worker=session.worker.worker_id,
                reason=reason,
                runs=len(self.state.book.runs_at(session.worker.life)),
            )
        if session.lease.over(self.clock.now()):
            self.state.mark_leases_expired(session)
        delay = RETRY_MS if session.registered else UNREGISTERED_RETRY_MS
        await self.clock.sleep(delay)
