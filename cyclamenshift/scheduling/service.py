"""
cyclamenshift.scheduling.service
================================

The scheduler of one service, run by the entry VM that owns it.
"""

from collections.abc import Callable
from typing import Final

import trio

from ..component import Dump, Host
from ..decisions.evidence import Withdrawn
from ..decisions.progress import Phase, WorkerInstance
from ..directory import Directory
from ..duty import OwnershipTerm
from ..fleetmessages import PoolReport
from ..jobmessages import StateAnswer
from .account_limits import AccountLimits
from .admission import JobAdmission
from .job_reader import JobReader
from .lease_renewer import LeaseRenewer
from .order_window import OrderWindow
from .orders import (
    refuse_late_run,
    settle_attempt,
    stop_attempt,
    stop_orphan,
)
from .placer import Placer
from .refused_jobs import RefusedJobs
from .reporting import report_pool
from .state import ServiceState
from .sweeper import Sweeper
from .vacating import evict, vacate
from .worker_session import WorkerSession

#: The longest wait for a change before a scheduling pass, ms.
MAX_WAIT_MS: Final = 1_000
#: The shortest pause between two scheduling passes, ms; each looks at all
#: waiting tasks, and a busy service has hundreds of changes a second.
MIN_PASS_PAUSE_MS: Final = 10
#: The pause in proportion to the duration of the pass before it, so that
#: orders and reports get most of the processor time.
PASS_PAUSE_FACTOR: Final = 4
#: How often the sessions are synchronized with the registrations, ms.
WORKER_SYNC_INTERVAL_MS: Final = 200
#: The phases in which the order to start or stop a run is not settled.
UNSETTLED_PHASES: Final = frozenset(
    (Phase.planned, Phase.ordered, Phase.unsettled, Phase.stopping)
)


