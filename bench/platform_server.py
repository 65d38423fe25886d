"""
bench.platform_server
=====================

Workers and a store of the platform on real sockets, for ``bench.run_path``.

Run as ``python -m bench.platform_server WORKERS``.  Prints the addresses of
the store and of the workers.  The run time of a task follows from its id, so
that all measurements have the same load.
"""

import re
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import Any, Final, TypeAlias
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio
import xxhash

from cyclamenshift.job import RunId, TaskId
from cyclamenshift.platform.workers import REFUSAL_REASONS
from cyclamenshift.store import (
    Check,
    Committed,
    Fields,
    Key,
    Transaction,
    Write,
)
from cyclamenshift.table import Table
from cyclamenshift.worker import LeaseRenewal, Refused, StartOrder
from tests.builders import WALL_START, worker
from tests.standins.sim_worker import SimWorker
from tests.standins.workers import SimWorkers

#: The range of the run times, ms; those of the deployment under high load.
MIN_RUN_MS: Final = 700
MAX_RUN_MS: Final = 1_800
#: The interval at which a held report is checked for ends, ms.
POLL_INTERVAL_MS: Final = 5
CONTENT_LENGTH: Final = re.compile(rb'(?i)\r\ncontent-length: *(\d+)\r\n')
HEAD_END: Final = b'\r\n\r\n'
MS_PER_SECOND: Final = 1_000

Json: TypeAlias = dict[str, Any]
#: Returns the status and the body of the response to a call.
Answer: TypeAlias = Callable[[str, Json], Awaitable[tuple[int, Json]]]


class HttpServer:
    """Serves one address with one callable."""

    def __init__(self, answer: Answer) -> None:
        """Answer calls with what *answer* returns."""
        self.answer = answer

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it is closed."""
        unread = b''
        async with stream:
            while received := await stream.receive_some():
                unread += received
                if not _is_complete(unread):
                    continue
                head, _end, body = unread.partition(HEAD_END)
                unread = b''
                target = head.split(b' ', 2)[1].decode()
                fields = msgspec.json.decode(body) if body else {}
                status, reply = await self.answer(target, fields)
                await stream.send_all(_encode(status, reply))


class StoreServer:
    """The rows of the platform's store; their values stay encoded."""

    def __init__(self) -> None:
        """Start empty."""
        self.table = Table()
        self.changed = trio.Event()

    async def handle(self, target: str, body: Json) -> tuple[int, Json]:
        """Answer a call of the store."""
        path = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(path.query).items()}
        if path.path == '/v1/rows-tx':
            return self._commit(body)
        if path.path == '/v1/rows-feed':
            return await self._follow(query)
        return self._get(query)

    def _commit(self, body: Json) -> tuple[int, Json]:
        checks = [
            Check(_key_of(row), row['ver']) for row in body['precondition']
        ]
        writes = [Write(_key_of(row), row) for row in body['puts']]
        deletions = [Write(_key_of(row), None) for row in body['remove']]
        transaction = Transaction(tuple(checks), (*writes, *deletions))
        result = self.table.commit(transaction)
        if isinstance(result, Committed):
            self.changed.set()
            self.changed = trio.Event()
            return HTTPStatus.OK, {'ver': result.version}
        rows = [_row(row.key, row.version, row.fields) for row in result.rows]
        return HTTPStatus.PRECONDITION_FAILED, {'rows': rows}

    async def _follow(self, query: dict[str, str]) -> tuple[int, Json]:
        after = int(query['after'])
        with trio.move_on_after(int(query['waitMs']) / MS_PER_SECOND):
            while not self._changes(query['table'], after):
                await self.changed.wait()
        rows = self._changes(query['table'], after)
        return HTTPStatus.OK, {'rows': rows, 'ver': self.table.version}

    def _changes(self, table: str, after: int) -> list[Json]:
        changed = {
            row.key: row
            for version, row in reversed(self.table.history)
            if version > after and row.key.table == table
        }
        return [
            _row(row.key, row.version, row.fields) for row in changed.values()
        ]

    def _get(self, query: dict[str, str]) -> tuple[int, Json]:
        scanned = self.table.scan(query['table'], query.get('part', ''))
        rows = [
            _row(row.key, row.version, row.fields)
            for row in scanned.rows
            if row.key.name >= query.get('from', '')
        ]
        limit = int(query['limit'])
        return HTTPStatus.OK, {
            'rows': rows[:limit],
            'hasMore': len(rows) > limit,
            'ver': self.table.version,
        }


