"""
cyclamenshift.platform.directory
================================

The directory, read from the operator's rows and the worker registrations.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import trio

from ..component import Dump, Host
from ..decisions.catchup import TableRead, should_scan
from ..directory import Catalog, Directory, Maintenance
from ..job import JobState
from ..plugin import register
from ..store import (
    ABSENT,
    Committed,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Write,
    get_store_client,
)
from ..worker import Worker
from .configuration import (
    CONFIG_KEY,
    MAINTENANCE_PREFIX,
    ConfigBody,
    MaintenanceBody,
    decode_catalog,
    decode_maintenance,
)
from .registrations import WorkerBody, decode_worker
from .wire import (
    OPERATOR_TABLE,
    STATUS_TABLE,
    WORKER_TABLE,
    Unreadable,
    convert,
)

#: The age to which the view of the operator's rows may grow while a long poll
#: waits for a change, ms.  A new configuration is active in time even if one
#: poll hangs.
OPERATOR_AGE_MS: Final = 1_000
#: Interval between polls of the registrations, ms.  Long polls don't help
#: here, because heartbeats change the registrations all the time.
WORKERS_POLL_MS: Final = 150
#: Minimum time between two scans of a table, ms.  While the store drops its
#: history all the time, each poll would cause one.
MIN_SCAN_INTERVAL_MS: Final = 700
#: Delay after a failed call, ms.
RETRY_DELAY_MS: Final = 200


class TableCursor(NamedTuple):
    """
    The version up to which a table was read.

    While ``scanned`` is false, the next read must scan the whole table.  No
    scan starts before ``next_scan``, monotonic ms.
    """

    table: str
    version: int
    scanned: bool
    next_scan: int = 0
    last_read: TableRead = TableRead(True, False, False)


@register
class PlatformDirectory(Directory):
    """Follows the operator's rows and the registrations, in a task each."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Create an empty directory; ``run`` fills it."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self._catalog: Catalog | None = None
        self._workers: dict[str, Worker] = {}
        self._maintenances: dict[int, Maintenance] = {}
        self.watchers: set[str] = set()
        self.unreadable_rows: dict[str, str] = {}
        self.confirmed_at = dict.fromkeys(
            (OPERATOR_TABLE, WORKER_TABLE), self.clock.now()
        )
        self._changed = trio.Event()
        self._confirmed = trio.Event()
        self._watcher_added = trio.Event()

    @property
    def catalog(self) -> Catalog | None:
        """The active configuration, None before the first is read."""
        return self._catalog

    @property
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers by id, kept current while watched."""
        return self._workers

    @property
    def maintenances(self) -> Mapping[int, Maintenance]:
        """The requested maintenances by number."""
        return self._maintenances

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            nursery.start_soon(self._follow_operator_rows)
            nursery.start_soon(self._follow_registrations)

    async def wait_until_current(self, age: int, wait: int) -> bool:
        """Wait until the configuration was confirmed at most *age* ms ago."""
        with self.clock.move_on_after(wait):
            while self._age_of(OPERATOR_TABLE) > age:
                await self._confirmed.wait()
        return self._age_of(OPERATOR_TABLE) <= age

    async def wait_for_change(self) -> None:
        """Wait until the catalog, the workers or the maintenances change."""
        await self._changed.wait()

    def watch_workers(self, name: str, *, wanted: bool) -> None:
        """Register or remove *name* as a watcher of the workers."""
        if wanted:
            self.watchers.add(name)
            self._watcher_added.set()
        else:
            self.watchers.discard(name)

    async def publish_maintenance(
        self,
        maintenance: int,
        state: JobState,
    ) -> bool:
        """Publish the state of a maintenance in the status table."""
        key = Key(STATUS_TABLE, f'{MAINTENANCE_PREFIX}{maintenance}')
        fields = {'wave': maintenance, 'state': str(state)}
        result = await self.store.commit(
            Transaction((), (Write(key, fields),)),
        )
        return isinstance(result, Committed)

    def dump(self) -> Dump:
        """Return the active version, the ids and the unreadable rows."""
        return {
            'version': self._catalog.version if self._catalog else None,
            'confirmed_ms_ago': {
                table: self.clock.now() - confirmed_at
                for table, confirmed_at in self.confirmed_at.items()
            },
            'workers': sorted(self._workers),
            'maintenances': sorted(self._maintenances),
            'unreadable': self.unreadable_rows,
        }

    async def _follow_operator_rows(self) -> None:
        cursor = TableCursor(OPERATOR_TABLE, ABSENT, scanned=False)
        while True:
            age = self._age_of(OPERATOR_TABLE)
            cursor = await self._update(cursor, max(0, OPERATOR_AGE_MS - age))

    async def _follow_registrations(self) -> None:
        cursor = TableCursor(WORKER_TABLE, ABSENT, scanned=False)
        while True:
            if not self.watchers:
                self._watcher_added = trio.Event()
                await self._watcher_added.wait()
                cursor = cursor._replace(scanned=False)
            cursor = await self._update(cursor, 0)
            await self.clock.sleep(WORKERS_POLL_MS)

    async def _update(self, cursor: TableCursor, wait: int) -> TableCursor:
        """Apply the changes after *cursor*, or the newest rows."""
        if not cursor.scanned:
            await self.clock.sleep(self.clock.remaining(cursor.next_scan))
        asked_at = self.clock.now()
        full_scan = self._needs_scan(cursor, asked_at)
        result = await self._read(cursor, wait, full_scan=full_scan)
        if isinstance(result, HistoryLost):
            return cursor._replace(scanned=False)
        if isinstance(result, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            return cursor
        last_read = self._apply(cursor.table, result, full_scan=full_scan)
        held = 0 if full_scan or result.rows else wait
        self.confirmed_at[cursor.table] = asked_at + held
        self._confirmed.set()
        self._confirmed = trio.Event()
        return TableCursor(
            cursor.table,
            max(cursor.version, result.version),
            scanned=True,
            next_scan=(
                asked_at + MIN_SCAN_INTERVAL_MS
                if full_scan
                else cursor.next_scan
            ),
            last_read=last_read,
        )

    async def _read(
        self, cursor: TableCursor, wait: int, *, full_scan: bool
    ) -> Snapshot | HistoryLost | Unavailable:
        if full_scan:
            return await self.store.scan(cursor.table)
        return await self.store.follow(cursor.table, cursor.version, wait)

    def _needs_scan(self, cursor: TableCursor, now: int) -> bool:
        """Return whether to read the newest rows instead of the changes."""
        if not cursor.scanned:
            return True
        age = self._age_of(cursor.table)
        return now >= cursor.next_scan and should_scan(cursor.last_read, age)

    def _age_of(self, table: str) -> int:
        return self.clock.now() - self.confirmed_at[table]

    def _apply(
        self, table: str, snapshot: Snapshot, *, full_scan: bool
    ) -> TableRead:
        newest = {row.key: row for row in snapshot.rows}
        if table == WORKER_TABLE:
            changed = self._apply_registrations(
                newest.values(), full_scan=full_scan
            )
        else:
            changed = self._apply_operator_rows(newest.values())
        if changed:
            self._notify_change()
        return TableRead(full_scan, changed, len(newest) < len(snapshot.rows))

    def _apply_operator_rows(self, rows: Iterable[Row]) -> bool:
        """Apply the newest *rows*; return whether anything has changed."""
        previous = (self._catalog, dict(self._maintenances))
        for row in rows:
            if row.key.name == CONFIG_KEY:
                self._apply_config(row)
            elif row.key.name.startswith(MAINTENANCE_PREFIX):
                self._apply_maintenance(row)
        return previous != (self._catalog, self._maintenances)

    def _apply_config(self, row: Row) -> None:
        body = convert(row.fields, ConfigBody)
        if isinstance(body, Unreadable):
            self._record_unreadable(row, body)
        elif self._catalog is None or body['version'] > self._catalog.version:
            self._catalog = decode_catalog(body)
            unconfirmed = self._age_of(OPERATOR_TABLE)
            load = self.kernel.metrics.load
            load.activation_lag_ms.record(unconfirmed)
            self.log.note(
                'Configuration activated.',
                version=body['version'],
                unconfirmed_ms=unconfirmed,
            )

    def _apply_maintenance(self, row: Row) -> None:
        body = convert(row.fields, MaintenanceBody)
        if isinstance(body, Unreadable):
            self._record_unreadable(row, body)
        else:
            maintenance = decode_maintenance(body)
            self._maintenances[maintenance.number] = maintenance

    def _apply_registrations(
        self,
        rows: Iterable[Row],
        *,
        full_scan: bool,
    ) -> bool:
        """Apply the newest *rows*; return whether anything has changed."""
        previous = dict(self._workers)
        if full_scan:
            self._workers.clear()
        for row in rows:
            worker = self._decode_registration(row)
            if worker is None:
                self._workers.pop(row.key.name, None)
            else:
                self._workers[row.key.name] = worker
        return self._workers != previous

    def _decode_registration(self, row: Row) -> Worker | None:
        if row.version == ABSENT:
            return None
        body = convert(row.fields, WorkerBody)
        if isinstance(body, Unreadable):
            self._record_unreadable(row, body)
            return None
        worker = decode_worker(row.key.name, body)
        if isinstance(worker, Unreadable):
            self._record_unreadable(row, worker)
            return None
        return worker

    def _record_unreadable(self, row: Row, error: Unreadable) -> None:
        name = str(row.key)
        if self.unreadable_rows.get(name) != error.reason:
            self.unreadable_rows[name] = error.reason
            self.log.warning(
                'Unreadable row.',
                row=name,
                reason=error.reason,
            )

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
