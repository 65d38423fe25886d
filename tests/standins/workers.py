"""
tests.standins.workers
======================

Workers that run tasks under leases, on virtual time, and fail by a script.

Every client of one test shares them.  They keep a record of all that ran,
from which ``faults`` tells what no scheduler may let happen.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

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

#: How long an order takes there and back, ms.
ORDER_MS = 4
#: How much longer every other one takes.
SLOWER_MS = 25
#: How long an answer that was lost is waited for, ms.
LOST_MS = 400
#: How long a task runs that no test says more of, ms.
RUN_MS = 500
#: How long a long-running task takes to serve, ms.
STARTUP_MS = 700
#: How often a worker that waits for an end looks, ms.
LOOK_MS = 5
#: How long after a task is done a copy that was on its way may start, ms;
#: from the platform's rules.
COPY_GRACE_MS = 1_000
#: How long a worker takes to stop a run, ms.
STOP_MS = 75


class StartedRun(NamedTuple):
    """One run that a worker began, and when on virtual time, ms."""

    run: RunId
    worker_id: str
    started_at: int


class SimRun:
    """A run at a worker."""

    def __init__(self, run: RunId, began: int, ends: int | None) -> None:
        """Run from *began* until *ends*, None for ever; both in ms."""
        self.run = run
        self.began = began
        self.ends = ends
        self.stops: int | None = None

    def outcome(self, now: int) -> RunOutcome | None:
        """Return how the run has ended by *now*, None if it goes on."""
        if self.stops is not None and now >= self.stops:
            return RunOutcome.stopped
        if self.ends is not None and now >= self.ends:
            return RunOutcome.done
        return None

    def percent(self, now: int) -> int:
        """Return how far the run is."""
        length = STARTUP_MS if self.ends is None else self.ends - self.began
        return min(100, (now - self.began) * 100 // max(1, length))


class SimWorker:
    """One life of a worker."""

    def __init__(self, worker: Worker, clock_ahead: int) -> None:
        """Start idle; its clock is *clock_ahead* ms before virtual time."""
        self.worker = worker
        self.clock_ahead = clock_ahead
        self.fence = 0
        self.lease = 0
        self.running: dict[RunId, SimRun] = {}
        self.ended: list[RunEnd] = []
        self.count = 0
        self.highest: dict[TaskId, int] = {}
        self.dead = False
        self.unreachable_from: set[str] | None = None
        self.fails_all = False
        self.slowdown = 1

    def clock(self, now: int) -> int:
        """Return the worker's time at virtual time *now*, ms."""
        passed = now * (PERCENT - CLOCK_LAG_PERCENT) // PERCENT
        return self.clock_ahead + passed

    def is_unreachable_from(self, entry_id: str) -> bool:
        """Return whether orders of *entry_id* get lost on the way."""
        return self.unreachable_from is not None and (
            not self.unreachable_from or entry_id in self.unreachable_from
        )


