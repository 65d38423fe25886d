"""
tests.standins.workers
======================

Simulated workers that run tasks under leases, on virtual time.

All worker clients of a test share them, and the test makes them fail.  They
keep a record of all runs, which ``find_violations`` checks for what a
scheduler must never allow, such as two concurrent runs of a task.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple, TypeVar

import trio

from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.decisions.leases import CLOCK_LAG_PERCENT, PERCENT
from cyclamenshift.job import (
    NO_RESOURCES,
    Resources,
    RunEnd,
    RunId,
    RunOutcome,
    RunStatus,
    Step,
    TaskId,
)
from cyclamenshift.worker import (
    Accepted,
    LeaseRenewal,
    OrderResult,
    RefusalReason,
    Refused,
    StartOrder,
    Throttle,
    Unanswered,
    Worker,
    WorkerClient,
    WorkerReport,
)

#: The duration of an order with its response, ms.
ORDER_MS = 4
#: How much longer every other order takes, ms.
SLOW_ORDER_EXTRA_MS = 25
#: The time after which a client gives up on a lost response, ms.
RESPONSE_TIMEOUT_MS = 400
#: The duration of a task if the test sets none, ms.
DEFAULT_RUN_MS = 500
#: The startup time of a long-running task, ms.
STARTUP_MS = 700
#: The interval at which a worker checks for ends to report, ms.
POLL_INTERVAL_MS = 5
#: How long after a scheduler took note of the end of a task a copy that was
#: already ordered may still start, ms, by the rules of the platform.
COPY_GRACE_MS = 1_000
#: How long a worker takes to stop a run, ms.
STOP_MS = 75

AnswerType = TypeVar('AnswerType')


class StartedRun(NamedTuple):
    """
    A run that a worker started at ``started_at``, ms of virtual time.

    ``fence`` is the epoch of the scheduler that ordered it.
    """

    run: RunId
    worker_id: str
    started_at: int
    fence: int


class SimRun:
    """A simulated run at a worker."""

    def __init__(
        self,
        run: RunId,
        started_at: int,
        ends_at: int | None,
    ) -> None:
        """Run from *started_at* to *ends_at*, ms; None is for ever."""
        self.run = run
        self.started_at = started_at
        self.ends_at = ends_at
        self.stops_at: int | None = None

    def outcome(self, now: int) -> RunOutcome | None:
        """Return how the run has ended by *now*, None if it has not."""
        if self.stops_at is not None and now >= self.stops_at:
            return RunOutcome.stopped
        if self.ends_at is not None and now >= self.ends_at:
            return RunOutcome.done
        return None

    def progress_percent(self, now: int) -> int:
        """Return the progress of the run, or of its startup."""
        duration = (
            STARTUP_MS
            if self.ends_at is None
            else self.ends_at - self.started_at
        )
        return min(100, (now - self.started_at) * 100 // max(1, duration))


class SimWorker:
    """
    A simulated instance of a worker.

    Orders of the entry VMs in ``unreachable_from`` get lost: of none if it is
    None, and of all if it is empty.  A crashed instance refuses connections
    until it is ``replaced`` by another one at its address.  Runs take
    ``slowdown`` times as long, and all of them fail if ``fails_all`` is set.
    """

    def __init__(self, worker: Worker, clock_offset: int) -> None:
        """Start idle; at virtual time 0 its clock shows *clock_offset* ms."""
        self.worker = worker
        self.clock_offset = clock_offset
        self.fence = 0
        self.lease_expires = 0
        self.running: dict[RunId, SimRun] = {}
        self.ended: list[RunEnd] = []
        self.last_end_number = 0
        self.last_run_numbers: dict[TaskId, int] = {}
        self.crashed = False
        self.replaced = False
        self.unreachable_from: set[str] | None = None
        self.fails_all = False
        self.slowdown = 1

    def clock(self, now: int) -> int:
        """
        Return the worker's time at virtual time *now*, ms.

        Its clock runs as slowly as the platform's rules permit.
        """
        elapsed = now * (PERCENT - CLOCK_LAG_PERCENT) // PERCENT
        return self.clock_offset + elapsed

    def is_unreachable_from(self, entry_id: str) -> bool:
        """Return whether orders of the entry VM *entry_id* get lost."""
        return self.unreachable_from is not None and (
            not self.unreachable_from or entry_id in self.unreachable_from
        )


class SimLink:
    """
    The uplinks of the entry VMs, each of which carries its orders in turn.

    An order occupies its uplink for ``order_ms``, 0 for an unlimited one.
    """

    def __init__(self) -> None:
        """Start with unlimited uplinks."""
        self.order_ms: float = 0
        self.busy_until: dict[str, float] = {}

    def enqueue(self, entry_id: str) -> int:
        """Queue an order and return the time until it is carried, ms."""
        now = trio.current_time() * MS_PER_SECOND
        free_at = max(now, self.busy_until.get(entry_id, 0))
        self.busy_until[entry_id] = free_at + self.order_ms
        return round(self.busy_until[entry_id] - now)


class KnownEnds:
    """
    When the schedulers got to know that tasks are done, ms.

    ``acknowledged_at`` tells when the end of each task was first acknowledged,
    ``reported_at`` when it was first reported to the scheduler of an epoch.
    """

    def __init__(self) -> None:
        """Start without an end."""
        self.acknowledged_at: dict[TaskId, int] = {}
        self.reported_at: dict[tuple[TaskId, int], int] = {}

    def record_report(self, fence: int, ended: Iterable[RunEnd]) -> None:
        """Record that the scheduler of epoch *fence* knows of *ended*."""
        for end in ended:
            if end.outcome is RunOutcome.done:
                self.reported_at.setdefault((end.run.task, fence), now_ms())

    def record_acknowledgement(self, ended: Iterable[RunEnd]) -> None:
        """Record that *ended* were acknowledged."""
        for end in ended:
            if end.outcome is RunOutcome.done:
                self.acknowledged_at.setdefault(end.run.task, now_ms())

    def latest_copy_start(self, started: StartedRun) -> int:
        """
        Return until when a copy may have started, ms.

        Unlike other tasks, a speculative one may run again until its end is
        acknowledged: it may have ended at a worker that nobody reaches.  But
        the scheduler to which the end was reported knows it before that.
        """
        task = started.run.task
        known_at = (
            self.acknowledged_at.get(task, started.started_at),
            self.reported_at.get((task, started.fence), started.started_at),
        )
        return min(known_at) + COPY_GRACE_MS


class SimWorkers:
    """
    The workers of a test, and the record of their runs.

    ``steps`` has the steps of each job, ``run_ms`` the durations of tasks, and
    ``failing_jobs`` the jobs whose tasks all fail.  ``on_crash`` is called with
    each worker that starts one of the ``deadly`` tasks.  The responses to the
    next ``lose_answers`` start orders are lost; for each value in
    ``late_order_delays``, one start order arrives that many ms late and gets
    no response.

    ``ends`` has the time, the worker and the end of each run.  Those in
    ``expired_ends`` were not acknowledged before the worker crashed or its
    lease expired, so that their tasks may be run again.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.instances: dict[tuple[str, int], SimWorker] = {}
        self.steps: dict[tuple[str, int], Step] = {}
        self.run_ms: dict[TaskId, int] = {}
        self.failing_jobs: set[str] = set()
        self.deadly: set[TaskId] = set()
        self.on_crash: Callable[[Worker], None] = _do_nothing
        self.started_runs: list[StartedRun] = []
        self.ends: list[tuple[int, str, RunEnd]] = []
        self.expired_ends: set[tuple[str, RunEnd]] = set()
        self.known_ends = KnownEnds()
        self.link = SimLink()
        self.order_count = 0
        self.lose_answers = 0
        self.late_order_delays: list[int] = []

    def add(self, worker: Worker) -> SimWorker:
        """Start a worker, whose clock differs from those of the others."""
        self.instances[worker.instance] = SimWorker(
            worker,
            len(self.instances) * 1000,
        )
        return self.instances[worker.instance]

    def crash(self, worker_id: str) -> None:
        """Stop a worker and all its runs, without reporting their ends."""
        for instance, sim in self.instances.items():
            if instance[0] == worker_id:
                sim.crashed = True
                sim.running.clear()
                self._expire_ends(sim)

    def current_instance(self, worker_id: str) -> SimWorker:
        """Return the latest instance of a worker."""
        return max(
            (
                sim
                for instance, sim in self.instances.items()
                if instance[0] == worker_id
            ),
            key=lambda sim: sim.worker.started_at,
        )

    def advance(self) -> None:
        """End the runs that are due, at all workers."""
        now = now_ms()
        for sim in self.instances.values():
            self._advance_worker(sim, now)

    def start(self, sim: SimWorker, order: StartOrder) -> OrderResult:
        """Carry out an order to start a run."""
        now = now_ms()
        self._advance_worker(sim, now)
        refusal = self._find_refusal(sim, order, now)
        if refusal:
            return refusal
        if order.run not in sim.running:
            ends_at = self._end_time(sim, order.run.task, now)
            sim.running[order.run] = SimRun(order.run, now, ends_at)
            worker_id = sim.worker.worker_id
            self.started_runs.append(
                StartedRun(order.run, worker_id, now, order.fence)
            )
            if order.run.task in self.deadly:
                self.on_crash(sim.worker)
        sim.fence = max(sim.fence, order.fence)
        sim.lease_expires = max(sim.lease_expires, order.expires)
        return Accepted(sim.clock(now))

    def stop(self, sim: SimWorker, run: RunId, fence: int) -> OrderResult:
        """Carry out an order to stop a run."""
        now = now_ms()
        self._advance_worker(sim, now)
        if fence < sim.fence:
            return Refused(RefusalReason.fenced)
        sim.fence = fence
        last_number = sim.last_run_numbers.get(run.task, 0)
        sim.last_run_numbers[run.task] = max(last_number, run.number)
        running = sim.running.get(run)
        if running:
            running.stops_at = now + STOP_MS
        return Accepted(sim.clock(now))

    def renew(
        self,
        sim: SimWorker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused:
        """Carry out an order to renew the lease, and report the runs."""
        now = now_ms()
        self._advance_worker(sim, now)
        if order.fence < sim.fence:
            return Refused(RefusalReason.fenced)
        sim.fence = order.fence
        sim.lease_expires = max(sim.lease_expires, order.expires)
        self.known_ends.record_acknowledgement(
            end for end in sim.ended if end.number <= order.acknowledged
        )
        sim.ended = [
            end for end in sim.ended if end.number > order.acknowledged
        ]
        return WorkerReport(
            clock=sim.clock(now),
            started_at=sim.worker.started_at,
            running=tuple(
                RunStatus(run, '', sim_run.progress_percent(now), 0)
                for run, sim_run in sim.running.items()
            ),
            ended=tuple(sim.ended),
        )

    def unacknowledged_ends(self) -> list[RunEnd]:
        """Return the ends that no scheduler has acknowledged."""
        self.advance()
        return [end for sim in self.instances.values() for end in sim.ended]

    def count_starts(self, task: TaskId) -> int:
        """Return how many runs of a task were started."""
        return sum(started.run.task == task for started in self.started_runs)

    def started_steps(self) -> list[int]:
        """Return the step of each run, in the order of the starts."""
        return [started.run.task.step for started in self.started_runs]

    def find_violations(self) -> list[str]:
        """Describe all runs that a scheduler must not have started."""
        return [
            *self._find_concurrent_runs(),
            *self._find_late_starts(),
            *self._find_repeated_starts(),
        ]

    def _advance_worker(self, sim: SimWorker, now: int) -> None:
        expired = sim.clock(now) > sim.lease_expires
        if expired:
            self._expire_ends(sim)
        for run, sim_run in tuple(sim.running.items()):
            outcome = sim_run.outcome(now)
            if outcome is RunOutcome.done and self._run_fails(sim, run):
                outcome = RunOutcome.failed
            if outcome is None and expired:
                outcome = RunOutcome.lease_expired
            if outcome is not None:
                self._end_run(sim, run, outcome)

    def _expire_ends(self, sim: SimWorker) -> None:
        """Mark the unacknowledged ends, whose tasks may be run again."""
        worker_id = sim.worker.worker_id
        self.expired_ends.update((worker_id, end) for end in sim.ended)

    def _run_fails(self, sim: SimWorker, run: RunId) -> bool:
        return sim.fails_all or run.task.job_id in self.failing_jobs

    def _end_run(self, sim: SimWorker, run: RunId, outcome: RunOutcome) -> None:
        sim.running.pop(run)
        sim.last_end_number += 1
        last_number = sim.last_run_numbers.get(run.task, 0)
        sim.last_run_numbers[run.task] = max(last_number, run.number)
        end = RunEnd(sim.last_end_number, run, outcome, '')
        sim.ended.append(end)
        self.ends.append((now_ms(), sim.worker.worker_id, end))

    def _find_refusal(
        self,
        sim: SimWorker,
        order: StartOrder,
        now: int,
    ) -> Refused | None:
        if order.fence < sim.fence:
            return Refused(RefusalReason.fenced)
        if order.run in sim.running:
            return None
        resources = self._resources_of(order.run.task)
        last_number = sim.last_run_numbers.get(order.run.task, 0)
        reasons = {
            RefusalReason.stale_run: order.run.number <= last_number,
            RefusalReason.expired: order.expires < sim.clock(now),
            RefusalReason.no_capacity: not self._free_resources(sim).can_fit(
                resources
            ),
        }
        applicable = [reason for reason, applies in reasons.items() if applies]
        return Refused(applicable[0]) if applicable else None

    def _free_resources(self, sim: SimWorker) -> Resources:
        free = sim.worker.resources
        for run in sim.running:
            free = free.minus(self._resources_of(run.task))
        return free

    def _resources_of(self, task: TaskId) -> Resources:
        step = self.steps.get((task.job_id, task.step))
        return step.resources if step else NO_RESOURCES

    def _end_time(self, sim: SimWorker, task: TaskId, now: int) -> int | None:
        step = self.steps.get((task.job_id, task.step))
        if step and step.long_running:
            return None
        return now + self.run_ms.get(task, DEFAULT_RUN_MS) * sim.slowdown

    def _find_concurrent_runs(self) -> Iterable[str]:
        run_counts = Counter[TaskId]()
        for sim in self.instances.values():
            run_counts.update(run.task for run in sim.running)
        for task, count in run_counts.items():
            step = self.steps[task.job_id, task.step]
            if count > 1 and not step.speculative:
                yield f'{task} has {count} concurrent runs'

    def _find_late_starts(self) -> Iterable[str]:
        done_at = {
            end.run.task: ended_at
            for ended_at, worker_id, end in self.ends
            if end.outcome is RunOutcome.done
            and (worker_id, end) not in self.expired_ends
        }
        for started in self.started_runs:
            task = started.run.task
            latest_start = done_at.get(task, started.started_at)
            if self.steps[task.job_id, task.step].speculative:
                latest_start = self.known_ends.latest_copy_start(started)
            if started.started_at > latest_start:
                yield f'{started} started after its task was done'

    def _find_repeated_starts(self) -> Iterable[str]:
        counts = Counter(started.run for started in self.started_runs)
        for run, count in counts.items():
            if count > 1:
                yield f'{run} was started {count} times'


class FakeWorkerClient(WorkerClient):
    """A client that gives orders to the simulated workers."""

    name = 'fake'
    workers: SimWorkers

    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Order *worker* to start a run; the response may be lost."""
        sim = self.workers.instances[worker.instance]
        unanswered = await self._reach(sim)
        if unanswered:
            return unanswered
        execute = partial(self.workers.start, sim, order)
        if self.workers.late_order_delays:
            delay = self.workers.late_order_delays.pop()
            return await self._execute_late(execute, delay)
        result = await self._execute(execute)
        if self.workers.lose_answers:
            self.workers.lose_answers -= 1
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Unanswered(sent=True, reason='lost')
        return result

    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """Order *worker* to stop a run."""
        sim = self.workers.instances[worker.instance]
        unanswered = await self._reach(sim)
        if unanswered:
            return unanswered
        return await self._execute(partial(self.workers.stop, sim, run, fence))

    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease; wait for an end for as long as *order* says."""
        sim = self.workers.instances[worker.instance]
        unanswered = await self._reach(sim)
        if unanswered:
            return unanswered
        deadline = self.clock.now() + order.wait
        report = await self._execute(partial(self.workers.renew, sim, order))
        while isinstance(report, WorkerReport) and not report.ended:
            if self.clock.now() >= deadline:
                break
            await self.clock.sleep(POLL_INTERVAL_MS)
            if sim.crashed:
                return Unanswered(sent=True, reason='connection lost')
            report = self.workers.renew(sim, order)
        unanswered = await self._reach(sim)
        if isinstance(report, WorkerReport) and not unanswered:
            self.workers.known_ends.record_report(order.fence, report.ended)
        return unanswered or report

    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Accept the order without an effect."""
        return Accepted(0)

    async def _reach(self, sim: SimWorker) -> Unanswered | Refused | None:
        if sim.crashed:
            await self.clock.sleep(ORDER_MS)
            if sim.replaced:
                return Refused(RefusalReason.replaced)
            return Unanswered(sent=False, reason='refused', refused=True)
        if sim.is_unreachable_from(self.kernel.settings['entry']['id']):
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            return Unanswered(sent=True, reason='silent')
        self.workers.order_count += 1
        extra = SLOW_ORDER_EXTRA_MS * (self.workers.order_count % 2)
        await self.clock.sleep(ORDER_MS + extra)
        return None

    async def _execute(
        self,
        execute: Callable[[], AnswerType],
    ) -> AnswerType | Unanswered:
        """Execute an order once the uplink has carried it."""
        delay = self.workers.link.enqueue(self.kernel.settings['entry']['id'])
        if delay > RESPONSE_TIMEOUT_MS:
            return await self._execute_late(execute, delay)
        await self.clock.sleep(delay)
        return execute()

    async def _execute_late(
        self,
        execute: Callable[[], object],
        delay: int,
    ) -> Unanswered:
        """Execute an order after *delay* ms; its response comes too late."""

        async def wait_and_execute() -> None:
            await self.clock.sleep(delay)
            execute()

        self._nursery().start_soon(wait_and_execute)
        await self.clock.sleep(RESPONSE_TIMEOUT_MS)
        return Unanswered(sent=True, reason='late')

    def _nursery(self) -> trio.Nursery:
        return self.nursery

    nursery: trio.Nursery


def _do_nothing(worker: Worker) -> None:
    """Let a worker be, as a test without crashes does."""


def now_ms() -> int:
    """Return the virtual time, ms."""
    return round(trio.current_time() * MS_PER_SECOND)
