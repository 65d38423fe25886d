"""
Stand-in for one worker, as a process of its own.

Usage: worker_process.py JSON, with ``id``, ``address``, ``public`` (the
address in its entry, which may be that of a proxy), ``store``, ``service``,
``machine``, ``rack``, ``cpu`` and ``log``.  A task's spec is JSON with
``workMs`` and ``cpu``; ``workMs`` 0 stands for a task that lasts.  Each start
and each end is appended to the log, as a line of JSON.  While the file
``grey`` exists, what the worker starts ends ``failed``; its other answers
show nothing of that.
"""

import asyncio
import json
import os
import sys
import time

import httpserver

BEAT_S = 1.5
MAX_LEASE_MS = 6_000
STOP_MS = 100
MAX_ENDS = 500
#: How long a task that lasts takes to be at work, ms.
STARTUP_MS = 500
#: How long after its start a run of a faulty worker fails, ms.
FAIL_MS = 150


class Run:
    """A run at this worker; ``ends_at`` and ``stops_at`` are on its clock."""

    def __init__(self, task, number, spec, now, fails):
        work = json.loads(spec)
        self.task = task
        self.number = number
        self.cpu = work['cpu']
        self.lasts = work['workMs'] == 0
        self.started = now
        self.ends_at = None if self.lasts else now + work['workMs']
        self.fails_at = now + FAIL_MS if fails else None
        self.stops_at = None

    def percent(self, now):
        length = STARTUP_MS if self.lasts else self.ends_at - self.started
        return min(100, 100 * (now - self.started) // max(1, length))

    def usage(self):
        return self.cpu


class Worker:
    """Runs tasks under a lease; follows PROTOCOL.md."""

    def __init__(self, options):
        self.options = options
        self.born = round(time.time() * 1000)
        self.start_time = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.last_numbers = {}
        self.ends = []
        self.end_count = 0
        self.beats = 0
        self.log_file = os.open(
            options['log'], os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )
        self.ended = asyncio.Event()

    def clock(self):
        return round((time.monotonic() - self.start_time) * 1000) + 1

    def log(self, event, **fields):
        line = {
            'at': round(time.monotonic(), 4),
            'event': event,
            'worker': self.options['id'],
            'born': self.born,
            **fields,
        }
        os.write(self.log_file, json.dumps(line).encode() + b'\n')

    def advance(self):
        """End the runs that are due."""
        now = self.clock()
        for key, run in list(self.runs.items()):
            due = [
                (at, how)
                for at, how in (
                    (run.ends_at, 'done'),
                    (run.fails_at, 'failed'),
                    (run.stops_at, 'stopped'),
                    (self.deadline, 'lapsed'),
                )
                if at is not None and at <= now
            ]
            if due:
                self.end(key, min(due)[1])

    def end(self, key, how):
        run = self.runs.pop(key)
        self.end_count += 1
        last = self.last_numbers.get(run.task, 0)
        self.last_numbers[run.task] = max(last, run.number)
        self.ends.append([self.end_count, run.task, run.number, how, ''])
        self.log('end', task=run.task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def stamp(self):
        return {'clockMs': self.clock()}

    def refuse(self, reason):
        return 409, {**self.stamp(), 'reason': reason}

    async def handle(self, method, path, query, headers, body):
        """Answer one order."""
        expected = headers.get('x-expect-instance')
        if expected not in {None, self.options['id']}:
            return 421, {}
        self.advance()
        order = json.loads(body)
        if order.get('fence', 0) < self.fence:
            return self.refuse('fence')
        self.fence = order.get('fence', 0)
        self.log('order', call=path)
        if path == '/v1/run-start':
            return self.start(order)
        if path == '/v1/run-stop':
            return self.stop(order)
        if path == '/v1/hold':
            return await self.hold(order)
        return 400, {}

    def extend(self, order):
        if 'deadlineMs' in order:
            latest = min(order['deadlineMs'], self.clock() + MAX_LEASE_MS)
            self.deadline = max(self.deadline, latest)

    def start(self, order):
        key = (order['task'], order['run'])
        if key not in self.runs:
            if order['deadlineMs'] <= self.clock():
                return self.refuse('late')
            self.extend(order)
            if order['run'] <= self.last_numbers.get(order['task'], 0):
                return self.refuse('old')
            run = Run(
                order['task'],
                order['run'],
                order['spec'],
                self.clock(),
                os.path.exists(self.options['grey']),
            )
            used = sum(each.cpu for each in self.runs.values())
            if used + run.cpu > self.options['cpu']:
                return self.refuse('room')
            self.runs[key] = run
            self.log('start', task=run.task, run=run.number)
        self.extend(order)
        return 200, self.stamp()

    def stop(self, order):
        key = (order['task'], order['run'])
        last = self.last_numbers.get(order['task'], 0)
        self.last_numbers[order['task']] = max(last, order['run'])
        self.log('stop', task=order['task'], run=order['run'])
        if key in self.runs and self.runs[key].stops_at is None:
            self.runs[key].stops_at = self.clock() + STOP_MS
        return 200, self.stamp()

    async def hold(self, order):
        self.extend(order)
        seen = order.get('lastSeen', 0)
        for number, task, run, how, _saved in self.ends:
            if number <= seen:
                self.log('noted', task=task, run=run, how=how)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(2_000, order.get('waitMs', 0)) / 1000
        while not self.ends and time.monotonic() < until:
            ended = self.ended
            try:
                await asyncio.wait_for(ended.wait(), until - time.monotonic())
            except TimeoutError:
                pass
        self.advance()
        now = self.clock()
        return 200, {
            **self.stamp(),
            'born': self.born,
            'running': [
                [run.task, run.number, '', run.percent(now), run.usage()]
                for run in self.runs.values()
            ],
            'ended': self.ends[:MAX_ENDS],
        }

    def entry(self):
        options = self.options
        return {
            'service': options['service'],
            'address': options.get('public', options['address']),
            'zone': options.get('zone', 'east'),
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': self.beats,
            'born': self.born,
            'capacity': {'cpu': options['cpu'], 'memMb': 65_536, 'gpu': 0},
            'labels': [options['kind'], options['rack']],
            'machine': options['machine'],
        }

    async def beat(self):
        while True:
            self.beats += 1
            value = {'id': self.options['id'], 'entry': self.entry()}
            await httpserver.call(
                self.options['store'], 'POST', '/standin/beat', value
            )
            await asyncio.sleep(BEAT_S)

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.01)


async def main(options):
    worker = Worker(options)
    worker.log('born')
    host, _colon, port = options['address'].rpartition(':')
    await httpserver.start(worker.handle, host, int(port))
    await asyncio.gather(worker.beat(), worker.tick())


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
