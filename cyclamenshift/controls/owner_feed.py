"""
cyclamenshift.controls.owner_feed
=================================

Follows the rows of the owners of domains in the store.
"""

from collections.abc import Callable, Sequence
from typing import Final

import trio

from ..clock import Clock
from ..errors import ProtocolError
from ..ownerrows import (
    ANSWER_NAME,
    CHALLENGE_NAME,
    HOLDER_NAME,
    OWNER_TABLE,
    owner_key,
)
from ..logs import get_logger
from ..store import HistoryLost, Row, StoreClient, Unavailable
from .challenges import Challenges

#: How long the store may hold a call while no row changes, ms.  A connection
#: that has silently ended delays the news of a new owner by as much.
FOLLOW_WAIT_MS: Final = 3_000
#: The pause between two calls, ms: a restart of all changes every row.
PAUSE_MS: Final = 50
#: The delay before a failed call is repeated, ms.
RETRY_DELAY_MS: Final = 300
#: The minimum time between two reads of all rows, ms.  While the store drops
#: its history all the time, each call would cause one.
MIN_READ_INTERVAL_MS: Final = 1_000


class OwnerFeed:
    """Passes the rows of each domain on, at first and after a change."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        challenges: Challenges,
        on_holder: Callable[[Row], None],
    ) -> None:
        """Create a feed that passes the row of each holder to *on_holder*."""
        self.clock = clock
        self.store = store
        self.challenges = challenges
        self.on_holder = on_holder
        self.log = get_logger('ownership')

    async def run(self, get_domains: Callable[[], Sequence[str]]) -> None:
        """Follow the rows until cancelled, after reading those that exist."""
        async with trio.open_nursery() as nursery:
            while True:
                next_read = self.clock.now() + MIN_READ_INTERVAL_MS
                version = await self._read_all(get_domains(), nursery)
                if version is None:
                    await self.clock.sleep(RETRY_DELAY_MS)
                else:
                    await self._follow(version, nursery)
                    await self.clock.sleep(self.clock.remaining(next_read))

    async def _read_all(
        self, domains: Sequence[str], nursery: trio.Nursery
    ) -> int | None:
        """Pass all rows on; return the version to follow, None on failure."""
        first = await self.store.scan(OWNER_TABLE, domains[0])
        rows = await self.store.read([owner_key(name) for name in domains])
        if isinstance(first, Unavailable) or isinstance(rows, Unavailable):
            return None
        for row in rows:
            self._pass_on(row, nursery)
        return first.version

    async def _follow(self, version: int, nursery: trio.Nursery) -> None:
        """Pass changed rows on until the store has lost its history."""
        while True:
            changes = await self.store.follow(
                OWNER_TABLE, version, FOLLOW_WAIT_MS
            )
            if isinstance(changes, HistoryLost):
                return
            if isinstance(changes, Unavailable):
                await self.clock.sleep(RETRY_DELAY_MS)
                continue
            for row in changes.rows:
                self._pass_on(row, nursery)
            version = max(version, changes.version)
            await self.clock.sleep(PAUSE_MS)

    def _pass_on(self, row: Row, nursery: trio.Nursery) -> None:
        """Apply a row of a domain; an invalid one has no effect."""
        try:
            if row.key.name == HOLDER_NAME:
                self.on_holder(row)
            elif row.key.name == CHALLENGE_NAME:
                self.challenges.answer(row, nursery)
            elif row.key.name == ANSWER_NAME:
                self.challenges.record_answer(row)
        except ProtocolError as error:
            self.log.error('Invalid row of a domain.', problem=str(error))
