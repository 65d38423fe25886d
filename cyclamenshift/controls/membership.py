"""
cyclamenshift.controls.membership
=================================

Registers this entry VM and follows the registrations of the others.
"""

import uuid
from typing import ClassVar

import trio

from ..clock import Clock
from ..component import Dump, Host
from ..control import Control
from ..errors import ProtocolError
from ..model import EntryVm
from ..plugin import register
from ..rows import ENTRY_TABLE, EntryRow, decode_row, entry_key
from ..store import (
    ABSENT,
    Check,
    Committed,
    Row,
    Store,
    Transaction,
    Unavailable,
    Write,
)

#: Enough digits for the milliseconds since the epoch.
WALL_DIGITS = 13


@register
class Membership(Control):
    """Knows which entry VMs are registered; peers tell which are alive."""

    name = 'membership'
    stage: ClassVar[int] = 3

    def __init__(self, kernel: Host) -> None:
        """Know only this entry VM."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        entry = kernel.settings['entry']
        listen = kernel.settings['peers']
        self.own = EntryVm(
            entry_id=entry['id'],
            data_centre=entry['data_centre'],
            host=listen['host'],
            port=listen['port'],
            incarnation=_new_incarnation(self.clock),
            size=entry['size'],
        )
        self.registered: dict[str, EntryVm] = {}
        self.version = ABSENT
        self.changed = trio.Event()
        self._hint = trio.Event()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register, then follow the others with each poll."""
        await self.refresh()
        task_status.started()
        poll = self.kernel.settings['store']['poll']
        while True:
            with self.clock.move_on_after(poll):
                await self._hint.wait()
            self._hint = trio.Event()
            await self.refresh()

    def refresh_if_unknown(self, entry_id: str, incarnation: str) -> None:
        """Refresh now if a peer that greets is not known yet."""
        known = self.registered.get(entry_id)
        if known is None or known.incarnation != incarnation:
            self._hint.set()

    async def refresh(self) -> None:
        """Register if need be, and read the registrations."""
        if self.version == ABSENT and not self.kernel.draining:
            await self._register()
        scanned = await self.store.scan(ENTRY_TABLE)
        if isinstance(scanned, Unavailable):
            return
        registered = {}
        for row in scanned.rows:
            entry = self._read_entry(row)
            if entry and entry.entry_id != self.own.entry_id:
                registered[entry.entry_id] = entry
        if registered != self.registered:
            self.registered = registered
            self.changed.set()
            self.changed = trio.Event()

    async def announce_leaving(self) -> None:
        """Take the registration away, if it is still this process's own."""
        if self.version == ABSENT:
            return
        key = entry_key(self.own.entry_id)
        await self.store.commit(
            Transaction(
                (Check(key, self.version),),
                (Write(key, None),),
            ),
        )
        self.version = ABSENT

    def dump(self) -> Dump:
        """Return this entry VM and the registered others."""
        return {
            'own': self.own._asdict(),
            'registered': sorted(self.registered),
        }

    def _read_entry(self, row: Row) -> EntryVm | None:
        try:
            fields = decode_row(row, EntryRow)
        except ProtocolError as error:
            self.log.error('A registration is not read.', problem=str(error))
            return None
        return EntryVm(entry_id=row.key.name, **fields)

    async def _register(self) -> None:
        key = entry_key(self.own.entry_id)
        row = EntryRow(
            data_centre=self.own.data_centre,
            host=self.own.host,
            port=self.own.port,
            incarnation=self.own.incarnation,
            size=self.own.size,
        )
        transaction = Transaction((), (Write(key, row),))
        result = await self.store.commit(transaction)
        if isinstance(result, Committed):
            self.version = result.version
        else:
            self.log.warning(
                'Not registered yet.',
                result=type(result).__name__,
            )


def _new_incarnation(clock: Clock) -> str:
    """Return a name for this process that sorts after earlier ones."""
    started = str(clock.wall_time()).zfill(WALL_DIGITS)
    return started + uuid.uuid4().hex
