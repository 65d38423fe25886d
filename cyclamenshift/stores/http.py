"""
cyclamenshift.stores.http
============================

A store over HTTP, with JSON bodies.
"""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

import httpx
import msgspec
import trio

from ..clock import MS_PER_SECOND
from ..component import Host
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

#: Errors after which the store certainly saw nothing of the call.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@register
class HttpStore(Store):
    """Calls the store at ``store.address``."""

    name = 'http'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        settings = kernel.settings['store']
        self.timeout = settings['timeout']
        self.client = httpx.AsyncClient(base_url=settings['address'])
        self.last_error = ''

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections until cancelled."""
        async with self.client:
            await super().run(task_status)

    async def read(self, keys: Sequence[Key]) -> list[Row] | Unavailable:
        """Return one row for each key, at one moment."""
        return await self._ask('/table/read', {'keys': keys}, list[Row])

    async def scan(
        self,
        table: str,
        partition: str = '',
    ) -> Snapshot | Unavailable:
        """Return the rows of one part of a table."""
        query = {'table': table, 'part': partition}
        return await self._ask('/table/scan', query, Snapshot)

    async def follow(
        self,
        table: str,
        version: int,
        wait: int,
    ) -> Snapshot | HistoryLost | Unavailable:
        """Return the rows of a table that changed after *version*."""
        query = {'table': table, 'version': version, 'wait': wait}
        response = await self._call('POST', '/table/follow', query, wait)
        if not isinstance(response, httpx.Response):
            return self._count('follow', Unavailable(response.reason))
        if response.status_code == HTTPStatus.GONE:
            return self._count('follow', HistoryLost())
        return self._count('follow', _decode(response, Snapshot))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""
        response = await self._call('POST', '/table/commit', transaction)
        if not isinstance(response, httpx.Response):
            return self._count('commit', response)
        if response.status_code == HTTPStatus.CONFLICT:
            conflict = msgspec.json.decode(response.content, type=Conflict)
            return self._count('commit', conflict)
        if response.status_code == HTTPStatus.OK:
            done = msgspec.json.decode(response.content, type=Committed)
            return self._count('commit', done)
        if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
            return self._count('commit', Unavailable(response.text))
        return self._count('commit', Uncertain(response.text))

    async def put_object(self, name: str, body: bytes) -> bool:
        """Store *body*; return whether it is certainly there."""
        response = await self._call('PUT', f'/objects/{name}', body)
        return isinstance(response, httpx.Response) and response.is_success

    async def get_object(self, name: str) -> bytes | Unavailable:
        """Return the object, or Unavailable if it can't be had."""
        response = await self._call('GET', f'/objects/{name}', None)
        if isinstance(response, httpx.Response) and response.is_success:
            return response.content
        return Unavailable(f'The object {name} could not be read.')

    def dump(self) -> dict[str, Any]:
        """Return the address and the last error."""
        return {
            'address': str(self.client.base_url),
            'last_error': self.last_error,
        }

    async def _ask(
        self,
        path: str,
        query: Any,
        shape: type[ResultType],
    ) -> ResultType | Unavailable:
        response = await self._call('POST', path, query)
        if isinstance(response, httpx.Response):
            return self._count('read', _decode(response, shape))
        return self._count('read', Unavailable(response.reason))

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        wait: int = 0,
    ) -> httpx.Response | Unavailable | Uncertain:
        raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
        try:
            return await self.client.request(
                method,
                path,
                content=raw,
                timeout=(self.timeout + wait) / MS_PER_SECOND,
            )
        except NOT_SENT as error:
            self.last_error = f'{type(error).__name__} on {path}'
            return Unavailable(self.last_error)
        except httpx.HTTPError as error:
            self.last_error = f'{type(error).__name__} on {path}'
            return Uncertain(self.last_error)

    def _count(self, operation: str, result: ResultType) -> ResultType:
        labels = {'operation': operation, 'result': type(result).__name__}
        self.kernel.metrics.store_calls.inc(labels)
        return result


def _decode(
    response: httpx.Response,
    shape: type[ResultType],
) -> ResultType | Unavailable:
    if response.is_success:
        return msgspec.json.decode(response.content, type=shape)
    return Unavailable(f'The store answered {response.status_code}.')
