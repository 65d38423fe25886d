"""
cyclamenshift.controls.acquirer
===============================

Acquires domains by conditional writes of their owner rows.
"""

from typing import Final

from ..component import Host
from ..decisions.owners import (
    HolderStatus,
    held_by_predecessor,
    may_take_over,
    next_owner_row,
    was_replaced,
)
from ..duty import OwnershipTerm
from ..jobmessages import HolderQuery
from ..ownerrows import OwnerRow, owner_key
from ..logs import get_logger
from ..store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
    get_store_client,
)
from .holder_probe import HolderProbe
from .holders import Holders
from .membership import Membership

#: The range of the delay before peers are asked about a holder again, ms.  It
#: grows while the domain is vacant, but a holder that dies later must be
#: replaced within a lease.
MIN_PROBE_DELAY_MS: Final = 300
MAX_PROBE_DELAY_MS: Final = 2_000
#: The delay before a commit with an uncertain result is retried, ms.
COMMIT_RETRY_DELAY_MS: Final = 100


class Acquirer:
    """Takes domains that are vacant, or whose holder is lost."""

    def __init__(
        self, host: Host, holders: Holders, probe: HolderProbe
    ) -> None:
        """Ask peers about a holder with *probe*."""
        self.clock = host.clock
        self.store = get_store_client(host)
        self.own = host.get(Membership).own
        self.holders = holders
        self.probe = probe
        self.log = get_logger('ownership')

    async def acquire(
        self,
        domain: str,
        vacant_since: int,
    ) -> OwnershipTerm | None:
        """
        Acquire *domain*; return None if that is not possible now.

        It has had no known owner since *vacant_since*, monotonic ms.
        """
        key = owner_key(domain)
        sent_at = self.clock.now()
        rows = await self.store.read([key])
        if isinstance(rows, Unavailable):
            return None
        status = self.holders.status_of(domain, rows[0])
        if status and not await self._may_take_over(
            domain, status, vacant_since
        ):
            return None
        takeover = self.holders.describe(status, vacant_since)
        row = next_owner_row(rows[0], self.own)
        version = await self._write(rows[0], row)
        if version == ABSENT:
            return None
        term = OwnershipTerm(domain, row, version, sent_at)
        term.takeover = takeover
        term.resumed = held_by_predecessor(rows[0], self.own)
        return term

    async def _may_take_over(
        self,
        domain: str,
        status: HolderStatus,
        vacant_since: int,
    ) -> bool:
        if not may_take_over(status):
            return False
        if was_replaced(status):
            return True
        holder = status.row
        query = HolderQuery(domain, holder['holder'], holder['epoch'])
        vacant_for = self.clock.now() - vacant_since
        if await self.probe.confirms_loss(query, status, vacant_for):
            return True
        self.log.note('Domain left to its holder.', **query._asdict())
        delay = max(MIN_PROBE_DELAY_MS, vacant_for // 2)
        await self.clock.sleep(min(delay, MAX_PROBE_DELAY_MS))
        return False

    async def _write(self, current: Row, row: OwnerRow) -> int:
        """Replace *current*; return the new version, or ABSENT on failure."""
        key = current.key
        transaction = Transaction(
            (Check(key, current.version),),
            (Write(key, row),),
        )
        result = await self.store.commit(transaction)
        while isinstance(result, Uncertain):
            await self.clock.sleep(COMMIT_RETRY_DELAY_MS)
            result = await self.store.commit(transaction)
        if isinstance(result, Committed):
            return result.version
        if isinstance(result, Conflict) and result.rows[0].fields == row:
            return result.rows[0].version
        return ABSENT
