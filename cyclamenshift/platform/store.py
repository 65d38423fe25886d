"""
cyclamenshift.platform.store
============================

The client of the platform's store of rows and objects.
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
    Fields,
    HistoryLost,
    Key,
    Rejected,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
)
from .rows import RowsBody, decode_rows, encode_transaction, size_of_value
from .wire import Unreadable, decode_json, parse_address

ResultType = TypeVar('ResultType')

#: The range of the adaptive response timeout, ms.  A response takes 4 ms, and
#: up to 60 times as long while the platform is slow.
MIN_TIMEOUT_MS: Final = 150
MAX_TIMEOUT_MS: Final = 1_500
#: Maximum time that a transaction waits in the store for the earlier ones of
#: its partition, ms; the store rejects those that would wait longer.
PARTITION_QUEUE_MS: Final = 1_000
#: The most rows of a page when a table is scanned.  The rows of the largest
#: jobs then pass the smallest link within ``MAX_TIMEOUT_MS``, and usual ones
#: delay the heartbeats and lease renewals behind them by less than 100 ms.
SCAN_PAGE_ROWS: Final = 50
#: The statuses of errors that the same call would cause again.
PERMANENT_ERRORS: Final = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)
#: The statuses that prove that a transaction has no effect, besides the
#: permanent errors and that of a conflict.  After any other one it may have
#: been performed, or may yet be.
REFUSAL_STATUSES: Final = frozenset(
    (
        HTTPStatus.FORBIDDEN,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    ),
)


@register
class PlatformStore(Store):
    """Calls the platform's store over HTTP."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        self.address = parse_address(kernel.settings['store']['address'])
        self.client = Client(self.clock, kernel.metrics.load)
        self.timeout = Timeout(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
        self.last_error = ''
        self.rows_left_out = 0

    def size_of(self, fields: Fields) -> int:
        """Return the size of the value of a row, bytes."""
        return size_of_value(fields)

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
            page = await self._read_page('rows-get', query)
            if isinstance(page, Unavailable):
                return page
            found = {row.key: row for row in self._decode_rows(page)}
            rows.append(found.get(key, Row(key, ABSENT, {})))
        return rows

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """
        Return the rows of one partition of a table, read page by page.

        The version is that of the first page, because rows of earlier pages
        may change while later ones are read.
        """
        rows: list[Row] = []
        versions: list[int] = []
        query: dict[str, Any] = {
            'table': table,
            'part': partition,
            'limit': SCAN_PAGE_ROWS,
        }
        while True:
            page = await self._read_page('rows-get', query)
            if isinstance(page, Unavailable):
                return page
            page_rows = self._decode_rows(page)
            rows.extend(page_rows)
            versions.append(page.get('ver', ABSENT))
            if not page.get('hasMore'):
                return Snapshot(tuple(rows), versions[0])
            if not page_rows:
                return Unavailable('a page without readable rows')
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
        page = await self._read_page('rows-feed', query, wait)
        if isinstance(page, Unavailable):
            lost = page.reason == str(HTTPStatus.GONE.value)
            return HistoryLost() if lost else page
        rows = self._decode_rows(page)
        return Snapshot(tuple(rows), page.get('ver', version))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* atomically."""
        try:
            body = msgspec.json.encode(encode_transaction(transaction))
        except OverflowError as error:
            self.log.error('Transaction not encoded.', problem=str(error))
            return self._count('commit', Rejected(str(error)))
        result = await self._call(
            Request('rows-tx', 'POST', '/v1/rows-tx', body, PARTITION_QUEUE_MS),
        )
        if _is_permanent_error(result):
            self.log.error(
                'Transaction rejected as invalid or too large.',
                checks=len(transaction.checks),
                writes=len(transaction.writes),
            )
        return self._count('commit', _decode_commit_result(result, transaction))

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether the store confirmed it."""
        target = f'/v1/blob-put/{name}'
        request = Request('blob-put', 'PUT', target, body, 0)
        result = await self._call(request)
        return isinstance(result, Response) and result.status == HTTPStatus.OK

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be read."""
        target = f'/v1/blob-get/{name}'
        request = Request('blob-get', 'GET', target, b'', 0)
        result = await self._call(request)
        if isinstance(result, Response) and result.status == HTTPStatus.OK:
            return result.body
        return Unavailable(f'The object {name} could not be read.')

    def dump(self) -> Dump:
        """Return the address, the current timeout and the last error."""
        return {
            'address': str(self.address),
            'wait_ms': self.timeout.current(),
            'connections_opened': self.client.opened,
            'last_error': self.last_error,
            'rows_left_out': self.rows_left_out,
        }

    async def _read_page(
        self,
        name: str,
        query: Mapping[str, Any],
        wait: int = 0,
    ) -> RowsBody | Unavailable:
        target = f'/v1/{name}?{urlencode(query)}'
        operation = f'{name} {query["table"]}'
        result = await self._call(
            Request(operation, 'GET', target, b'', 0, wait)
        )
        if isinstance(result, Response):
            return self._count('read', _decode_page(result))
        return self._count('read', Unavailable(result.reason))

    async def _call(self, request: Request) -> Response | NotSent | NoResponse:
        """Send *request*; its timeout is extended by the adaptive one."""
        started = self.clock.now()
        timeout = request.timeout + self.timeout.current()
        result = await self.client.call(
            self.address, request._replace(timeout=timeout)
        )
        if not isinstance(result, Response):
            self.timeout.expire()
            self.last_error = f'{request.target}: {result.reason}'
        elif not request.timeout and not request.hold:
            self.timeout.record(self.clock.now() - started)
        return result

    def _decode_rows(self, page: RowsBody) -> list[Row]:
        rows = decode_rows(page)
        left_out = len(page.get('rows', ())) - len(rows)
        if left_out and not self.rows_left_out:
            self.log.warning('Rows without a key left out.', rows=left_out)
        self.rows_left_out += left_out
        return rows

    def _count(self, operation: str, result: ResultType) -> ResultType:
        labels = {'operation': operation, 'result': type(result).__name__}
        self.kernel.metrics.store_calls.inc(labels)
        return result


def _decode_page(response: Response) -> RowsBody | Unavailable:
    if response.status != HTTPStatus.OK:
        return Unavailable(str(response.status))
    page = decode_json(response.body, RowsBody)
    return Unavailable(page.reason) if isinstance(page, Unreadable) else page


def _is_permanent_error(result: Response | NotSent | NoResponse) -> bool:
    """Return whether the store would reject the same call again."""
    return isinstance(result, Response) and result.status in PERMANENT_ERRORS


def _decode_commit_result(
    result: Response | NotSent | NoResponse,
    transaction: Transaction,
) -> CommitResult:
    if isinstance(result, NoResponse):
        return Uncertain(result.reason)
    if isinstance(result, NotSent):
        return Unavailable(result.reason)
    if result.status == HTTPStatus.PRECONDITION_FAILED:
        return _decode_conflict(result, transaction)
    if _is_permanent_error(result):
        return Rejected(str(result.status))
    return _decode_committed(result)


def _decode_committed(
    result: Response,
) -> Committed | Unavailable | Uncertain:
    if result.status in REFUSAL_STATUSES:
        return Unavailable(str(result.status))
    page = _decode_page(result)
    if isinstance(page, Unavailable):
        return Uncertain(page.reason)
    return Committed(page.get('ver', ABSENT))


def _decode_conflict(
    result: Response,
    transaction: Transaction,
) -> Conflict | Uncertain:
    page = decode_json(result.body, RowsBody)
    if isinstance(page, Unreadable):
        return Uncertain(page.reason)
    found = {row.key: row for row in decode_rows(page)}
    return Conflict(
        tuple(
            found.get(check.key, Row(check.key, ABSENT, {}))
            for check in transaction.checks
        ),
    )