class WorkerServer:
    """One simulated worker."""

    def __init__(self, workers: SimWorkers, sim: SimWorker) -> None:
        """Answer calls for the worker *sim*."""
        self.workers = workers
        self.sim = sim

    async def handle(self, target: str, body: Json) -> tuple[int, Json]:
        """Answer a call of the worker."""
        if target == '/v1/hold':
            return HTTPStatus.OK, await self._hold(body)
        run = RunId(_task_of(body['task']), body['run'])
        if target == '/v1/run-stop':
            result = self.workers.stop(self.sim, run, body['fence'])
        else:
            self.workers.run_ms[run.task] = _run_time(body['task'])
            order = StartOrder(
                run, body['spec'], body['deadlineMs'], body['fence']
            )
            result = self.workers.start(self.sim, order)
        if isinstance(result, Refused):
            reasons = {each: name for name, each in REFUSAL_REASONS.items()}
            return HTTPStatus.CONFLICT, {'reason': reasons[result.reason]}
        return HTTPStatus.OK, {'clockMs': result[0]}

    async def _hold(self, body: Json) -> Json:
        order = LeaseRenewal(
            body.get('deadlineMs', 0),
            body['fence'],
            body['lastSeen'],
            body.get('waitMs', 0),
        )
        report: Any = self.workers.renew(self.sim, order)
        for _poll in range(order.wait // POLL_INTERVAL_MS):
            if report.ended:
                break
            await trio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
            report = self.workers.renew(self.sim, order)
        return {
            'clockMs': report.clock,
            'born': report.started_at,
            'running': [
                [_name_of(each.run.task), each.run.number, *each[1:]]
                for each in report.running
            ],
            'ended': [
                [
                    each.number,
                    _name_of(each.run.task),
                    each.run.number,
                    *each[2:],
                ]
                for each in report.ended
            ],
        }


async def serve(worker_count: int) -> None:
    """Serve until cancelled; print the addresses."""
    workers = SimWorkers()
    answers: list[Answer] = [StoreServer().handle]
    for number in range(worker_count):
        sim = workers.add(
            worker(f'worker-{number}', started_at=WALL_START + number + 1)
        )
        answers.append(WorkerServer(workers, sim).handle)
    async with trio.open_nursery() as nursery:
        ports = []
        for answer in answers:
            serve_address = partial(
                trio.serve_tcp, HttpServer(answer).serve, 0, host='127.0.0.1'
            )
            listeners = await nursery.start(serve_address)
            ports.append(listeners[0].socket.getsockname()[1])
        print(*ports, flush=True)


def _is_complete(unread: bytes) -> bool:
    head, end, body = unread.partition(HEAD_END)
    length = CONTENT_LENGTH.search(head + end)
    expected = int(length[1]) if length else 0
    return bool(end) and len(body) >= expected


def _encode(status: int, reply: Json) -> bytes:
    body = msgspec.json.encode(reply)
    head = (
        f'HTTP/1.1 {int(status)} {HTTPStatus(status).phrase}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _key_of(body: Json) -> Key:
    return Key(body['table'], body['key'], body['part'])


def _row(key: Key, version: int, fields: Fields) -> Json:
    row = {'table': key.table, 'part': key.partition, 'key': key.name}
    if 'value' not in fields:
        return {**row, 'removed': True}
    return {**row, 'ver': version, 'value': fields['value']}


def _task_of(name: str) -> TaskId:
    job_id, *numbers = name.split('.')
    return TaskId(job_id, *map(int, numbers))


def _name_of(task: TaskId) -> str:
    return '.'.join(map(str, task))


def _run_time(name: str) -> int:
    spread = MAX_RUN_MS - MIN_RUN_MS
    return MIN_RUN_MS + xxhash.xxh64_intdigest(name.encode()) % spread


if __name__ == '__main__':
    trio.run(serve, int(sys.argv[1]))
