"""
cyclamenshift.scheduling.reporting
==================================

Tells the manager of the fleet what a service's pool does.
"""

from collections.abc import Callable
from typing import Final

from ..decisions.lending import total_resources
from ..decisions.tracker import reserved_resources
from ..fleetmessages import PoolReport, VmLoad
from ..job import NO_RESOURCES, Step
from .state import ServiceState
from .worker_session import WorkerSession

#: The least time between two reports, ms: a burst is told at once, but the
#: manager is not flooded.
GAP_MS: Final = 60
#: The longest time between two reports, ms.
LONGEST_MS: Final = 1_000


async def report_pool(
    state: ServiceState,
    tell: Callable[[PoolReport], None],
) -> None:
    """Report the pool whenever it changes, until cancelled."""
    told: PoolReport | None = None
    told_at = state.clock.now()
    while True:
        report = pool_report(state)
        now = state.clock.now()
        if report != told or now - told_at >= LONGEST_MS:
            tell(report)
            told = report
            told_at = now
        changed = state.changed
        await state.clock.sleep(GAP_MS)
        with state.clock.move_on_after(LONGEST_MS):
            await changed.wait()


def pool_report(state: ServiceState) -> PoolReport:
    """Return what the pool does now."""
    return PoolReport(
        service=state.service,
        epoch=state.term.epoch,
        vms=tuple(
            _load(state, session)
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
            (_spread(task.step) for task in state.tracker.waiting.values()),
            default=0,
        ),
    )


def _spread(step: Step) -> int:
    """Return how many workers the tasks of *step* have to run on."""
    return -(-step.tasks // step.worker_limit) if step.worker_limit else 0


def _load(state: ServiceState, session: WorkerSession) -> VmLoad:
    runs = state.tracker.attempts_at(session.worker.instance)
    return VmLoad(
        vm_id=session.worker.vm_id,
        used=state.tracker.used.get(session.worker.instance, NO_RESOURCES),
        runs=len(runs),
        long_runs=sum(attempt.task.step.long_running for attempt in runs),
    )
