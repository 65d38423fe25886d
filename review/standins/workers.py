"""The platform's workers, as its page describes them."""

import asyncio
import time
from typing import Any, Final, NamedTuple

from .http import DROP, Answer, Call, Server
from .record import Record
from .store import Store

#: How often a worker writes to the store, and how many such intervals of
#: silence remove its entry.
BEAT_S: Final = 1.5
LAPSE_BEATS: Final = 3
#: How often a worker checks its leases and its runs, s.
TICK_S: Final = 0.01
#: How long a stop takes, s; the platform allows 0.2 s or more.
STOP_S: Final = 0.05
#: How long a lasting task takes until it is at work, ms.
STARTUP_MS: Final = 300
#: The most ends in one response.
ENDS_LIMIT: Final = 500


class Plan(NamedTuple):
    """How a run goes: how long it takes, s, and how it ends."""

    seconds: float | None
    how: str = 'done'


class Run:
    """A run at a worker."""

    def __init__(self, task: str, number: int, plan: Plan) -> None:
        self.task = task
        self.number = number
        self.plan = plan
        self.started = time.monotonic()
        self.stops_at: float | None = None

    def outcome(self, now: float) -> str:
        """Return how the run has ended by *now*, empty if it has not."""
        if self.stops_at is not None and now >= self.stops_at:
            return 'stopped'
        seconds = self.plan.seconds
        if seconds is not None and now >= self.started + seconds:
            return self.plan.how
        return ''

    def percent(self) -> int:
        """Return the progress, or that of the startup of a lasting task."""
        length = (
            STARTUP_MS / 1000
            if self.plan.seconds is None
            else (self.plan.seconds)
        )
        elapsed = time.monotonic() - self.started
        return min(100, round(100 * elapsed / max(0.001, length)))


class Life:
    """What a worker process knows from its start to its end."""

    def __init__(self, clock_ahead_ms: int) -> None:
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.clock_ahead_ms = clock_ahead_ms
        self.fence = 0
        self.deadline = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.last_run: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.ends = 0
        self.changed = asyncio.Event()
        self.over = False
        self.lapsed_at = 0.0

    def clock(self) -> int:
        """Return the worker's clock, ms."""
        elapsed = (time.monotonic() - self.started) * 1000
        return round(elapsed) + self.clock_ahead_ms


