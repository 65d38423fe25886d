"""The platform's store of rows, as its page describes it."""

import asyncio
import base64
import json
import time
from typing import Any, Final, NamedTuple

from .http import DROP, Answer, Call, Server

#: The limits of the store, as in the settings of a process.
ROW_BYTES: Final = 65_536
CALL_ENTRIES: Final = 100
CALL_BYTES: Final = 1_000_000
PAGE_ROWS: Final = 500
TXN_S: Final = 0.005
READ_S: Final = 0.001
#: The tables that only the platform writes.
PLATFORM_TABLES: Final = frozenset(('op', 'servers'))

RowKey = tuple[str, str, str]


class Change(NamedTuple):
    """A change of a row; no value if it was dropped."""

    version: int
    key: RowKey
    value: str | None


class Path:
    """
    The address at which one caller reaches the store, and its faults.

    ``refuse`` answers 503.  A write that is under way when that begins is
    done, and its response is lost with its connection.
    """

    def __init__(self, store: 'Store', host: str) -> None:
        self.store = store
        self.refuse = False
        self.server = Server(host, self._handle)

    async def _handle(self, call: Call) -> Answer:
        if self.refuse:
            return Answer(503, {})
        return await self.store.handle(call, self)


class Store:
    """Rows with versions, conditional transactions and feeds."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[int, str]] = {}
        self.changes: list[Change] = []
        self.version = 1
        self.changed = asyncio.Event()
        self.parts: dict[str, asyncio.Lock] = {}
        self.rejected: list[str] = []
        self.on_write: list[Any] = []
        self.started = time.monotonic()

    async def open_path(self, host: str) -> Path:
        """Listen at an address for one caller."""
        path = Path(self, host)
        await path.server.start()
        return path

    def put(self, table: str, key: str, fields: dict[str, Any]) -> None:
        """Write a row of the platform or of the operator."""
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._apply({(table, '', key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the platform or of the operator."""
        if (table, '', key) in self.rows:
            self._apply({(table, '', key): None})

    async def handle(self, call: Call, path: Path) -> Answer:
        """Answer one call."""
        if call.path == '/v1/rows-tx':
            part = self._part(call)
            async with self.parts.setdefault(part, asyncio.Lock()):
                await asyncio.sleep(TXN_S)
                answer = self._transact(call)
            return DROP if path.refuse else answer
        await asyncio.sleep(READ_S)
        if call.path == '/v1/rows-get':
            return self._get(call)
        if call.path == '/v1/rows-feed':
            return await self._feed(call)
        if call.path == '/v1/rows-parts':
            return self._list_parts(call)
        return Answer(404, {})

    def _part(self, call: Call) -> str:
        body = call.json()
        entries = [*body['precondition'], *body['puts'], *body['remove']]
        return str(entries[0].get('part', '')) if entries else ''

    def _transact(self, call: Call) -> Answer:
        body = call.json()
        checks, puts, drops = (
            body['precondition'],
            body['puts'],
            body['remove'],
        )
        problem = self._find_problem(call, checks, puts, drops)
        if problem:
            self.rejected.append(problem)
            return Answer(400, {'error': problem})
        written = {_key(entry) for entry in (*puts, *drops)}
        if any(table in PLATFORM_TABLES for table, _part, _name in written):
            return Answer(403, {})
        if any(self._version(_key(row)) != row['ver'] for row in checks):
            current = [self._row(_key(row)) for row in checks]
            rows = [row for row in current if row]
            return Answer(412, {**self._stamp(), 'rows': rows})
        self._apply(
            {_key(row): row['value'] for row in puts}
            | dict.fromkeys(map(_key, drops))
        )
        for listener in self.on_write:
            listener(written)
        return Answer(200, self._stamp())

    def _find_problem(
        self, call: Call, checks: list[Any], puts: list[Any], drops: list[Any]
    ) -> str:
        if len(checks) + len(puts) + len(drops) > CALL_ENTRIES:
            return 'too many entries'
        if len(call.body) > CALL_BYTES:
            return f'a call of {len(call.body)} bytes'
        sizes = [len(base64.b64decode(row['value'])) for row in puts]
        if sizes and max(sizes) > ROW_BYTES:
            return f'a row of {max(sizes)} bytes'
        parts = {row.get('part', '') for row in (*checks, *puts, *drops)}
        return 'several parts' if len(parts) > 1 else ''

    def _apply(self, values: dict[RowKey, str | None]) -> None:
        self.version += 1
        for key, value in values.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.version, value)
            self.changes.append(Change(self.version, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _version(self, key: RowKey) -> int:
        return self.rows[key][0] if key in self.rows else 0

    def _row(self, key: RowKey) -> dict[str, Any] | None:
        if key not in self.rows:
            return None
        version, value = self.rows[key]
        return {**_fields(key), 'ver': version, 'value': value}

    def _get(self, call: Call) -> Answer:
        query = call.query
        table, part = query['table'], query.get('part', '')
        start, end = query.get('from', ''), query.get('to')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= start
            and (end is None or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        more = len(keys) > limit
        return Answer(200, {**self._stamp(), 'rows': rows, 'hasMore': more})

    async def _feed(self, call: Call) -> Answer:
        table, after = call.query['table'], int(call.query['after'])
        wait = int(call.query.get('waitMs', 0)) / 1000
        deadline = time.monotonic() + wait
        while True:
            found = [
                change
                for change in self.changes
                if change.version > after and change.key[0] == table
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                rows = [_changed_row(change) for change in found]
                return Answer(200, {**self._stamp(), 'rows': rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _list_parts(self, call: Call) -> Answer:
        table, after = call.query['table'], call.query.get('after', '')
        parts = sorted({key[1] for key in self.rows if key[0] == table})
        return Answer(200, {'parts': [part for part in parts if part > after]})

    def _stamp(self) -> dict[str, int]:
        elapsed = round((time.monotonic() - self.started) * 1000)
        return {'ver': self.version, 'serverTimeMs': elapsed}


def _key(entry: dict[str, Any]) -> RowKey:
    return (entry['table'], entry.get('part', ''), entry['key'])


def _fields(key: RowKey) -> dict[str, str]:
    table, part, name = key
    return {'table': table, 'part': part, 'key': name}


def _changed_row(change: Change) -> dict[str, Any]:
    row: dict[str, Any] = {**_fields(change.key), 'ver': change.version}
    if change.value is None:
        return {**row, 'removed': True}
    return {**row, 'value': change.value}
