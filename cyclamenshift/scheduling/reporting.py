"""
cyclamenshift.scheduling.reporting
==================================

Tells the manager of the fleet what a service's pool does.
"""

from collections.abc import Callable
from typing import Final

from ..decisions.book import room_of
from ..decisions.lending import total
from ..fleetmessages import PoolReport, VmLoad
from ..job import NOTHING
from .state import ServiceState
from .station import Station

#: How often the pool is reported where something has changed, ms.
CHANGED_MS: Final = 150
#: How often it is reported in any case, in multiples of that.
ALWAYS_EVERY: Final = 7


async def report_pool(
    state: ServiceState,
    tell: Callable[[PoolReport], None],
) -> None:
    """Report the pool again and again, until cancelled."""
    told: PoolReport | None = None
    rounds = 0
    while True:
        report = pool_report(state)
        if report != told or rounds % ALWAYS_EVERY == 0:
            tell(report)
            told = report
        rounds += 1
        await state.clock.sleep(CHANGED_MS)


def pool_report(state: ServiceState) -> PoolReport:
    """Return what the pool does now."""
    return PoolReport(
        service=state.service,
        epoch=state.tenure.epoch,
        vms=tuple(
            _load(state, station)
            for station in state.stations.values()
            if station.registered
        ),
        waiting=total(
            [room_of(task.step) for task in state.book.waiting.values()],
        ),
    )


def _load(state: ServiceState, station: Station) -> VmLoad:
    runs = state.book.runs_at(station.worker.life)
    return VmLoad(
        vm_id=station.worker.vm_id,
        used=state.book.used.get(station.worker.life, NOTHING),
        runs=len(runs),
        long_runs=sum(attempt.task.step.long_running for attempt in runs),
    )
