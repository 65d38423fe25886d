"""
tests.standins.worker
=====================

An HTTP server that takes the place of a worker with 8 slots.

Run as ``python -m tests.standins.worker``.  A request whose body starts with
``run=MS;`` takes that long.  ``GET /ledger`` returns the start and end of each
run.  The body of ``PUT /mode`` sets how requests are handled:

- ``ok``: they run
- ``fail``: they get status 500 at once
- ``draining``: they are refused
- ``silent``: they run but get no response
- ``foreign``: they run, but the response has another request's id
"""

import re

import msgspec
import quart
import trio
from quart import Response
from quart_trio import QuartTrio

from cyclamenshift.frontend import read_body

from .server import run

SLOTS = 8
RUN_TIME_PATTERN = re.compile(rb'run=(\d+);')


class WorkerState:
    """The mode of the worker, its load and the log of its runs."""

    def __init__(self) -> None:
        """Start idle, in mode ``ok``."""
        self.mode = 'ok'
        self.running = 0
        self.peak = 0
        self.events: list[dict[str, str]] = []


def build_app() -> QuartTrio:
    """Return the application of an idle worker."""
    app = QuartTrio(__name__)
    state = WorkerState()

    @app.post('/requests')
    async def handle_request() -> Response:
        body = await read_body()
        reason = _refusal_reason(state)
        if reason:
            return _respond(b'', 503, {'Refused': reason})
        if state.mode == 'fail':
            return _respond(b'failed', 500, {})
        _log_event(state, 'started')
        state.running += 1
        state.peak = max(state.peak, state.running)
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(_run_time(body))
        finally:
            state.running -= 1
        _log_event(state, 'ended')
        if state.mode == 'silent':
            await trio.sleep_forever()
        return _respond(body, 200, {})

    def _respond(body: bytes, status: int, headers: dict[str, str]) -> Response:
        request_id = quart.request.headers.get('Request-Id', '')
        if state.mode == 'foreign':
            request_id = 'another'
        response = Response(body, status=status, headers=headers)
        response.headers['Request-Id'] = request_id
        response.headers['Content-Type'] = quart.request.headers.get(
            'Content-Type',
            'text/plain',
        )
        return response

    @app.get('/status')
    async def status() -> Response:
        return Response(msgspec.json.encode({'running': state.running}))

    @app.get('/ledger')
    async def ledger() -> Response:
        return Response(msgspec.json.encode(state.events))

    @app.put('/mode')
    async def set_mode() -> Response:
        state.mode = (await read_body()).decode()
        return Response('ok')

    return app


def _refusal_reason(state: WorkerState) -> str:
    if state.mode == 'draining':
        return 'draining'
    return 'full' if state.running >= SLOTS else ''


def _run_time(body: bytes) -> float:
    match = RUN_TIME_PATTERN.match(body)
    return int(match[1]) / 1000 if match else 0


def _log_event(state: WorkerState, event: str) -> None:
    headers = quart.request.headers
    state.events.append(
        {
            'event': event,
            'request_id': headers.get('Request-Id', ''),
            'key': headers.get('Idempotency-Key', ''),
            'kind': headers.get('Request-Kind', ''),
        }
    )


if __name__ == '__main__':
    run(build_app())