class SimWorkers:
    """The workers of a test, and the record of what they ran."""

    def __init__(self) -> None:
        """Start without a worker."""
        self.instances: dict[tuple[str, int], SimWorker] = {}
        self.steps: dict[tuple[str, int], Step] = {}
        self.run_ms: dict[TaskId, int] = {}
        self.poison: set[str] = set()
        self.started_runs: list[StartedRun] = []
        self.ends: list[tuple[int, str, RunEnd]] = []
        self.void: set[tuple[str, RunEnd]] = set()
        self.answers = 0
        self.lose_answers = 0
        self.late_order_delays: list[int] = []

    def add(self, worker: Worker) -> SimWorker:
        """Start a worker."""
        self.instances[worker.instance] = SimWorker(
            worker,
            len(self.instances) * 1000,
        )
        return self.instances[worker.instance]

    def crash(self, worker_id: str) -> None:
        """End a worker and everything that runs on it, unseen."""
        for instance, sim in self.instances.items():
            if instance[0] == worker_id:
                sim.dead = True
                sim.running.clear()
                self._forget_ends(sim)

    def current_instance(self, worker_id: str) -> SimWorker:
        """Return the present life of a worker."""
        return max(
            (
                sim
                for instance, sim in self.instances.items()
                if instance[0] == worker_id
            ),
            key=lambda sim: sim.worker.started_at,
        )

    def advance(self) -> None:
        """End the runs whose time has come, at every worker."""
        now = now_ms()
        for sim in self.instances.values():
            self._pass(sim, now)

    def start(self, sim: SimWorker, order: StartOrder) -> OrderResult:
        """Carry out an order to start a run."""
        now = now_ms()
        self._pass(sim, now)
        refused = self._refuse(sim, order, now)
        if refused:
            return refused
        if order.run not in sim.running:
            ends = self._end_of(sim, order.run.task, now)
            sim.running[order.run] = SimRun(order.run, now, ends)
            worker_id = sim.worker.worker_id
            self.started_runs.append(StartedRun(order.run, worker_id, now))
        sim.fence = max(sim.fence, order.fence)
        sim.lease = max(sim.lease, order.expires)
        return Accepted(sim.clock(now))

    def stop(self, sim: SimWorker, run: RunId, fence: int) -> OrderResult:
        """Carry out an order to stop a run."""
        now = now_ms()
        self._pass(sim, now)
        if fence < sim.fence:
            return Refused(RefusalReason.fenced)
        sim.fence = fence
        highest = sim.highest.get(run.task, 0)
        sim.highest[run.task] = max(highest, run.number)
        running = sim.running.get(run)
        if running:
            running.stops = now + STOP_MS
        return Accepted(sim.clock(now))

    def renew(
        self,
        sim: SimWorker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused:
        """Carry out the order to renew the lease, and report."""
        now = now_ms()
        self._pass(sim, now)
        if order.fence < sim.fence:
            return Refused(RefusalReason.fenced)
        sim.fence = order.fence
        sim.lease = max(sim.lease, order.expires)
        sim.ended = [
            end for end in sim.ended if end.number > order.acknowledged
        ]
        return WorkerReport(
            clock=sim.clock(now),
            started_at=sim.worker.started_at,
            running=tuple(
                RunStatus(run, '', sim_run.percent(now), 0)
                for run, sim_run in sim.running.items()
            ),
            ended=tuple(sim.ended),
        )

    def unacknowledged_ends(self) -> list[RunEnd]:
        """Return the ends that are not acknowledged."""
        self.advance()
        return [end for sim in self.instances.values() for end in sim.ended]

    def started_steps(self) -> list[int]:
        """Return the step of each run, in the order of their starts."""
        return [started.run.task.step for started in self.started_runs]

    def find_violations(self) -> list[str]:
        """Return everything that went wrong in what the workers ran."""
        return [
            *self._doubled(),
            *self._started_after_the_end(),
            *self._started_twice_as_one_run(),
        ]

    def _pass(self, sim: SimWorker, now: int) -> None:
        lapsed = sim.clock(now) > sim.lease
        if lapsed:
            self._forget_ends(sim)
        for run, sim_run in tuple(sim.running.items()):
            outcome = sim_run.outcome(now)
            if outcome is RunOutcome.done and self._fails(sim, run):
                outcome = RunOutcome.failed
            if outcome is None and lapsed:
                outcome = RunOutcome.lease_expired
            if outcome is not None:
                self._end(sim, run, outcome)

    def _forget_ends(self, sim: SimWorker) -> None:
        """Void ends that nobody acknowledged before the leases ran out."""
        worker_id = sim.worker.worker_id
        self.void.update((worker_id, end) for end in sim.ended)

    def _fails(self, sim: SimWorker, run: RunId) -> bool:
        return sim.fails_all or run.task.job_id in self.poison

    def _end(self, sim: SimWorker, run: RunId, outcome: RunOutcome) -> None:
        sim.running.pop(run)
        sim.count += 1
        highest = sim.highest.get(run.task, 0)
        sim.highest[run.task] = max(highest, run.number)
        end = RunEnd(sim.count, run, outcome, '')
        sim.ended.append(end)
        self.ends.append((now_ms(), sim.worker.worker_id, end))

    def _refuse(
        self,
        sim: SimWorker,
        order: StartOrder,
        now: int,
    ) -> Refused | None:
        if order.fence < sim.fence:
            return Refused(RefusalReason.fenced)
        if order.run in sim.running:
            return None
        resources = self._room(order.run.task)
        stale = sim.highest.get(order.run.task, 0)
        reasons = {
            RefusalReason.stale_run: order.run.number <= stale,
            RefusalReason.expired: order.expires < sim.clock(now),
            RefusalReason.no_capacity: not self._free(sim).can_fit(resources),
        }
        refused = [reason for reason, holds in reasons.items() if holds]
        return Refused(refused[0]) if refused else None

    def _free(self, sim: SimWorker) -> Resources:
        free = sim.worker.resources
        for run in sim.running:
            free = free.minus(self._room(run.task))
        return free

    def _room(self, task: TaskId) -> Resources:
        step = self.steps.get((task.job_id, task.step))
        return step.resources if step else NO_RESOURCES

    def _end_of(self, sim: SimWorker, task: TaskId, now: int) -> int | None:
        step = self.steps.get((task.job_id, task.step))
        if step and step.long_running:
            return None
        return now + self.run_ms.get(task, RUN_MS) * sim.slowdown

    def _doubled(self) -> Iterable[str]:
        spans = Counter[TaskId]()
        for sim in self.instances.values():
            spans.update(run.task for run in sim.running)
        for task, count in spans.items():
            step = self.steps[task.job_id, task.step]
            if count > 1 and not step.speculative:
                yield f'{task} runs {count} times'

    def _started_after_the_end(self) -> Iterable[str]:
        done = {
            end.run.task: at
            for at, worker_id, end in self.ends
            if end.outcome is RunOutcome.done
            and (worker_id, end) not in self.void
        }
        for started in self.started_runs:
            task = started.run.task
            copied = self.steps[task.job_id, task.step].speculative
            grace = COPY_GRACE_MS if copied else 0
            if started.started_at > done.get(task, started.started_at) + grace:
                yield f'{started} came after its task was done'

    def _started_twice_as_one_run(self) -> Iterable[str]:
        counts = Counter(started.run for started in self.started_runs)
        for run, count in counts.items():
            if count > 1:
                yield f'{run} was started {count} times'


class FakeWorkerClient(WorkerClient):
    """Gives orders to the shared workers."""

    name = 'fake'
    workers: SimWorkers

    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Let *worker* start a run; the answer may be lost by the script."""
        sim = self.workers.instances[worker.instance]
        unreached = await self._reach(sim)
        if unreached:
            return unreached
        if self.workers.late_order_delays:
            late = self.workers.late_order_delays.pop()
            self._nursery().start_soon(self._start_late, sim, order, late)
            await self.clock.sleep(LOST_MS)
            return Unanswered(sent=True, reason='late')
        result = self.workers.start(sim, order)
        if self.workers.lose_answers:
            self.workers.lose_answers -= 1
            await self.clock.sleep(LOST_MS)
            return Unanswered(sent=True, reason='lost')
        return result

    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """Let *worker* stop a run."""
        sim = self.workers.instances[worker.instance]
        unreached = await self._reach(sim)
        return unreached or self.workers.stop(sim, run, fence)

    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease, and wait for an end as *order* says."""
        sim = self.workers.instances[worker.instance]
        unreached = await self._reach(sim)
        if unreached:
            return unreached
        until = self.clock.now() + order.wait
        report = self.workers.renew(sim, order)
        while isinstance(report, WorkerReport) and not report.ended:
            if self.clock.now() >= until:
                break
            await self.clock.sleep(LOOK_MS)
            report = self.workers.renew(sim, order)
        return await self._reach(sim) or report

    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Accept any pace."""
        return Accepted(0)

    async def _reach(self, sim: SimWorker) -> Unanswered | None:
        if sim.dead:
            await self.clock.sleep(ORDER_MS)
            return Unanswered(sent=False, reason='refused')
        if sim.is_unreachable_from(self.kernel.settings['entry']['id']):
            await self.clock.sleep(LOST_MS)
            return Unanswered(sent=True, reason='silent')
        self.workers.answers += 1
        slower = SLOWER_MS * (self.workers.answers % 2)
        await self.clock.sleep(ORDER_MS + slower)
        return None

    async def _start_late(
        self,
        sim: SimWorker,
        order: StartOrder,
        late: int,
    ) -> None:
        await self.clock.sleep(late)
        self.workers.start(sim, order)

    def _nursery(self) -> trio.Nursery:
        return self.nursery

    nursery: trio.Nursery


def now_ms() -> int:
    """Return virtual time, ms."""
    return round(trio.current_time() * MS_PER_SECOND)
