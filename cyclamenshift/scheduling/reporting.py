"""
cyclamenshift.scheduling.reporting
==================================

Reports the load and demand of a service's pool to the fleet manager.
"""

from collections.abc import Callable
from typing import Final

from ..decisions.lending import total_resources
from ..decisions.tracker import reserved_resources
from ..fleetmessages import PoolReport, VmLoad
from ..job import NO_RESOURCES, Step
from .state import ServiceState
from .worker_session import WorkerSession

#: The minimum time between two reports, ms.  The first change of a burst is
#: reported at once, without flooding the manager.
MIN_INTERVAL_MS: Final = 60
#: The maximum time between two reports, ms.
MAX_INTERVAL_MS: Final = 1_000


async def report_pool(
    state: ServiceState,
    send: Callable[[PoolReport], None],
) -> None:
    """Report the pool on each change and periodically, until cancelled."""
    last_report: PoolReport | None = None
    sent_at = state.clock.now()
    while True:
        report = pool_report(state)
        now = state.clock.now()
        if report != last_report or now - sent_at >= MAX_INTERVAL_MS:
            send(report)
            last_report = report
            sent_at = now
        changed = state.changed
        await state.clock.sleep(MIN_INTERVAL_MS)
        with state.clock.move_on_after(MAX_INTERVAL_MS):
            await changed.wait()


def pool_report(state: ServiceState) -> PoolReport:
    """Build the current report of the pool."""
    return PoolReport(
        service=state.service,
        epoch=state.term.epoch,
        vms=tuple(
            _vm_load(state, session)
            for session in state.sessions.values()
            if session.registered
        ),
        waiting=total_resources(
            [
                reserved_resources(task.step)
                for task in state.tracker.waiting.values()
            ],
        ),
        expected=state.arrivals.demand(state.clock.now()),
        spread=max(
            (
                _min_workers(task.step)
                for task in state.tracker.waiting.values()
            ),
            default=0,
        ),
    )


def _min_workers(step: Step) -> int:
    """Return how many workers the tasks of *step* need at least."""
    return -(-step.tasks // step.worker_limit) if step.worker_limit else 0


def _vm_load(state: ServiceState, session: WorkerSession) -> VmLoad:
    runs = state.tracker.attempts_at(session.worker.instance)
    return VmLoad(
        vm_id=session.worker.vm_id,
        used=state.tracker.used.get(session.worker.instance, NO_RESOURCES),
        runs=len(runs),
        long_runs=sum(attempt.task.step.long_running for attempt in runs),
    )
