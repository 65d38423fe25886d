"""
cyclamenshift.platforms.http
============================

The platform over HTTP, with JSON bodies.
"""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypedDict, TypeVar

import httpx
import msgspec
import trio

from ..clock import SECOND_MS
from ..platform import (
    Committed,
    CommitResult,
    Conflict,
    ListedVm,
    Platform,
    Row,
    Transaction,
    Uncertain,
    Unavailable,
)
from ..plugin import register

if TYPE_CHECKING:
    from ..kernel import Kernel

ResultType = TypeVar('ResultType')

#: Errors after which the platform certainly saw nothing of the call.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _Versions(TypedDict):
    versions: dict[str, int]


class _Moved(TypedDict):
    conflicts: list[str]


@register
class HttpPlatform(Platform):
    """Calls the platform at ``platform.address``."""

    name = 'http'

    def __init__(self, kernel: 'Kernel') -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        settings = kernel.settings['platform']
        self.client = httpx.AsyncClient(
            base_url=settings['address'],
            timeout=settings['timeout'] / SECOND_MS,
        )
        self.last_error = ''

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the connections until cancelled."""
        async with self.client:
            await super().run(task_status)

    async def read(self, keys: Sequence[str]) -> list[Row] | Unavailable:
        """Return one row for each key, at one moment."""
        return await self._rows('/table/read', {'keys': list(keys)})

    async def scan(self, prefix: str) -> list[Row] | Unavailable:
        """Return the rows whose keys start with *prefix*."""
        return await self._rows('/table/scan', {'prefix': prefix})

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply *transaction* whole, or not at all."""
        response = await self._call('POST', '/table/commit', transaction)
        if not isinstance(response, httpx.Response):
            return self._count('commit', response)
        if response.status_code == HTTPStatus.CONFLICT:
            moved = msgspec.json.decode(response.content, type=_Moved)
            return self._count('commit', Conflict(tuple(moved['conflicts'])))
        if response.status_code == HTTPStatus.OK:
            done = msgspec.json.decode(response.content, type=_Versions)
            return self._count('commit', Committed(done['versions']))
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

    async def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return the lagging list of live and leaving VMs."""
        response = await self._call('GET', '/vms', None)
        if isinstance(response, httpx.Response) and response.is_success:
            return msgspec.json.decode(response.content, type=list[ListedVm])
        return Unavailable('The list of VMs could not be read.')

    def dump(self) -> dict[str, Any]:
        """Return the address and the last error."""
        return {
            'address': str(self.client.base_url),
            'last_error': self.last_error,
        }

    async def _rows(self, path: str, query: Any) -> list[Row] | Unavailable:
        response = await self._call('POST', path, query)
        if isinstance(response, httpx.Response) and response.is_success:
            self._count('read', None)
            return msgspec.json.decode(response.content, type=list[Row])
        reason = 'The table could not be read.'
        return self._count('read', Unavailable(reason))

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
    ) -> httpx.Response | Unavailable | Uncertain:
        raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
        try:
            return await self.client.request(method, path, content=raw)
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
