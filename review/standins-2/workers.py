"""Stand-ins for the platform's workers and its list of machines."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import rowstore
import web

#: The longest lease that a worker accepts, ms (``maxHoldMs``).
MAX_HOLD_MS = 6_000
#: How long a stop takes, seconds; ``stopMs`` allows 0.9.
STOP_S = 0.1
#: After this time a task that lasts is at work, seconds.
STARTUP_S = 0.5
#: The time between two registrations, seconds (``beatIntervalMs``).
BEAT_S = 1.5
#: The most ends in an answer.
ENDS_LIMIT = 500
#: What a clock of a worker shows at the start of its process, ms.
CLOCK_START = 480_000


class Step:
    """What a worker needs to know of the tasks of a step."""

    def __init__(
        self,
        cpu: int,
        mem_mb: int,
        seconds: float | None,
        save_s: float = 0,
    ) -> None:
        """Run for *seconds*, None for ever; save each *save_s* seconds."""
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.seconds = seconds
        self.save_s = save_s


class Run:
    """A task at work at a worker."""

    def __init__(self, task: str, number: int, step: Step) -> None:
        """Start now."""
        self.task = task
        self.number = number
        self.step = step
        self.started = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    def percent(self) -> int:
        """Return the progress, per cent."""
        seconds = self.step.seconds or STARTUP_S
        return min(100, int(100 * (time.monotonic() - self.started) / seconds))

    def saved(self) -> str:
        """Return the newest checkpoint, empty if there is none."""
        if not self.step.save_s:
            return ''
        saves = int((time.monotonic() - self.started) / self.step.save_s)
        return f'{self.number:04x}{saves:012x}' if saves else ''


class DelayedCall:
    """The next call of a path to a worker, which the network delays."""

    def __init__(self, worker: 'Worker', path: str) -> None:
        """Delay the next call of *path* to *worker*."""
        self.worker = worker
        self.path = path
        self.held: web.Request | None = None

    async def deliver(self) -> None:
        """Let the process that the worker has now execute the call."""
        assert self.held
        response = await self.worker.execute(self.held)
        self.worker.record(
            'late',
            worker=self.worker.worker_id,
            path=self.path,
            status=response.status,
        )


class Worker:
    """
    A worker: one process after the other under one id at one address.

    *step_of* returns the step of a task by its name, *record* takes a line
    for the record of the test.
    """

    def __init__(
        self,
        fields: dict[str, Any],
        store: rowstore.RowStore,
        step_of: Callable[[str], Step],
        record: Callable[..., None],
    ) -> None:
        """Prepare a worker with the *fields* of its registration."""
        self.fields = fields
        self.worker_id: str = fields['id']
        self.store = store
        self.step_of = step_of
        self.record = record
        self.server = web.Server(self._handle)
        self.up = False
        self.cut = False
        self.draining = False
        self.sequence = 0
        self.delayed: DelayedCall | None = None
        self._reset()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.last_run: dict[str, int] = {}
        self.end_added = asyncio.Event()

    async def start(self) -> None:
        """Start a process, which registers itself."""
        self._reset()
        await self.server.start()
        self.up = True
        self.record('worker-up', worker=self.worker_id)
        self.register()

    def crash(self) -> None:
        """End the process with all that runs there, without a word."""
        self.up = False
        self.server.stop()
        for run in tuple(self.running.values()):
            self._drop(run)
        self.record('worker-crash', worker=self.worker_id)

    def register(self) -> None:
        """Write the registration."""
        self.sequence += 1
        self.store.put('servers', self.worker_id, self.registration())

    def registration(self) -> dict[str, Any]:
        """Return the registration."""
        fields = {k: v for k, v in self.fields.items() if k != 'id'}
        return {
            **fields,
            'address': self.server.address,
            'state': 'draining' if self.draining else 'ready',
            'born': self.born,
            'sequence': self.sequence,
        }

    async def keep(self) -> None:
        """Register at intervals, and end the runs whose lease expires."""
        beat = time.monotonic() + BEAT_S
        while True:
            await asyncio.sleep(0.02)
            if not self.up:
                continue
            if self.running and self.clock() > self.lease_until:
                for run in tuple(self.running.values()):
                    self._end(run, 'lapsed')
            if time.monotonic() >= beat:
                beat += BEAT_S
                if not self.cut:
                    self.register()

    def clock(self) -> int:
        """Return the time on the clock of this process, ms."""
        return CLOCK_START + int(1000 * (time.monotonic() - self.started))

    def delay_next(self, path: str) -> DelayedCall:
        """Delay the next call of *path*; it gets no answer."""
        self.delayed = DelayedCall(self, path)
        return self.delayed

    async def _handle(self, request: web.Request) -> web.Response | None:
        delayed = self.delayed
        if delayed and delayed.path == request.path and not delayed.held:
            delayed.held = request
            self.record('delayed', worker=self.worker_id, path=request.path)
            await asyncio.sleep(3600)
        if self.cut:
            await asyncio.sleep(3600)
        born = self.born
        response = await self.execute(request)
        if self.cut or not self.up or self.born != born:
            return None
        return response

    async def execute(self, request: web.Request) -> web.Response:
        """Execute a call, and return the response."""
        call = json.loads(request.body)
        expected = request.headers.get('x-expect-instance', self.worker_id)
        if expected != self.worker_id:
            return web.answer({}, 421)
        if call.get('fence', 0) < self.fence:
            return self._refuse('fence')
        self.fence = call.get('fence', 0)
        if request.path == '/v1/run-start':
            response = self._start_run(call)
        elif request.path == '/v1/run-stop':
            response = self._stop_run(call)
        elif request.path == '/v1/hold':
            response = await self._hold(call)
        else:
            response = web.answer({}, 400)
        return response

    def _refuse(self, reason: str) -> web.Response:
        return web.answer({'clockMs': self.clock(), 'reason': reason}, 409)

    def _extend(self, until: int) -> None:
        longest = self.clock() + MAX_HOLD_MS
        self.lease_until = max(self.lease_until, min(until, longest))

    def _start_run(self, call: dict[str, Any]) -> web.Response:
        task, number = call['task'], call['run']
        if call['deadlineMs'] < self.clock():
            return self._refuse('late')
        self._extend(call['deadlineMs'])
        current = self.running.get(task)
        if current and current.number == number:
            return web.answer({'clockMs': self.clock()})
        if number <= self.last_run.get(task, 0) or current:
            return self._refuse('old')
        step = self.step_of(task)
        if not self._has_room(step):
            return self._refuse('room')
        run = Run(task, number, step)
        self.running[task] = run
        self.record(
            'start',
            worker=self.worker_id,
            task=task,
            run=number,
            fence=call.get('fence', 0),
        )
        if step.seconds is not None:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(step.seconds, self._end, run, 'done')
        return web.answer({'clockMs': self.clock()})

    def _has_room(self, step: Step) -> bool:
        capacity = self.fields['capacity']
        cpu = sum(run.step.cpu for run in self.running.values())
        mem_mb = sum(run.step.mem_mb for run in self.running.values())
        return (
            cpu + step.cpu <= capacity['cpu']
            and mem_mb + step.mem_mb <= capacity['memMb']
        )

    def _stop_run(self, call: dict[str, Any]) -> web.Response:
        task, number = call['task'], call['run']
        self.last_run[task] = max(number, self.last_run.get(task, 0))
        run = self.running.get(task)
        if run and run.number == number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, run, 'stopped')
        return web.answer({'clockMs': self.clock()})

    async def _hold(self, call: dict[str, Any]) -> web.Response:
        seen = call.get('lastSeen', 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if 'deadlineMs' in call:
            self._extend(call['deadlineMs'])
        if call.get('waitMs') and not self.ended:
            try:
                async with asyncio.timeout(call['waitMs'] / 1000):
                    await self.end_added.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, run.saved(), run.percent(), 0]
            for run in self.running.values()
        ]
        return web.answer(
            {
                'clockMs': self.clock(),
                'born': self.born,
                'running': running,
                'ended': self.ended[:ENDS_LIMIT],
            }
        )

    def _drop(self, run: Run) -> None:
        self.running.pop(run.task, None)
        if run.timer:
            run.timer.cancel()

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        self._drop(run)
        self.last_run[run.task] = max(
            run.number, self.last_run.get(run.task, 0)
        )
        self.end_count += 1
        saved = '' if how == 'done' else run.saved()
        self.ended.append([self.end_count, run.task, run.number, how, saved])
        self.record(
            'end',
            worker=self.worker_id,
            task=run.task,
            run=run.number,
            how=how,
        )
        self.end_added.set()
        self.end_added = asyncio.Event()


class Cloud:
    """Lists the machines of the workers; takes no order."""

    def __init__(self, workers: list[Worker]) -> None:
        """List the machines of *workers*."""
        self.workers = workers
        self.server = web.Server(self._handle)

    async def _handle(self, request: web.Request) -> web.Response:
        if request.path != '/v1/machines':
            return web.answer({'reason': 'busy'}, 409)
        machines = [
            {
                'machine': worker.fields['machine'],
                'pool': worker.fields['service'],
                'state': 'up' if worker.up else 'down',
                'zone': worker.fields['zone'],
                'labels': worker.fields['labels'],
                'capacity': worker.fields['capacity'],
                'id': worker.worker_id,
            }
            for worker in self.workers
        ]
        return web.answer({'machines': machines, 'nextToken': ''})