class ServiceScheduler:
    """Schedules one service under one ownership term."""

    def __init__(
        self,
        kernel: Host,
        term: OwnershipTerm,
        order_window: OrderWindow,
        report_to_manager: Callable[[PoolReport], None],
    ) -> None:
        """Create a scheduler that has not loaded its jobs yet."""
        self.state = ServiceState(kernel, term, order_window)
        self.report_to_manager = report_to_manager
        self.tracker = self.state.tracker
        self.clock = kernel.clock
        self.directory = kernel.get(Directory)
        self.account_limits = AccountLimits(kernel, self.state)
        self.refused_jobs = RefusedJobs(self.state)
        self.admission = JobAdmission(kernel, self.state, self.account_limits)
        self.job_reader = JobReader(
            self.state, self.account_limits, self.refused_jobs
        )
        self.loaded = False
        self.renewed: dict[WorkerInstance, WorkerSession] = {}
        self.nursery: trio.Nursery | None = None
        self.placer: Placer | None = None

    async def run(self) -> None:
        """Load the jobs, then schedule until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.ownership.keep_confirmed)
            await self.job_reader.load()
            self.nursery = nursery
            self.loaded = True
            self._start_tasks(nursery)
            self.placer = Placer(self.state, nursery, self.account_limits)
            while True:
                changed = self.state.changed
                started = self.clock.now()
                self._open_due_occurrences()
                self._refresh_schedules()
                self._evict_leaving_workers(nursery)
                self.placer.place()
                self._settle_attempts(nursery)
                self._stop_attempts(nursery)
                elapsed = self.clock.now() - started
                await self.clock.sleep(
                    max(MIN_PASS_PAUSE_MS, PASS_PAUSE_FACTOR * elapsed)
                )
                await self._wait_until_due(changed)

    def job_state(self, job_id: str) -> StateAnswer:
        """Return a job's visible state, None if it is unknown."""
        progress = self.tracker.jobs.get(job_id)
        if progress is None:
            return StateAnswer(owned=True, queue='', state=None)
        return StateAnswer(
            owned=True,
            queue=progress.job.queue,
            state=progress.reported_state,
            account=progress.job.account,
        )

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of *queue* have not started."""
        return sum(
            1
            for progress in self.tracker.jobs.values()
            if progress.job.queue == queue
            and not progress.started
            and not progress.state.final
        )

    def count_unsettled(self) -> int:
        """Return how many runs have an order that is not settled."""
        return sum(
            attempt.phase in UNSETTLED_PHASES
            for attempts_by_run in self.tracker.attempts_by_worker.values()
            for attempt in attempts_by_run.values()
        )

    async def vacate(self, vm_id: str, wait: int) -> bool:
        """
        Vacate a VM within *wait* ms; return whether it is empty.

        After a pause, another scheduler may have started runs there.
        """
        if (
            self.nursery is None
            or not await self.state.ownership.is_confirmed()
        ):
            return False
        return await vacate(self.state, vm_id, wait, self.nursery)

    def dump(self) -> Dump:
        """Return a summary of the jobs and workers."""
        return {
            'epoch': self.state.term.epoch,
            'jobs': len(self.tracker.jobs),
            'waiting_tasks': len(self.tracker.waiting),
            'commits': self.state.recorder.commits,
            'start_orders': self.state.order_window.dump(),
            'workers': {
                session.worker.worker_id: {
                    'runs': len(self.tracker.attempts_at(instance)),
                    'surveyed': session.has_reported,
                    'misses': session.misses,
                }
                for instance, session in self.state.sessions.items()
            },
        }

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        """Start what runs beside the scheduling passes."""
        nursery.start_soon(self.state.recorder.run)
        nursery.start_soon(self._watch_workers, nursery)
        for table in tuple(self.job_reader.versions):
            nursery.start_soon(self.job_reader.poll, table)
        nursery.start_soon(Sweeper(self.state).run)
        nursery.start_soon(report_pool, self.state, self.report_to_manager)
        nursery.start_soon(self.account_limits.run)
        nursery.start_soon(self.refused_jobs.run)

    async def _watch_workers(self, nursery: trio.Nursery) -> None:
        while True:
            self._sync_workers(nursery)
            with self.clock.move_on_after(WORKER_SYNC_INTERVAL_MS):
                await self.directory.wait_for_change()

    def _sync_workers(self, nursery: trio.Nursery) -> None:
        registered = {
            worker.instance: worker
            for worker in self.directory.workers.values()
            if worker.service == self.state.service
        }
        for instance, session in tuple(self.state.sessions.items()):
            session.registered = instance in registered
            if session.registered:
                session.update(registered[instance])
            else:
                self._close_unregistered(session)
        for worker in registered.values():
            self.state.session_for(worker)
        self.state.drop_unregistered()
        self._settle_crashes()
        self.tracker.open_orders.prune(self.clock.now())
        self.state.health.retain(self.state.sessions)
        self.state.health.check_running(self.tracker)
        self._start_renewers(nursery)
        self.state.wake()

    def _start_renewers(self, nursery: trio.Nursery) -> None:
        """Start to renew the leases of the sessions that are new."""
        for instance, session in self.state.sessions.items():
            if self.renewed.get(instance) is not session:
                nursery.start_soon(LeaseRenewer(self.state, session).run)
        self.renewed = self.state.sessions.copy()

    def _close_unregistered(self, session: WorkerSession) -> None:
        """
        Close the session of an unregistered worker once it has no runs.

        It is kept while its calls may act on the next process under its id,
        which has to know of them, and while its crash is suspected.  Another
        registration under the id does not prove that it has restarted; a
        report of the process that it tells of does.
        """
        if self.state.crashes.is_suspected(session.worker.instance):
            return
        current = self.directory.workers.get(session.worker.worker_id)
        awaits_report = (
            current is not None
            and session.worker.instance in self.state.crashes.silent
            and not session.closed
        )
        if session.affects_successor(self.clock.now()) or awaits_report:
            return
        if not self.state.has_runs(session):
            self.state.close_session(session, 'gone', restarted=False)
            self.state.sessions.pop(session.worker.instance)
            self.state.crashes.silent.pop(session.worker.instance, None)

    def _settle_crashes(self) -> None:
        """Settle the suspected crashes by the registrations."""
        crashes = self.state.crashes
        if not crashes.ledger.suspects:
            return
        if self.state.knows_workers:
            sessions = self.state.sessions.items()
            crashes.settle(
                instance for instance, session in sessions if session.registered
            )
            self.state.recorder.notify()
        else:
            crashes.restart_spans()

    def _evict_leaving_workers(self, nursery: trio.Nursery) -> None:
        for session in self.state.sessions.values():
            if session.worker.leaving and not session.closed:
                evict(self.state, session, nursery)

    def _open_due_occurrences(self) -> None:
        self.tracker.open_due(self.clock.wall_time())

    def _refresh_schedules(self) -> None:
        if self.tracker.learner:
            waiting = self.tracker.waiting.values()
            self.tracker.learner.refresh(waiting, self.clock.now())

    async def _wait_until_due(self, changed: trio.Event) -> None:
        """Wait for a change or an occurrence."""
        if changed.is_set():
            return
        with self.clock.move_on_after(self._time_until_due()):
            await changed.wait()

    def _time_until_due(self) -> int:
        due = self.tracker.next_due()
        if due is None:
            return MAX_WAIT_MS
        return max(1, min(MAX_WAIT_MS, due - self.clock.wall_time()))

    def _settle_attempts(self, nursery: trio.Nursery) -> None:
        """Settle the runs that may be at another instance of their worker."""
        for run, attempt in tuple(self.tracker.to_settle.items()):
            session = self.state.sessions.get(attempt.instance)
            if session is not None and not session.closed:
                self.tracker.to_settle.pop(run)
                nursery.start_soon(settle_attempt, self.state, session, attempt)

    def _stop_attempts(self, nursery: trio.Nursery) -> None:
        for run, attempt in tuple(self.tracker.to_stop.items()):
            session = self.state.sessions.get(attempt.instance)
            if attempt.phase is Phase.planned:
                self.tracker.weigh(attempt, Withdrawn())
            elif session is not None:
                self.tracker.to_stop.pop(run)
                nursery.start_soon(stop_attempt, self.state, session, attempt)
        self._stop_orphans(nursery)

    def _stop_orphans(self, nursery: trio.Nursery) -> None:
        """Stop the reported runs that have no attempt."""
        for instance, runs in self.state.orphans.items():
            session = self.state.sessions.get(instance)
            if session is None:
                continue
            for run in runs:
                stop = (
                    refuse_late_run if run in session.late_runs else stop_orphan
                )
                nursery.start_soon(stop, self.state, session, run)
        self.state.orphans.clear()
