"""
cyclamenshift.scheduling.vacating
=================================

Evicts runs from VMs to be vacated and from workers that are leaving.
"""

from typing import Final

import trio

from ..decisions.eviction import may_evict, unavailable
from ..fleetmessages import RESERVATION_MS
from .orders import stop_attempt
from .state import ServiceState
from .worker_session import Reservation, WorkerSession

#: How often a VM being vacated is checked, ms.
POLL_INTERVAL_MS: Final = 100


async def vacate(
    state: ServiceState, vm_id: str, wait: int, nursery: trio.Nursery
) -> bool:
    """
    Vacate a VM within *wait* ms; return whether it is empty.

    Once empty, the VM stays reserved for ``RESERVATION_MS``.  If the time is
    too short, new runs may start on it again at once.  Runs are stopped in
    tasks of *nursery*, also after the caller has gone.
    """
    deadline = state.clock.now() + wait
    empty = False
    try:
        while _occupied(state, vm_id) and state.clock.remaining(deadline):
            _reserve(state, vm_id, deadline + RESERVATION_MS)
            for session in _sessions_at(state, vm_id):
                evict(state, session, nursery)
            await state.clock.sleep(POLL_INTERVAL_MS)
        empty = not _occupied(state, vm_id)
    finally:
        until = state.clock.now() + RESERVATION_MS if empty else 0
        _reserve(state, vm_id, until)
        state.wake()
    return empty


def evict(
    state: ServiceState,
    session: WorkerSession,
    nursery: trio.Nursery,
) -> None:
    """Stop the evictable runs of a worker, in tasks of *nursery*."""
    for attempt in state.tracker.attempts_at(session.worker.instance):
        stop_time = state.settings['stop_time']
        if may_evict(attempt, stop_time):
            attempt.evicted = True
            state.run_log.record_evicted(
                session, attempt, unavailable(attempt, stop_time)
            )
            nursery.start_soon(stop_attempt, state, session, attempt)


def _sessions_at(state: ServiceState, vm_id: str) -> list[WorkerSession]:
    """Return the sessions of the workers on a VM that are known by now."""
    return [
        session
        for session in state.sessions.values()
        if session.worker.vm_id == vm_id
    ]


def _reserve(state: ServiceState, vm_id: str, until: int) -> None:
    """
    Start no run on a VM before *until*, monotonic ms.

    That holds also for a worker of the VM that is registered later, if it is
    not a new instance: the one that follows an order is to be used at once.
    """
    state.reservations[vm_id] = Reservation(until, state.clock.wall_time())
    for session in _sessions_at(state, vm_id):
        session.reserved_until = until


def _occupied(state: ServiceState, vm_id: str) -> bool:
    """
    Return whether a worker on a VM has runs, or ends that only it remembers.

    Without a session it may be the worker of recorded runs, as long as there
    are runs at workers that this scheduler has not found yet.
    """
    sessions = _sessions_at(state, vm_id)
    if not sessions:
        tracker = state.tracker
        return bool(tracker.attempts_by_worker.keys() - state.sessions.keys())
    return any(
        state.has_runs(session) or session.end_log.unrecorded
        for session in sessions
    )