class Worker:
    """One worker of the platform, on a machine of its own."""

    def __init__(
        self,
        fleet: Any,
        worker_id: str,
        machine: str,
        service: str,
        cpu: int,
    ) -> None:
        self.fleet = fleet
        self.store: Store = fleet.store
        self.record: Record = fleet.record
        self.worker_id = worker_id
        self.machine = machine
        self.service = service
        self.capacity = {'cpu': cpu, 'memMb': 65_536, 'gpu': 0}
        self.labels = ['a', f'r1-{machine}']
        self.life: Life | None = None
        self.sequence = 0
        self.last_beat = 0.0
        self.server = Server('127.0.0.1', self._handle)
        self.tasks: list[asyncio.Task[None]] = []
        self.healed = asyncio.Event()
        self.healed.set()

    async def start(self) -> None:
        """Begin a life under the same id."""
        self.life = Life(0)
        await self.server.start()
        self.sequence = 0
        life = self.life
        self.tasks = [
            asyncio.create_task(self._beat(life)),
            asyncio.create_task(self._tick(life)),
        ]
        self.record.note('worker up', worker=self.worker_id, born=life.born)

    async def crash(self) -> None:
        """End without a word; the entry lapses by itself."""
        life = self.life
        if life is None:
            return
        for task in self.tasks:
            task.cancel()
        self.life = None
        life.over = True
        life.changed.set()
        await self.server.stop()
        for run in life.running.values():
            self.record.run_end(self.worker_id, run.task, run.number, 'crashed')
        life.running.clear()
        self.record.note('worker down', worker=self.worker_id)
        asyncio.create_task(self._lapse(life.born))

    def cut(self) -> None:
        """
        Cut the worker off from all; it runs on.

        What others send meanwhile arrives once the cut has healed, if its
        sender has not given up by then.
        """
        self.healed.clear()
        self.record.note('worker cut off', worker=self.worker_id)
        if self.life:
            asyncio.create_task(self._lapse_behind_cut(self.life))

    def heal(self) -> None:
        """End the cut."""
        self.healed.set()
        self.record.note('worker reachable', worker=self.worker_id)

    async def _lapse(self, born: int) -> None:
        await asyncio.sleep(BEAT_S * LAPSE_BEATS)
        if self.life is None:
            self.store.remove('servers', self.worker_id)

    async def _lapse_behind_cut(self, life: Life) -> None:
        lapses_at = self.last_beat + BEAT_S * LAPSE_BEATS
        await asyncio.sleep(lapses_at - time.monotonic())
        if not self.healed.is_set() and self.life is life:
            self.store.remove('servers', self.worker_id)
            self.record.note('entry removed', worker=self.worker_id)

    async def _beat(self, life: Life) -> None:
        while True:
            await self.healed.wait()
            self.sequence += 1
            self.last_beat = time.monotonic()
            self.store.put(
                'servers',
                self.worker_id,
                {
                    'service': self.service,
                    'address': self.server.address,
                    'zone': 'bayanzurkh',
                    'version': 'v1',
                    'slots': 8,
                    'state': 'ready',
                    'coldLeftMs': 0,
                    'capacity': self.capacity,
                    'labels': self.labels,
                    'clockMs': life.clock(),
                    'machine': self.machine,
                    'born': life.born,
                    'sequence': self.sequence,
                },
            )
            await asyncio.sleep(BEAT_S)

    async def _tick(self, life: Life) -> None:
        while True:
            self._advance(life)
            await asyncio.sleep(TICK_S)

    def _advance(self, life: Life) -> None:
        now = time.monotonic()
        expired = life.clock() > life.deadline
        if expired:
            life.lapsed_at = self.record.now()
        for run in tuple(life.running.values()):
            how = run.outcome(now) or ('lapsed' if expired else '')
            if how:
                self._end(life, run, how)

    def _end(self, life: Life, run: Run, how: str) -> None:
        life.running.pop((run.task, run.number))
        life.last_run[run.task] = max(
            life.last_run.get(run.task, 0), run.number
        )
        life.ends += 1
        life.ended.append([life.ends, run.task, run.number, how, ''])
        self.record.run_end(self.worker_id, run.task, run.number, how)
        life.changed.set()
        life.changed = asyncio.Event()

    async def _handle(self, call: Call) -> Answer:
        await self.healed.wait()
        answer = await self._answer(call)
        await self.healed.wait()
        return answer

    async def _answer(self, call: Call) -> Answer:
        life = self.life
        if life is None:
            return DROP
        if call.path == '/health':
            return Answer(200)
        expected = call.headers.get('x-expect-instance', self.worker_id)
        if expected != self.worker_id:
            return Answer(421, {})
        if call.path == '/v1/hold':
            return await self._hold(life, call.json())
        return self._order(life, call)

    def _order(self, life: Life, call: Call) -> Answer:
        self._advance(life)
        body = call.json()
        if call.path == '/v1/run-start':
            return self._start(life, body)
        if call.path == '/v1/run-stop':
            return self._stop(life, body)
        if call.path == '/v1/pace':
            return Answer(200, {'clockMs': life.clock()})
        return Answer(400, {'clockMs': life.clock()})

    def _refuse(self, life: Life, reason: str) -> Answer:
        return Answer(409, {'clockMs': life.clock(), 'reason': reason})

    def _extend(self, life: Life, deadline: int) -> None:
        longest = life.clock() + self.fleet.bounds['maxHoldMs']
        life.deadline = max(life.deadline, min(deadline, longest))

    def _start(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body['task'], body['run']
        if body.get('fence', 0) < life.fence:
            return self._refuse(life, 'fence')
        life.fence = body.get('fence', 0)
        key = (task, number)
        if key in life.running:
            self._extend(life, body['deadlineMs'])
            return Answer(200, {'clockMs': life.clock()})
        if number <= life.last_run.get(task, 0):
            self._extend(life, body['deadlineMs'])
            return self._refuse(life, 'old')
        if body['deadlineMs'] < life.clock():
            return self._refuse(life, 'late')
        if not self._fits(life, task):
            self._extend(life, body['deadlineMs'])
            return self._refuse(life, 'room')
        self._extend(life, body['deadlineMs'])
        life.running[key] = Run(task, number, self.fleet.plan_of(self, task))
        self.record.run_start(self.worker_id, task, number, life.fence)
        return Answer(200, {'clockMs': life.clock()})

    def _fits(self, life: Life, task: str) -> bool:
        wanted = self.fleet.step_of(task)
        for name, room in self.capacity.items():
            used = sum(
                self.fleet.step_of(run.task).get(name, 0)
                for run in life.running.values()
            )
            if used + wanted.get(name, 0) > room:
                return False
        return True

    def _stop(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body['task'], body['run']
        if body.get('fence', 0) < life.fence:
            return self._refuse(life, 'fence')
        life.fence = body.get('fence', 0)
        life.last_run[task] = max(life.last_run.get(task, 0), number)
        run = life.running.get((task, number))
        if run and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return Answer(200, {'clockMs': life.clock()})

    async def _hold(self, life: Life, body: dict[str, Any]) -> Answer:
        self._advance(life)
        if body.get('fence', 0) < life.fence:
            return self._refuse(life, 'fence')
        life.fence = body.get('fence', 0)
        seen = body.get('lastSeen', 0)
        for number, task, run, how, _saved in life.ended:
            if number <= seen:
                self.record.run_acknowledged(
                    self.worker_id, task, run, how, life.lapsed_at
                )
        life.ended = [end for end in life.ended if end[0] > seen]
        if 'deadlineMs' in body:
            self._extend(life, body['deadlineMs'])
        until = time.monotonic() + min(2_000, body.get('waitMs', 0)) / 1000
        while not life.ended and not life.over:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(life.changed.wait(), left)
            except TimeoutError:
                break
        if life.over:
            return DROP
        return Answer(
            200,
            {
                'clockMs': life.clock(),
                'born': life.born,
                'running': [
                    [run.task, run.number, '', run.percent(), 0]
                    for run in life.running.values()
                ],
                'ended': life.ended[:ENDS_LIMIT],
            },
        )
