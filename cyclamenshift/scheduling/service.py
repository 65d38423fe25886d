"""
cyclamenshift.scheduling.service
================================

Schedules the jobs of one service while this entry VM owns it.
"""

from collections.abc import Callable, Iterable
from typing import Final

import trio

from ..component import Dump, Host
from ..decisions.copies import SlowRun, slow_runs
from ..decisions.placement import Candidate, Placement, place
from ..decisions.progress import Phase, WorkerInstance
from ..decisions.urgency import most_urgent_first
from ..directory import Directory
from ..duty import OwnershipTerm
from ..fleetmessages import PoolReport
from ..job import NO_RESOURCES, JobState
from .lease_renewer import LeaseRenewer
from .orders import StartTask, stop, stop_stray
from .reporting import report_pool
from .rows import Rows
from .state import ServiceState
from .sweeper import Sweeper
from .vacating import evict, vacate
from .worker_session import WorkerSession

#: The longest wait for a change before the scheduler looks anyway, ms.
LONGEST_WAIT_MS: Final = 1_000
#: How often the workers' registrations are compared, ms.
WORKERS_MS: Final = 200


class ServiceScheduler:
    """The tasks that schedule one service, under one tenure."""

    def __init__(
        self,
        kernel: Host,
        term: OwnershipTerm,
        tell_manager: Callable[[PoolReport], None],
    ) -> None:
        """Start with nothing read."""
        self.state = ServiceState(kernel, term)
        self.tell_manager = tell_manager
        self.tracker = self.state.tracker
        self.clock = kernel.clock
        self.directory = kernel.get(Directory)
        self.rows = Rows(self.state, self.directory)
        self.loaded = False
        self.short_of_room: set[str] = set()

    async def run(self) -> None:
        """Read the rows, then schedule until cancelled."""
        await self.rows.load()
        self.loaded = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.recorder.run)
            nursery.start_soon(self._follow_workers, nursery)
            for table in tuple(self.rows.versions):
                nursery.start_soon(self.rows.poll, table)
            nursery.start_soon(self.state.keep_proof)
            nursery.start_soon(Sweeper(self.state).run)
            nursery.start_soon(report_pool, self.state, self.tell_manager)
            while True:
                changed = self.state.changed
                self._open_due()
                self._evacuate(nursery)
                self._place(nursery)
                self._stop_surplus(nursery)
                with self.clock.move_on_after(self._until_due()):
                    await changed.wait()

    def state_of(self, job_id: str) -> tuple[str, JobState | None]:
        """Return the queue of a job and its recorded state, None if unknown."""
        progress = self.tracker.jobs.get(job_id)
        if progress is None:
            return ('', None)
        return (progress.job.queue, progress.reported_state)

    def waiting(self, queue: str) -> int:
        """Return how many jobs of *queue* have not begun."""
        return sum(
            1
            for progress in self.tracker.jobs.values()
            if progress.job.queue == queue
            and not progress.begun
            and not progress.state.final
        )

    async def vacate(self, vm_id: str, wait: int) -> bool:
        """Let a VM become empty within *wait* ms; return whether it is."""
        return await vacate(self.state, vm_id, wait)

    def dump(self) -> Dump:
        """Return the jobs and workers in short."""
        return {
            'epoch': self.state.term.epoch,
            'jobs': len(self.tracker.jobs),
            'waiting_tasks': len(self.tracker.waiting),
            'commits': self.state.recorder.commits,
            'workers': {
                session.worker.worker_id: {
                    'runs': len(self.tracker.attempts_at(instance)),
                    'surveyed': session.surveyed,
                    'misses': session.misses,
                }
                for instance, session in self.state.sessions.items()
            },
        }

    async def _follow_workers(self, nursery: trio.Nursery) -> None:
        while True:
            self._compare_workers(nursery)
            with self.clock.move_on_after(WORKERS_MS):
                await self.directory.wait_for_change()

    def _compare_workers(self, nursery: trio.Nursery) -> None:
        registered = {
            worker.instance: worker
            for worker in self.directory.workers.values()
            if worker.service == self.state.service
        }
        for instance, session in tuple(self.state.sessions.items()):
            session.registered = instance in registered
            if session.registered:
                session.worker = registered[instance]
            else:
                self._part_with(session)
        for worker in registered.values():
            if worker.instance not in self.state.sessions:
                renewer = LeaseRenewer(self.state, self.state.session(worker))
                nursery.start_soon(renewer.keep)
        self.state.lose_unknown(self.directory.workers)
        self.state.wake()

    def _part_with(self, session: WorkerSession) -> None:
        """Drop a worker that is not registered, once it runs nothing."""
        present = self.directory.workers.get(session.worker.worker_id)
        if present and present.started_at > session.worker.started_at:
            self.state.end_life(session, 'born again')
        if not self.state.has_runs(session):
            self.state.end_life(session, 'gone')
            self.state.sessions.pop(session.worker.instance)

    def _evacuate(self, nursery: trio.Nursery) -> None:
        for session in self.state.sessions.values():
            if session.worker.leaving and not session.gone:
                evict(self.state, session, nursery)

    def _open_due(self) -> None:
        self.tracker.open_due(self.clock.wall_time())

    def _until_due(self) -> int:
        due = self.tracker.next_due()
        if due is None:
            return LONGEST_WAIT_MS
        return max(1, min(LONGEST_WAIT_MS, due - self.clock.wall_time()))

    def _place(self, nursery: trio.Nursery) -> None:
        now = self.clock.now()
        slow = self._slow_runs(now)
        if not self.tracker.waiting:
            self.short_of_room.clear()
        if not self.tracker.waiting and not slow:
            return
        candidates = self._candidates(now)
        urgent = most_urgent_first(
            self.tracker.waiting.values(),
            self.clock.wall_time(),
        )
        self._start(place(urgent, candidates), nursery, now)
        self._note_shortage(candidates)
        copied = [run.attempt.task for run in slow]
        copies = place(
            most_urgent_first(copied, self.clock.wall_time()),
            candidates,
        )
        self._note_copies(slow, copies)
        self._start(copies, nursery, now)

    def _start(
        self,
        placements: Iterable[Placement],
        nursery: trio.Nursery,
        now: int,
    ) -> None:
        for placement in placements:
            attempt = self.tracker.plan(
                placement.task,
                placement.instance,
                placement.number,
                now,
            )
            session = self.state.sessions[placement.instance]
            start = StartTask(self.state, session, attempt)
            nursery.start_soon(start.run)

    def _slow_runs(self, now: int) -> list[SlowRun]:
        silent = {
            instance
            for instance, session in self.state.sessions.items()
            if session.misses
        }
        attempts = (
            attempt
            for there in self.tracker.attempts_by_worker.values()
            for attempt in there.values()
        )
        return slow_runs(attempts, silent, now)

    def _note_copies(
        self,
        slow: Iterable[SlowRun],
        copies: Iterable[Placement],
    ) -> None:
        copied = {run.attempt.task.task_id: run for run in slow}
        for copy in copies:
            run = copied[copy.task.task_id]
            self.state.log.note(
                'A run is copied.',
                run=run.attempt.run,
                worker=run.attempt.instance[0],
                copy_worker=copy.instance[0],
                age_ms=run.age,
                usual_ms=run.typical,
                silent=run.silent,
            )

    def _note_shortage(
        self,
        candidates: dict[WorkerInstance, Candidate],
    ) -> None:
        """Log each job once when its tasks begin to wait for room."""
        short = {task.task_id.job_id for task in self.tracker.waiting.values()}
        for job_id in short - self.short_of_room:
            self.state.log.note(
                'A job waits for room.',
                job=job_id,
                tasks_waiting=len(self.tracker.waiting),
                workers_usable=len(candidates),
                workers=len(self.state.sessions),
            )
        self.short_of_room = short

    def _candidates(self, now: int) -> dict[WorkerInstance, Candidate]:
        return {
            instance: Candidate(
                session.worker,
                session.worker.resources.minus(
                    self.tracker.used.get(instance, NO_RESOURCES),
                ),
            )
            for instance, session in self.state.sessions.items()
            if session.usable(now)
        }

    def _stop_surplus(self, nursery: trio.Nursery) -> None:
        for run, attempt in tuple(self.tracker.to_stop.items()):
            session = self.state.sessions.get(attempt.instance)
            if attempt.phase is Phase.planned:
                self.tracker.remove(attempt)
            elif session is not None:
                self.tracker.to_stop.pop(run)
                nursery.start_soon(stop, self.state, session, attempt)
        for session, run in self.state.take_strays():
            nursery.start_soon(stop_stray, self.state, session, run)
