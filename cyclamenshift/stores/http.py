"""
cyclamenshift.stores.http
=========================

A store client over HTTP with JSON bodies.
"""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

import httpx
import msgspec
import trio

from ..clock import MS_PER_SECOND
from ..component import Host
from ..decoding import DECODING_ERRORS
from ..plugin import register
from ..store import (
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

ResultType = TypeVar('ResultType')

#: Errors that occur before any part of the call is sent to the store.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@register
class HttpStore(Store):
    """A client of the store at ``store.address``."""

    name = 'http'

    def __init__(self, kernel: Host) -> None:
        """Create the HTTP client, which connects on the first call."""
        super().__init__(kernel)
        settings = kernel.settings['store']
        self.timeout = settings['timeout']
        self.client = httpx.AsyncClient(base_url=settings['address'])
        self.last_error = ''

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections open until cancelled."""
        async with self.client:
            await super().run(task_status)

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key, in one consistent read."""
        return await self._query('/table/read', {'keys': keys}, list[Row])

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one partition of a table."""
        query = {'table': table, 'part': partition}
        return await self._query('/table/scan', query, Snapshot)

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        query = {'table': table, 'version': version, 'wait': wait}
        response = await self._request('POST', '/table/follow', query, wait)
        if not isinstance(response, httpx.Response):
            return self._count_call('follow', Unavailable(response.reason))
        if response.status_code == HTTPStatus.GONE:
            return self._count_call('follow', HistoryLost())
        return self._count_call('follow', _decode(response, Snapshot))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* atomically."""
        response = await self._request('POST', '/table/commit', transaction)
        if not isinstance(response, httpx.Response):
            return self._count_call('commit', response)
        if response.status_code == HTTPStatus.CONFLICT:
            return self._count_call(
                'commit', _decode_result(response, Conflict)
            )
        if response.status_code == HTTPStatus.OK:
            return self._count_call(
                'commit', _decode_result(response, Committed)
            )
        if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
            return self._count_call('commit', Unavailable(response.text))
        return self._count_call('commit', Uncertain(response.text))

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether the store confirmed it."""
        response = await self._request('PUT', f'/objects/{name}', body)
        return isinstance(response, httpx.Response) and response.is_success

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be read."""
        response = await self._request('GET', f'/objects/{name}', None)
        if isinstance(response, httpx.Response) and response.is_success:
            return response.content
        return Unavailable(f'The object {name} could not be read.')

    def dump(self) -> dict[str, Any]:
        """Return the address of the store and the last error."""
        return {
            'address': str(self.client.base_url),
            'last_error': self.last_error,
        }

    async def _query(
        self,
        path: str,
        query: Any,
        result_type: type[ResultType],
    ) -> ResultType | Unavailable:
        response = await self._request('POST', path, query)
        if isinstance(response, httpx.Response):
            return self._count_call('read', _decode(response, result_type))
        return self._count_call('read', Unavailable(response.reason))

    async def _request(
        self,
        method: str,
        path: str,
        body: Any,
        wait: int = 0,
    ) -> httpx.Response | Unavailable | Uncertain:
        encoded = body if isinstance(body, bytes) else msgspec.json.encode(body)
        try:
            return await self.client.request(
                method,
                path,
                content=encoded,
                timeout=(self.timeout + wait) / MS_PER_SECOND,
            )
        except NOT_SENT_ERRORS as error:
            self.last_error = f'{type(error).__name__} on {path}'
            return Unavailable(self.last_error)
        except httpx.HTTPError as error:
            self.last_error = f'{type(error).__name__} on {path}'
            return Uncertain(self.last_error)

    def _count_call(self, operation: str, result: ResultType) -> ResultType:
        labels = {'operation': operation, 'result': type(result).__name__}
        self.kernel.metrics.store_calls.inc(labels)
        return result


def _decode(
    response: httpx.Response,
    result_type: type[ResultType],
) -> ResultType | Unavailable:
    if not response.is_success:
        return Unavailable(f'The store answered {response.status_code}.')
    try:
        return msgspec.json.decode(response.content, type=result_type)
    except DECODING_ERRORS as error:
        return Unavailable(str(error))


def _decode_result(
    response: httpx.Response,
    result_type: type[ResultType],
) -> ResultType | Uncertain:
    """Return the result of a transaction, Uncertain if it can't be read."""
    try:
        return msgspec.json.decode(response.content, type=result_type)
    except DECODING_ERRORS as error:
        return Uncertain(str(error))
