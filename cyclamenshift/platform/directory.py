"""
cyclamenshift.platform.directory
================================

The directory, read from the operator's rows and the worker registrations.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

import trio

from ..component import Dump, Host
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

#: Duration of a long poll for changes of the operator's rows, ms.  It is
#: short enough that a new configuration is active in time even if one poll
#: hangs.
OPERATOR_WAIT_MS: Final = 1_500
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

    While ``scanned`` is false, the next read must scan the whole table, not
    before ``next_scan``, monotonic ms.
    """

    table: str
    version: int
    scanned: bool
    next_scan: int = 0


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
            cursor = await self._update(cursor, OPERATOR_WAIT_MS)

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
        """Apply the changes after *cursor*, or read the whole table."""
        next_scan = cursor.next_scan
        asked_at = self.clock.now()
        if cursor.scanned:
            result = await self.store.follow(cursor.table, cursor.version, wait)
        else:
            await self.clock.sleep(self.clock.remaining(next_scan))
            asked_at = self.clock.now()
            next_scan = asked_at + MIN_SCAN_INTERVAL_MS
            result = await self.store.scan(cursor.table)
        if isinstance(result, HistoryLost):
            return cursor._replace(scanned=False)
        if isinstance(result, Unavailable):
            await self.clock.sleep(RETRY_DELAY_MS)
            return cursor
        if cursor.table == WORKER_TABLE:
            self._apply_registrations(result, full_scan=not cursor.scanned)
        else:
            self._apply_operator_rows(result)
        self.confirmed_at[cursor.table] = asked_at
        version = max(cursor.version, result.version)
        return TableCursor(cursor.table, version, True, next_scan)

    def _apply_operator_rows(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            if row.key.name == CONFIG_KEY:
                self._apply_config(row)
            elif row.key.name.startswith(MAINTENANCE_PREFIX):
                self._apply_maintenance(row)
        if snapshot.rows:
            self._notify_change()

    def _apply_config(self, row: Row) -> None:
        body = convert(row.fields, ConfigBody)
        if isinstance(body, Unreadable):
            self._record_unreadable(row, body)
        elif self._catalog is None or body['version'] > self._catalog.version:
            self._catalog = decode_catalog(body)
            unconfirmed = self.clock.now() - self.confirmed_at[OPERATOR_TABLE]
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
        snapshot: Snapshot,
        *,
        full_scan: bool,
    ) -> None:
        previous = dict(self._workers)
        if full_scan:
            self._workers.clear()
        for row in snapshot.rows:
            worker = self._decode_registration(row)
            if worker is None:
                self._workers.pop(row.key.name, None)
            else:
                self._workers[row.key.name] = worker
        if self._workers != previous:
            self._notify_change()

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
