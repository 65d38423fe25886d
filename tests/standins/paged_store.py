"""
tests.standins.paged_store
==========================

The pages of the platform's store, behind a client in the same process.
"""

from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from cyclamenshift.http1 import Address, Request, Response, Result
from cyclamenshift.platform.rows import encode_transaction
from cyclamenshift.store import Fields, Key, Transaction, Write
from cyclamenshift.table import Table

#: The most rows that the platform returns in one page.
MAX_PAGE_ROWS = 500


class PagedStoreClient:
    """
    Answers ``rows-get`` calls from a table.

    ``insertions`` are rows that are written after a page was read, one after
    each page.  ``page_sizes`` has the number of bytes of each page.
    """

    def __init__(self) -> None:
        """Start with an empty table."""
        self.table = Table()
        self.insertions: list[Write] = []
        self.page_sizes: list[int] = []
        self.opened = 0

    async def call(self, address: Address, request: Request) -> Result:
        """Return the response to a call of the store."""
        query = {
            name: texts[0]
            for name, texts in parse_qs(urlsplit(request.target).query).items()
        }
        body = msgspec.json.encode(self.page(query))
        self.page_sizes.append(len(body))
        if self.insertions:
            write = self.insertions.pop(0)
            self.table.commit(Transaction((), (write,)))
        return Response(200, {}, body)

    def page(self, query: dict[str, str]) -> dict[str, Any]:
        """Return one page of the rows that *query* names."""
        scanned = self.table.scan(query['table'], query.get('part', ''))
        limit = min(MAX_PAGE_ROWS, int(query.get('limit', MAX_PAGE_ROWS)))
        start = query.get('from', '')
        rows = [row for row in scanned.rows if row.key.name >= start]
        return {
            'rows': [
                row_body(row.key, row.version, row.fields)
                for row in rows[:limit]
            ],
            'hasMore': len(rows) > limit,
            'ver': self.table.version,
        }


def row_body(key: Key, version: int, fields: Fields) -> dict[str, Any]:
    """Return a row as the platform's store sends it."""
    write = Write(key, fields)
    body = encode_transaction(Transaction((), (write,)))
    return {**body['puts'][0], 'ver': version}
