"""
tests.standins.store
=======================

The store: a table and objects.

Run as ``python -m tests.standins.store``.  ``PUT /fault`` takes
``{"mode": MODE, "delay_ms": N}``: ``up``; ``down`` answers 503; ``slow``
waits first; ``lost`` does the write, then waits and answers nothing of use.
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
    Transaction,
    Write,
)
from cyclamenshift.table import Table

from .server import run

Json = dict[str, Any]


class Fault(TypedDict):
    """How the store fails now."""

    mode: str
    delay_ms: int


class Store:
    """Everything that the store keeps."""

    def __init__(self) -> None:
        """Start empty and up."""
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.fault = Fault(mode='up', delay_ms=0)
        self.calls = 0
        self.commits = 0


def build_app() -> QuartTrio:
    """Return the application over a new store."""
    app = QuartTrio(__name__)
    store = Store()

    @app.before_request
    async def fail() -> Response | None:
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
        return _json({'calls': store.calls, 'commits': store.commits})

    @app.post('/table/read')
    async def read() -> Response:
        keys = [Key(*key) for key in (await _body())['keys']]
        return _json(store.table.read(keys))

    @app.post('/table/scan')
    async def scan() -> Response:
        query = await _body()
        return _json(store.table.scan(query['table'], query['part']))

    @app.post('/table/follow')
    async def follow() -> Response:
        query = await _body()
        changes = store.table.changes(query['table'], query['version'])
        if isinstance(changes, HistoryLost):
            return Response('gone', status=410)
        return _json(changes)

    @app.post('/table/commit')
    async def commit() -> Response:
        checks, writes = await _body()
        store.commits += 1
        result = store.table.commit(
            Transaction(
                tuple(Check(Key(*key), version) for key, version in checks),
                tuple(Write(Key(*key), fields) for key, fields in writes),
            ),
        )
        if store.fault['mode'] == 'lost':
            await trio.sleep(store.fault['delay_ms'] / 1000)
            return Response('lost', status=500)
        return _result(result)

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


async def _body() -> Any:
    return msgspec.json.decode(await read_body())


def _json(value: Any) -> Response:
    return Response(msgspec.json.encode(value), mimetype='application/json')


def _result(result: Committed | Conflict) -> Response:
    if isinstance(result, Committed):
        return _json(result)
    response = _json(result)
    response.status_code = 409
    return response


if __name__ == '__main__':
    run(build_app())
