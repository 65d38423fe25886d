"""
cyclamenshift.controls.membership
=================================

Registers this entry VM and tracks the registrations of the others.
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
    HistoryLost,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Write,
)

#: The fixed width of a timestamp in ms, so that incarnations sort by time.
TIMESTAMP_DIGITS = 13


@register
class Membership(Control):
    """Tracks the registered entry VMs; Peer knows which of them are alive."""

    name = 'membership'
    stage: ClassVar[int] = 3

    def __init__(self, kernel: Host) -> None:
        """Start with this entry VM as the only one known."""
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
            answers_probes=kernel.settings['entry']['work'] == 'jobs',
            adjusts_heartbeats=True,
        )
        self.registered: dict[str, EntryVm] = {}
        self.version = ABSENT
        self.read_version = ABSENT
        self.changed = trio.Event()
        self._refresh_requested = trio.Event()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register, then read the registrations with each poll."""
        await self.refresh()
        task_status.started()
        poll = self.kernel.settings['store']['poll']
        while True:
            with self.clock.move_on_after(poll):
                await self._refresh_requested.wait()
            self._refresh_requested = trio.Event()
            await self.refresh()

    def refresh_if_unknown(self, entry_id: str, incarnation: str) -> None:
        """Request a refresh if the connecting peer is not known yet."""
        known = self.registered.get(entry_id)
        if known is None or known.incarnation != incarnation:
            self._refresh_requested.set()

    async def refresh(self) -> None:
        """Register if that is not done yet, and read the registrations."""
        if self.version == ABSENT and not self.kernel.draining:
            await self._register()
        snapshot = await self._read_changes()
        if isinstance(snapshot, Unavailable):
            return
        registered = {} if self.read_version == ABSENT else self.registered
        self.read_version = max(self.read_version, snapshot.version)
        registered = registered.copy()
        for row in snapshot.rows:
            entry = self._read_entry(row)
            if entry is None:
                registered.pop(row.key.name, None)
            elif entry.entry_id != self.own.entry_id:
                registered[entry.entry_id] = entry
        if registered != self.registered:
            self.registered = registered
            self.changed.set()
            self.changed = trio.Event()

    async def announce_leaving(self) -> None:
        """Delete the registration, if it still belongs to this process."""
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
        """Return this entry VM and the other registered ones."""
        return {
            'own': self.own._asdict(),
            'registered': sorted(self.registered),
        }

    async def _read_changes(self) -> Snapshot | Unavailable:
        """Read what has changed since the last read, at first all rows."""
        if self.read_version != ABSENT:
            changes = await self.store.follow(ENTRY_TABLE, self.read_version, 0)
            if not isinstance(changes, HistoryLost):
                return changes
            self.read_version = ABSENT
        return await self.store.scan(ENTRY_TABLE)

    def _read_entry(self, row: Row) -> EntryVm | None:
        if row.version == ABSENT:
            return None
        try:
            fields = decode_row(row, EntryRow)
        except ProtocolError as error:
            self.log.error('Invalid registration.', problem=str(error))
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
            answers_probes=self.own.answers_probes,
            adjusts_heartbeats=self.own.adjusts_heartbeats,
        )
        transaction = Transaction((), (Write(key, row),))
        result = await self.store.commit(transaction)
        if isinstance(result, Committed):
            self.version = result.version
        else:
            self.log.warning(
                'Registration not confirmed.',
                result=type(result).__name__,
            )


def _new_incarnation(clock: Clock) -> str:
    """Return a unique id that sorts after those of earlier processes."""
    started = str(clock.wall_time()).zfill(TIMESTAMP_DIGITS)
    return started + uuid.uuid4().hex
