"""
cyclamenshift.platform.store
============================

The platform's table and objects, as a store.
"""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import msgspec

from ..component import Dump, Host
from ..decisions.timeouts import Timeout
from ..http1 import Client, NoResponse, NotSent, Request, Response
from ..plugin import register
from ..store import (
    ABSENT,
    CommitResult,
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
)
from .rows import RowsBody, rows_of, transaction_body
from .wire import Unreadable, decode_json, parse_address

ResultType = TypeVar('ResultType')

#: The bounds of the wait for an answer, ms.  An answer takes 4 ms, and up
#: to sixty times that where the platform is slow.
SHORTEST_WAIT_MS: Final = 150
LONGEST_WAIT_MS: Final = 1_500
#: How long the transactions of a partition may wait for their turn, ms; the
#: store turns more of them away.
PART_QUEUE_MS: Final = 1_000
#: What the store says to a call that it would never carry out.
WRONG_STATUSES: Final = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)


@register
class PlatformStore(Store):
    """Calls the platform's store over HTTP."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        self.address = parse_address(kernel.settings['store']['address'])
        self.client = Client(self.clock)
        self.timeout = Timeout(SHORTEST_WAIT_MS, LONGEST_WAIT_MS)
        self.last_error = ''

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key."""
        rows = []
        for key in keys:
            query = {
                'table': key.table,
                'part': key.partition,
                'from': key.name,
                'limit': 1,
            }
            page = await self._get('rows-get', query)
            if isinstance(page, Unavailable):
                return page
            found = {row.key: row for row in rows_of(page)}
            rows.append(found.get(key, Row(key, ABSENT, {})))
        return rows

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table, page after page."""
        rows: list[Row] = []
        query: dict[str, Any] = {'table': table, 'part': partition}
        while True:
            page = await self._get('rows-get', query)
            if isinstance(page, Unavailable):
                return page
            rows.extend(rows_of(page))
            if not page.get('hasMore'):
                return Snapshot(tuple(rows), page.get('ver', ABSENT))
            last = rows[-1].key.name
            query['from'] = f'{last}\0'

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        query = {'table': table, 'after': version, 'waitMs': wait}
        page = await self._get('rows-feed', query, wait)
        if isinstance(page, Unavailable):
            lost = page.reason == str(HTTPStatus.GONE.value)
            return HistoryLost() if lost else page
        return Snapshot(tuple(rows_of(page)), page.get('ver', version))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""
        body = msgspec.json.encode(transaction_body(transaction))
        result = await self._call(
            'POST',
            '/v1/rows-tx',
            body,
            PART_QUEUE_MS,
        )
        if _is_wrong(result):
            self.log.error(
                'The store does not understand a transaction.',
                checks=len(transaction.checks),
                writes=len(transaction.writes),
            )
        return self._count('commit', _commit_result(result, transaction))

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether it is certainly there."""
        result = await self._call('PUT', f'/v1/blob-put/{name}', body, 0)
        return isinstance(result, Response) and result.status == HTTPStatus.OK

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be had."""
        result = await self._call('GET', f'/v1/blob-get/{name}', b'', 0)
        if isinstance(result, Response) and result.status == HTTPStatus.OK:
            return result.body
        return Unavailable(f'The object {name} could not be read.')

    def dump(self) -> Dump:
        """Return the address, the present wait and the last error."""
        return {
            'address': str(self.address),
            'wait_ms': self.timeout.current(),
            'connections_opened': self.client.opened,
            'last_error': self.last_error,
        }

    async def _get(
        self,
        call: str,
        query: Mapping[str, Any],
        wait: int = 0,
    ) -> RowsBody | Unavailable:
        target = f'/v1/{call}?{urlencode(query)}'
        result = await self._call('GET', target, b'', wait)
        if isinstance(result, Response):
            return self._count('read', _page(result))
        return self._count('read', Unavailable(result.reason))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        wait: int,
    ) -> Response | NotSent | NoResponse:
        started = self.clock.now()
        longest = wait + self.timeout.current()
        call = Request(method, target, body, longest)
        result = await self.client.call(self.address, call)
        took = self.clock.now() - started
        operation = target.partition('?')[0]
        self.kernel.metrics.store_call_ms.observe(
            {'operation': operation},
            took,
        )
        if isinstance(result, Response):
            if not wait:
                self.timeout.record(took)
        else:
            self.timeout.expire()
            self.last_error = f'{target}: {result.reason}'
        return result

    def _count(self, operation: str, result: ResultType) -> ResultType:
        labels = {'operation': operation, 'result': type(result).__name__}
        self.kernel.metrics.store_calls.inc(labels)
        return result


def _page(answer: Response) -> RowsBody | Unavailable:
    if answer.status != HTTPStatus.OK:
        return Unavailable(str(answer.status))
    page = decode_json(answer.body, RowsBody)
    return Unavailable(page.reason) if isinstance(page, Unreadable) else page


def _is_wrong(result: Response | NotSent | NoResponse) -> bool:
    """Return whether the same call would be refused again."""
    return isinstance(result, Response) and result.status in WRONG_STATUSES


def _commit_result(
    result: Response | NotSent | NoResponse,
    transaction: Transaction,
) -> CommitResult:
    if isinstance(result, NoResponse):
        return Uncertain(result.reason)
    if isinstance(result, NotSent):
        return Unavailable(result.reason)
    if result.status == HTTPStatus.PRECONDITION_FAILED:
        return _conflict(result, transaction)
    page = _page(result)
    if isinstance(page, Unavailable):
        return page
    return Committed(page.get('ver', ABSENT))


def _conflict(
    result: Response,
    transaction: Transaction,
) -> Conflict | Uncertain:
    page = decode_json(result.body, RowsBody)
    if isinstance(page, Unreadable):
        return Uncertain(page.reason)
    present = {row.key: row for row in rows_of(page)}
    return Conflict(
        tuple(
            present.get(check.key, Row(check.key, ABSENT, {}))
            for check in transaction.checks
        ),
    )
