"""
cyclamenshift.scheduling.crash_recorder
=======================================

Tells crashed workers from those that are cut off, for one service.

A refused connection is no proof: the host of a worker that works on may refuse
them while it is cut off.  Such a crash is suspected until another process shows
that the worker has ended, or its own report that it has not.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from ..clock import Clock
from ..decisions.crash_ledger import CrashLedger, WorkerCrash
from ..decisions.crashes import MAX_CAUSE_AGE_MS, SETTLED_MS
from ..decisions.progress import Attempt, Task, WorkerInstance
from ..decisions.rack_losses import (
    WorkerEnd,
    ends_with_rack,
    is_cause_elsewhere,
)
from ..decisions.tracker import JobTracker
from ..logs import StructuredLogger
from ..worker import Worker
from .worker_session import WorkerSession

#: How long the registration of a silent worker has to be there, or to be
#: missing, before it tells whether the worker has ended, ms.  The platform
#: removes that of an ended worker after three heartbeats, and one that was
#: removed by mistake is back two seconds after its cause has gone.
REGISTRATION_MS: Final = 5_000


#: How long a proved crash is not counted, ms, while other workers of the rack
#: may turn out to have ended with it: as long as it takes to find them silent.
RACK_LOSS_MS: Final = 2_000


class ProvedCrash(NamedTuple):
    """A crash that counts at ``due``, monotonic ms, if no rack was lost."""

    end: WorkerEnd
    due: int


class RegistrationSpan(NamedTuple):
    """Since when a worker is ``registered``, or is not, monotonic ms."""

    registered: bool
    since: int


class CrashRecorder:
    """
    Records the crashes of workers, and settles those that are suspected.

    ``spans`` has the registrations of the workers whose crash is suspected,
    ``proved`` the crashes that are proved but not counted yet, ``ends`` how
    workers have ended lately, and
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
        self.proved: dict[WorkerInstance, ProvedCrash] = {}
        self.ends: list[WorkerEnd] = []

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Return whether a crash of a worker is neither proved nor not."""
        return instance in self.ledger.suspects

    def record(self, session: WorkerSession, lost: Iterable[Attempt]) -> None:
        """Record the proved crash of a worker, unless it was to leave."""
        worker = session.worker
        lost = (*self.silent.pop(worker.instance, ()), *lost)
        now = self.clock.now()
        if session.leaves_as_planned(now):
            self.dismiss(worker)
            return
        end = self._end_of(session, lost, now)
        self.ends.append(end)
        self.ledger.suspect(worker.instance, lost, self._crash_of(session, now))
        self.proved[worker.instance] = ProvedCrash(end, now + RACK_LOSS_MS)

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
        for instance in self.ledger.suspects.keys() - self.proved.keys():
            worker_id, started_at = instance
            if worker_id == worker.worker_id and started_at < worker.started_at:
                self._confirm(instance, 'another process')

    def settle_proved(self, sessions: Collection[WorkerSession]) -> None:
        """Count the proved crashes that are due, but for losses of racks."""
        now = self.clock.now()
        self.ends = [
            end for end in self.ends if now - end.silent_at <= 2 * RACK_LOSS_MS
        ]
        due = [each.end for each in self.proved.values() if each.due <= now]
        gone = _find_gone(sessions) if due else []
        ends = [self._end_of(session, (), now) for session in gone]
        for end in due:
            self.proved.pop(end.instance)
            alive = _racks_alive(sessions, gone, end.silent_at)
            others = (*self.ends, *ends)
            self._exonerate(end, ends_with_rack(end, others, alive))
            self._confirm(end.instance, 'another process')

    def settle(self, registered: Iterable[WorkerInstance]) -> None:
        """Settle suspected crashes by the current registrations."""
        now = self.clock.now()
        listed = set(registered)
        suspects = tuple(self.ledger.suspects.keys() - self.proved.keys())
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

    def _end_of(
        self, session: WorkerSession, lost: Iterable[Attempt], now: int
    ) -> WorkerEnd:
        """Return when a worker ended, with the jobs that may have done it."""
        instance = session.worker.instance
        tracked = self.ledger.tracker.attempts_at(instance)
        runs = (*lost, *tracked, *self.silent.get(instance, ()))
        alive_at = session.alive_at(now)
        silent_at = session.silent_since(now)
        heard_at = session.lease.heard_at
        return WorkerEnd(
            instance,
            session.worker.rack,
            silent_at if heard_at is None else heard_at,
            silent_at,
            frozenset(
                each.task.task_id.job_id
                for each in runs
                if each.age(alive_at).ms <= MAX_CAUSE_AGE_MS
            ),
        )

    def _exonerate(self, end: WorkerEnd, together: list[WorkerEnd]) -> None:
        """Clear the tasks that have not caused the loss of a rack."""
        tasks = [
            task
            for task in self.ledger.suspects.get(end.instance, ())
            if is_cause_elsewhere(task.task_id.job_id, together)
        ]
        for task in tasks:
            self.ledger.exonerate(task, end.instance)
        self._log_settled(
            'Suspected crash dismissed.',
            end.instance,
            tasks,
            'its rack was lost',
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
        suspects = [
            task
            for task in self.ledger.suspects[instance]
            if instance in task.suspected_crashes
        ]
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


def _find_gone(sessions: Iterable[WorkerSession]) -> list[WorkerSession]:
    """Return the sessions that are silent, or whose VM has a new worker."""
    is_open = [session for session in sessions if not session.closed]
    started: dict[str, int] = {}
    for each in is_open:
        worker = each.worker
        latest = started.get(worker.vm_id, 0)
        started[worker.vm_id] = max(latest, worker.started_at)
    return [
        session
        for session in is_open
        if session.silence
        or session.worker.started_at < started[session.worker.vm_id]
    ]


def _racks_alive(
    sessions: Iterable[WorkerSession],
    gone: Collection[WorkerSession],
    since: int,
) -> set[str]:
    """Return the racks of the workers that were up before and after *since*."""
    return {
        session.worker.rack
        for session in sessions
        if session.opened_at < since
        and not session.closed
        and session not in gone
        and session.lease.heard_since(since)
    }
