"""
cyclamenshift.scheduling.crash_recorder
=======================================

Tells crashed workers from those that are cut off, for one service.

A refused connection is no proof: the host of a worker that works on may refuse
them while it is cut off.  Such a crash is suspected until another process shows
that the worker has ended, or its own report that it has not.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from ..clock import Clock
from ..decisions.crash_ledger import CrashLedger, WorkerCrash
from ..decisions.crashes import SETTLED_MS
from ..decisions.progress import Attempt, Task, WorkerInstance
from ..decisions.tracker import JobTracker
from ..logs import StructuredLogger
from ..worker import Worker
from .worker_session import WorkerSession

#: How long the registration of a silent worker has to be there, or to be
#: missing, before it tells whether the worker has ended, ms.  The platform
#: removes that of an ended worker after three heartbeats, and one that was
#: removed by mistake is back two seconds after its cause has gone.
REGISTRATION_MS: Final = 5_000


class RegistrationSpan(NamedTuple):
    """Since when a worker is ``registered``, or is not, monotonic ms."""

    registered: bool
    since: int


class CrashRecorder:
    """
    Records the crashes of workers, and settles those that are suspected.

    ``spans`` has the registrations of the workers whose crash is suspected,
    ``silent`` the runs that were lost at workers that did not answer: these may
    be cut off, so that nothing is suspected before another process answers.
    """

    def __init__(
        self, clock: Clock, log: StructuredLogger, tracker: JobTracker
    ) -> None:
        """Start without suspected crashes."""
        self.clock = clock
        self.log = log
        self.ledger = CrashLedger(tracker)
        self.spans: dict[WorkerInstance, RegistrationSpan] = {}
        self.silent: dict[WorkerInstance, list[Attempt]] = {}

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Return whether a crash of a worker is neither proved nor not."""
        return instance in self.ledger.suspects

    def record(self, session: WorkerSession, lost: Iterable[Attempt]) -> None:
        """Count the proved crash of a worker, unless it was to leave."""
        worker = session.worker
        lost = (*self.silent.pop(worker.instance, ()), *lost)
        now = self.clock.now()
        if session.leaves_as_planned(now):
            self.dismiss(worker)
            return
        self._confirm(worker.instance, 'another process')
        wall_time = self.clock.wall_time()
        crash = self._crash_of(session, now)
        given_up = self.ledger.record(lost, crash, wall_time)
        self._log_given_up(worker.worker_id, given_up)

    def record_earlier(
        self, instance: WorkerInstance, lost: Iterable[Attempt]
    ) -> None:
        """Count the crash of a worker that this scheduler never heard of."""
        self._confirm(instance, 'another process')
        wall_time = self.clock.wall_time()
        crash = WorkerCrash(None, settled=False)
        given_up = self.ledger.record(lost, crash, wall_time)
        self._log_given_up(instance[0], given_up)

    def record_lost(
        self, session: WorkerSession, lost: Sequence[Attempt]
    ) -> None:
        """Record the runs that were lost as the leases of a worker expired."""
        if session.silence and session.silence.refused:
            self._suspect(session, lost)
        elif lost:
            silent = self.silent.setdefault(session.worker.instance, [])
            silent.extend(lost)

    def dismiss(self, worker: Worker) -> None:
        """Drop the suspected crash of a worker that is alive, or was to end."""
        self.silent.pop(worker.instance, None)
        self._dismiss(worker.instance, 'reported or leaving')

    def confirm_before(self, worker: Worker) -> None:
        """Count the suspected crashes of earlier workers of the same id."""
        for instance in tuple(self.ledger.suspects):
            worker_id, started_at = instance
            if worker_id == worker.worker_id and started_at < worker.started_at:
                self._confirm(instance, 'another process')

    def settle(self, registered: Iterable[WorkerInstance]) -> None:
        """Settle suspected crashes by the current registrations."""
        now = self.clock.now()
        listed = set(registered)
        suspects = tuple(self.ledger.suspects)
        self.spans = {
            instance: self._span_of(instance, instance in listed, now)
            for instance in suspects
        }
        for instance in suspects:
            span = self.spans[instance]
            if now - span.since < REGISTRATION_MS:
                continue
            if span.registered:
                self._dismiss(instance, 'heartbeats go on')
            else:
                self._confirm(instance, 'no heartbeats')

    def restart_spans(self) -> None:
        """Wait anew, as the registrations are not current."""
        self.spans.clear()

    def _suspect(self, session: WorkerSession, lost: Iterable[Attempt]) -> None:
        """Suspect that a worker has crashed, unless it was to leave."""
        now = self.clock.now()
        if session.leaves_as_planned(now):
            return
        instance = session.worker.instance
        crash = self._crash_of(session, now)
        suspects = self.ledger.suspect(instance, lost, crash)
        if suspects:
            self.log.note(
                'Crash suspected: connections are refused.',
                worker=instance[0],
                started_at=instance[1],
                tasks=[task.task_id for task in suspects],
                on_hold=[task.task_id for task in suspects if task.on_hold],
            )

    def _span_of(
        self, instance: WorkerInstance, registered: bool, now: int
    ) -> RegistrationSpan:
        span = self.spans.get(instance)
        if span is None or span.registered is not registered:
            return RegistrationSpan(registered, now)
        return span

    def _crash_of(self, session: WorkerSession, now: int) -> WorkerCrash:
        uptime = self.clock.wall_time() - session.worker.started_at
        return WorkerCrash(session.alive_at(now), settled=uptime >= SETTLED_MS)

    def _dismiss(self, instance: WorkerInstance, reason: str) -> None:
        tasks = self.ledger.dismiss(instance)
        self._log_settled('Suspected crash dismissed.', instance, tasks, reason)

    def _confirm(self, instance: WorkerInstance, reason: str) -> None:
        if not self.is_suspected(instance):
            return
        suspects = list(self.ledger.suspects[instance])
        given_up = self.ledger.confirm(instance, self.clock.wall_time())
        self._log_settled('Suspected crash proved.', instance, suspects, reason)
        self._log_given_up(instance[0], given_up)

    def _log_settled(
        self,
        text: str,
        instance: WorkerInstance,
        tasks: list[Task],
        reason: str,
    ) -> None:
        if tasks:
            self.log.note(
                text,
                worker=instance[0],
                started_at=instance[1],
                tasks=[task.task_id for task in tasks],
                reason=reason,
            )

    def _log_given_up(self, worker_id: str, tasks: Iterable[Task]) -> None:
        for task in tasks:
            self.log.warning(
                'Job given up: a task crashes its workers.',
                task=task.task_id,
                crashes=task.crashes.in_a_row,
                worker=worker_id,
                age_ms=task.crashes.age,
                uncertain=task.crashes.uncertain,
            )
