"""
tests.standins.slow_link
========================

The platform's store behind a link of limited rate, in the same process.
"""

from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.http1 import (
    TRANSFER_TIMEOUT_MS,
    Address,
    NoResponse,
    Request,
    Response,
    Result,
)
from cyclamenshift.store import Key, Row, Transaction, Write

from .paged_store import PagedStoreClient, row_body

#: The duration of a call that transfers nothing, ms.
CALL_MS = 4
#: The interval at which a long poll looks for changes, ms.
POLL_INTERVAL_MS = 10


class SlowLinkClient(PagedStoreClient):
    """
    Answers ``rows-get`` and ``rows-feed`` calls at ``rate`` bytes per ms.

    While ``rejecting`` is set, connections are reset.  Like the platform's,
    the feed brings each version of a row, not only the newest.  Like the real
    client, it doesn't give up a response whose bytes keep coming.
    """

    def __init__(self, rate: float) -> None:
        """Start with an empty table and accept calls."""
        super().__init__()
        self.rate = rate
        self.rejecting = False

    def put(self, key: Key, fields: dict[str, Any]) -> None:
        """Write a row as the operator does."""
        self.table.commit(Transaction((), (Write(key, fields),)))

    async def call(self, address: Address, request: Request) -> Result:
        """Return the response once the link has carried it."""
        await trio.sleep(CALL_MS / MS_PER_SECOND)
        if self.rejecting:
            return NoResponse('connection lost: ConnectionResetError')
        body = msgspec.json.encode(await self._answer(request))
        transfer = min(len(body) / self.rate, TRANSFER_TIMEOUT_MS)
        await trio.sleep(transfer / MS_PER_SECOND)
        if transfer >= TRANSFER_TIMEOUT_MS:
            return NoResponse('no answer in time')
        return Response(200, {}, body)

    async def _answer(self, request: Request) -> dict[str, Any]:
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        if parts.path.endswith('rows-get'):
            return self.page(query)
        deadline = trio.current_time() + int(query['waitMs']) / MS_PER_SECOND
        rows = self._changes(query)
        while not rows and trio.current_time() < deadline:
            await trio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
            rows = self._changes(query)
        return {
            'rows': [row_body(*row) for row in rows],
            'ver': self.table.version,
        }

    def _changes(self, query: dict[str, str]) -> list[Row]:
        after = int(query['after'])
        return [
            row
            for version, row in self.table.history
            if version > after and row.key.table == query['table']
        ]
