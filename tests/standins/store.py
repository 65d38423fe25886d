"""
tests.standins.store
====================

An HTTP server that takes the place of the store: a table and objects.

Run as ``python -m tests.standins.store``.  ``PUT /fault`` with the body
``{"mode": MODE, "delay_ms": N}`` makes it fail:

- ``up``: it works
- ``down``: each call gets status 503
- ``slow``: each call is delayed by N ms
- ``lost``: a commit is applied, but after N ms the response is status 500
"""

from typing import Any, TypedDict

import msgspec
import quart
import trio
from quart import Response
from quart_trio import QuartTrio

from cyclamenshift.frontend import read_body
from cyclamenshift.store import (
    Check,
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Snapshot,
    Transaction,
    Write,
)
from cyclamenshift.table import Table

from .server import run

Json = dict[str, Any]


class Fault(TypedDict):
    """The failure that the store simulates."""

    mode: str
    delay_ms: int


class StoreState:
    """The stored data, the simulated failure and the call counts."""

    def __init__(self) -> None:
        """Start empty and without a failure."""
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.fault = Fault(mode='up', delay_ms=0)
        self.calls = 0
        self.commits = 0
        self.changed = trio.Event()

    def notify_change(self) -> None:
        """Wake the calls that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    async def changes(
        self, table: str, version: int, wait: int
    ) -> Snapshot | HistoryLost:
        """Return the changes of a table, waiting *wait* ms for the first."""
        with trio.move_on_after(wait / 1000):
            while True:
                changes = self.table.changes(table, version)
                if isinstance(changes, HistoryLost) or changes.rows:
                    return changes
                await self.changed.wait()
        return self.table.changes(table, version)


def build_app() -> QuartTrio:
    """Return the application with an empty store."""
    app = QuartTrio(__name__)
    store = StoreState()

    @app.before_request
    async def simulate_fault() -> Response | None:
        if quart.request.path in {'/fault', '/counts'}:
            return None
        store.calls += 1
        if store.fault['mode'] == 'slow':
            await trio.sleep(store.fault['delay_ms'] / 1000)
        if store.fault['mode'] == 'down':
            return Response('down', status=503)
        return None

    @app.put('/fault')
    async def set_fault() -> Response:
        body = await read_body()
        store.fault = msgspec.json.decode(body, type=Fault)
        return Response('ok')

    @app.get('/counts')
    async def counts() -> Response:
        return _json_response({'calls': store.calls, 'commits': store.commits})

    @app.post('/table/read')
    async def read() -> Response:
        keys = [Key(*key) for key in (await _decode_body())['keys']]
        return _json_response(store.table.read(keys))

    @app.post('/table/scan')
    async def scan() -> Response:
        query = await _decode_body()
        return _json_response(store.table.scan(query['table'], query['part']))

    @app.post('/table/follow')
    async def follow() -> Response:
        query = await _decode_body()
        changes = await store.changes(**query)
        if isinstance(changes, HistoryLost):
            return Response('gone', status=410)
        return _json_response(changes)

    @app.post('/table/commit')
    async def commit() -> Response:
        checks, writes = await _decode_body()
        store.commits += 1
        result = store.table.commit(
            Transaction(
                tuple(Check(Key(*key), version) for key, version in checks),
                tuple(Write(Key(*key), fields) for key, fields in writes),
            ),
        )
        store.notify_change()
        if store.fault['mode'] == 'lost':
            await trio.sleep(store.fault['delay_ms'] / 1000)
            return Response('lost', status=500)
        return _commit_response(result)

    @app.put('/objects/<name>')
    async def put_object(name: str) -> Response:
        store.objects[name] = await read_body()
        return Response('ok')

    @app.get('/objects/<name>')
    async def get_object(name: str) -> Response:
        if name not in store.objects:
            return Response('none', status=404)
        return Response(store.objects[name])

    return app


async def _decode_body() -> Any:
    return msgspec.json.decode(await read_body())


def _json_response(value: Any) -> Response:
    return Response(msgspec.json.encode(value), mimetype='application/json')


def _commit_response(result: Committed | Conflict) -> Response:
    if isinstance(result, Committed):
        return _json_response(result)
    response = _json_response(result)
    response.status_code = 409
    return response


if __name__ == '__main__':
    run(build_app())
