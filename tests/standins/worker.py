"""
tests.standins.worker
=====================

A worker: 8 slots, and a ledger of everything that it ran.

Run as ``python -m tests.standins.worker``.  A body that starts with
``run=MS;`` runs that long.  ``PUT /mode`` takes ``ok``, ``fail`` (answers
500 at once), ``draining`` (refuses), ``silent`` (runs, never answers) or
``foreign`` (answers with another request's id).
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
RUN_TIME = re.compile(rb'run=(\d+);')


class Work:
    """What the worker does now, and what it did."""

    def __init__(self) -> None:
        """Start idle."""
        self.mode = 'ok'
        self.running = 0
        self.peak = 0
        self.ledger: list[dict[str, str]] = []


def build_app() -> QuartTrio:
    """Return the application of an idle worker."""
    app = QuartTrio(__name__)
    work = Work()

    @app.post('/requests')
    async def take() -> Response:
        body = await read_body()
        refusal = _refusal(work)
        if refusal:
            return _answer(b'', 503, {'Refused': refusal})
        if work.mode == 'fail':
            return _answer(b'failed', 500, {})
        _note(work, 'started')
        work.running += 1
        work.peak = max(work.peak, work.running)
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(_run_time(body))
        finally:
            work.running -= 1
        _note(work, 'ended')
        if work.mode == 'silent':
            await trio.sleep_forever()
        return _answer(body, 200, {})

    def _answer(body: bytes, status: int, headers: dict[str, str]) -> Response:
        request_id = quart.request.headers.get('Request-Id', '')
        if work.mode == 'foreign':
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
        return Response(msgspec.json.encode({'running': work.running}))

    @app.get('/ledger')
    async def ledger() -> Response:
        return Response(msgspec.json.encode(work.ledger))

    @app.put('/mode')
    async def set_mode() -> Response:
        work.mode = (await read_body()).decode()
        return Response('ok')

    return app


def _refusal(work: Work) -> str:
    if work.mode == 'draining':
        return 'draining'
    return 'full' if work.running >= SLOTS else ''


def _run_time(body: bytes) -> float:
    match = RUN_TIME.match(body)
    return int(match[1]) / 1000 if match else 0


def _note(work: Work, event: str) -> None:
    headers = quart.request.headers
    work.ledger.append(
        {
            'event': event,
            'request_id': headers.get('Request-Id', ''),
            'key': headers.get('Idempotency-Key', ''),
            'kind': headers.get('Request-Kind', ''),
        }
    )


if __name__ == '__main__':
    run(build_app())
