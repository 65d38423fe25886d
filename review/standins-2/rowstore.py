"""A stand-in for the platform's store: rows in tables, with a feed."""

import asyncio
import base64
import bisect
import json
import time
from typing import Any, NamedTuple

import web

#: The longest value of a row, bytes, as the platform's settings tell.
ROW_BYTES = 65_536
#: The most entries of a transaction, and of bytes of its body.
TRANSACTION_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
#: The most rows in an answer.
PAGE_ROWS = 500
#: How long a call takes, seconds.
CALL_S = 0.004
#: The tables that only the platform writes.
READ_ONLY = frozenset(('op', 'servers'))


class Name(NamedTuple):
    """The table, the partition and the key of a row."""

    table: str
    part: str
    key: str


class Change(NamedTuple):
    """A change of a row; the value is None for one that was removed."""

    ver: int
    name: Name
    value: str | None


class RowStore:
    """All rows, their versions, and the history of their changes."""

    def __init__(self) -> None:
        """Start empty; ``start`` listens."""
        self.rows: dict[Name, Change] = {}
        self.history: list[Change] = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.rejected: list[str] = []
        self.server = web.Server(self._handle)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of the platform's own."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(Name(table, '', key), raw)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the platform's own."""
        self._apply([(Name(table, '', key), None)])

    def values(self, table: str) -> dict[str, bytes]:
        """Return the raw values of a table by key."""
        return {
            name.key: base64.b64decode(change.value or '')
            for name, change in self.rows.items()
            if name.table == table
        }

    def _apply(self, writes: list[tuple[Name, str | None]]) -> None:
        self.ver += 1
        for name, value in writes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = Change(self.ver, name, value)
            self.history.append(Change(self.ver, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: web.Request) -> web.Response:
        await asyncio.sleep(CALL_S)
        if request.path == '/v1/rows-tx':
            return self._transact(request.body)
        if request.path == '/v1/rows-get':
            return self._get(request.query)
        if request.path == '/v1/rows-feed':
            return await self._feed(request.query)
        if request.path == '/v1/rows-parts':
            return self._parts(request.query)
        return web.answer({}, 404)

    def _transact(self, body: bytes) -> web.Response:
        call = json.loads(body)
        checks = call.get('precondition', [])
        puts = call.get('puts', [])
        removals = call.get('remove', [])
        names = [_name(entry) for entry in (*checks, *puts, *removals)]
        problem = _problem(body, names, puts)
        if problem:
            self.rejected.append(problem)
            return web.answer({'error': problem}, 400)
        if any(_name(each).table in READ_ONLY for each in (*puts, *removals)):
            return web.answer({}, 403)
        if any(self._version(_name(each)) != each['ver'] for each in checks):
            rows = [
                _row(self.rows[_name(each)])
                for each in checks
                if _name(each) in self.rows
            ]
            return web.answer({'rows': rows, **self._stamp()}, 412)
        writes = [(_name(each), each['value']) for each in puts]
        writes += [(_name(each), None) for each in removals]
        if writes:
            self._apply(writes)
        return web.answer(self._stamp())

    def _version(self, name: Name) -> int:
        return self.rows[name].ver if name in self.rows else 0

    def _stamp(self) -> dict[str, int]:
        return {
            'ver': self.ver,
            'serverTimeMs': time.monotonic_ns() // 1_000_000,
        }

    def _get(self, query: dict[str, str]) -> web.Response:
        start, end = query.get('from', ''), query.get('to', '')
        found = sorted(
            (
                change
                for name, change in self.rows.items()
                if name.table == query['table']
                and name.part == query.get('part', '')
                and name.key >= start
                and (not end or name.key < end)
            ),
            key=_key,
        )
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        page = [_row(change) for change in found[:limit]]
        more = len(found) > limit
        return web.answer({'rows': page, 'hasMore': more, **self._stamp()})

    def _parts(self, query: dict[str, str]) -> web.Response:
        parts = {
            name.part for name in self.rows if name.table == query['table']
        }
        return web.answer({'parts': sorted(parts), 'hasMore': False})

    async def _feed(self, query: dict[str, str]) -> web.Response:
        after = int(query['after'])
        deadline = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = self.changed
            first = bisect.bisect_right(self.history, after, key=_ver)
            changes = [
                change
                for change in self.history[first:]
                if change.name.table == query['table']
            ]
            remaining = deadline - time.monotonic()
            if changes or remaining <= 0:
                rows = [_row(change) for change in changes]
                return web.answer({'rows': rows, **self._stamp()})
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue


def _problem(body: bytes, names: list[Name], puts: list[Any]) -> str:
    """Return which limit of the store a transaction exceeds, if any."""
    if len(names) > TRANSACTION_ENTRIES:
        return f'{len(names)} entries'
    if len(body) > TRANSACTION_BYTES:
        return f'{len(body)} bytes'
    if len({name.part for name in names}) > 1:
        return 'several partitions'
    for put in puts:
        size = len(base64.b64decode(put['value']))
        if size > ROW_BYTES:
            return f'a row of {size} bytes: {put["table"]}/{put["key"]}'
    return ''


def _name(entry: dict[str, Any]) -> Name:
    return Name(entry['table'], entry.get('part', ''), entry['key'])


def _row(change: Change) -> dict[str, Any]:
    row: dict[str, Any] = {**change.name._asdict(), 'ver': change.ver}
    if change.value is None:
        row['removed'] = True
    else:
        row['value'] = change.value
    return row


def _ver(change: Change) -> int:
    return change.ver


def _key(change: Change) -> bytes:
    return change.name.key.encode()
