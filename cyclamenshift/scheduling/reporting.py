"""
cyclamenshift.scheduling.reporting
==================================

Reports the load and demand of a service's pool to the fleet manager.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from ..decisions.demands import group_by_step
from ..decisions.lending import total_resources
from ..decisions.progress import Task
from ..decisions.tracker import reserved_resources
from ..decisions.urgency import late_groups
from ..fleetmessages import PoolReport, VmLoad
from ..job import NO_RESOURCES, Resources, Step
from .state import ServiceState
from .worker_session import WorkerSession

#: The minimum time between two reports, ms.  The first change of a burst is
#: reported at once, without flooding the manager.
MIN_INTERVAL_MS: Final = 60
#: How long a change may stay unreported unless the pool needs another VM, ms;
#: short compared with the time for which a pool keeps VMs that it can spare.
CHANGE_INTERVAL_MS: Final = 300
#: The maximum time between two reports, ms.
MAX_INTERVAL_MS: Final = 1_000


async def report_pool(
    state: ServiceState,
    send: Callable[[PoolReport], None],
) -> None:
    """Report the pool on changes and periodically, until cancelled."""
    last_report: PoolReport | None = None
    sent_at = state.clock.now()
    while True:
        report = pool_report(state)
        due_in = sent_at + _interval(state, report, last_report)
        due_in -= state.clock.now()
        if due_in <= 0:
            send(report)
            last_report = report
            sent_at = state.clock.now()
            due_in = MAX_INTERVAL_MS
        due_in = state.demand.time_until_change(due_in)
        changed = state.changed
        await state.clock.sleep(MIN_INTERVAL_MS)
        if not changed.is_set():
            with state.clock.move_on_after(max(0, due_in - MIN_INTERVAL_MS)):
                await changed.wait()


def _interval(
    state: ServiceState,
    report: PoolReport,
    last_report: PoolReport | None,
) -> int:
    """Return how long after the last report *report* is due, ms."""
    if last_report is None:
        return 0
    if report == last_report:
        return MAX_INTERVAL_MS
    vm_sizes = [session.worker.resources for session in state.sessions.values()]
    grown = demand_of(report).minus(demand_of(last_report))
    needs_vm = not any(size.can_fit(grown) for size in vm_sizes)
    wider = report.spread > last_report.spread
    had_waiting = last_report.waiting != NO_RESOURCES
    first = report.waiting != NO_RESOURCES and not had_waiting
    return 0 if needs_vm or wider or first else CHANGE_INTERVAL_MS


def demand_of(report: PoolReport) -> Resources:
    """Return the resources that the pool needs, now or as jobs arrive."""
    present = report.waiting.plus(
        total_resources([load.used for load in report.vms])
    )
    return Resources(*map(max, present, report.expected))


def pool_report(state: ServiceState) -> PoolReport:
    """Build the current report of the pool."""
    groups = group_by_step(state.tracker.waiting.values()).values()
    reallocates = state.kernel.settings['overload']['pool_reallocation']
    late = late_groups(groups, state.clock.wall_time()) if reallocates else ()
    return PoolReport(
        service=state.service,
        epoch=state.term.epoch,
        vms=tuple(
            _vm_load(state, session)
            for session in state.sessions.values()
            if session.registered
        ),
        waiting=_resources_of(groups),
        deferred=_resources_of(late),
        expected=state.demand.expected(),
        spread=max(
            (_min_workers(group[0].step) for group in groups),
            default=0,
        ),
    )


def _resources_of(groups: Iterable[Sequence[Task]]) -> Resources:
    """Return the resources that groups of tasks, each of one step, ask for."""
    return total_resources(
        [
            reserved_resources(group[0].step).times(len(group))
            for group in groups
        ],
    )


def _min_workers(step: Step) -> int:
    """Return how many workers the tasks of *step* need at least."""
    return -(-step.tasks // step.worker_limit) if step.worker_limit else 0


def _vm_load(state: ServiceState, session: WorkerSession) -> VmLoad:
    worker = session.worker
    instance = worker.instance
    runs = state.tracker.attempts_at(instance)
    if not runs:
        return VmLoad(worker.vm_id, NO_RESOURCES, 0, 0)
    return VmLoad(
        vm_id=worker.vm_id,
        used=state.tracker.used[instance],
        runs=len(runs),
        long_runs=sum(attempt.task.step.long_running for attempt in runs),
    )
