"""
cyclamenshift.platform.directory
================================

The directory, read from the operator's rows and the worker registrations.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import trio

from ..component import Dump, Host
from ..directory import Catalog, Directory, Maintenance
from ..job import JobState
from ..plugin import register
from ..store import (
    ABSENT,
    Committed,
    Key,
    Row,
    Transaction,
    Write,
    get_store_client,
)
from ..worker import Worker
from .accounts import note_accounts_without_keys
from .configuration import (
    CONFIG_KEY,
    MAINTENANCE_PREFIX,
    ConfigBody,
    MaintenanceBody,
    decode_catalog,
    decode_maintenance,
)
from .registrations import WorkerBody, decode_worker
from .table_follower import TableFollower, TableUpdate
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
        self.operator_rows = TableFollower(
            self.store, self.clock, OPERATOR_TABLE
        )
        self.registrations = TableFollower(self.store, self.clock, WORKER_TABLE)
        self._changed = trio.Event()
        self._confirmed = trio.Event()
        self._watcher_added = trio.Event()

    @property
    def catalog(self) -> Catalog | None:
        """The active configuration, None before the first is read."""
        return self._catalog

    @property
    def catalog_age(self) -> int:
        """How long ago the configuration was last known to be current, ms."""
        return self.operator_rows.age

    @property
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers by id, kept current while watched."""
        return self._workers

    @property
    def workers_age(self) -> int:
        """How long ago the workers were last known to be current, ms."""
        return self.registrations.age

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
            while self.operator_rows.age > age:
                await self._confirmed.wait()
        return self.operator_rows.age <= age

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
                follower.table: follower.age
                for follower in (self.operator_rows, self.registrations)
            },
            'workers': sorted(self._workers),
            'maintenances': sorted(self._maintenances),
            'unreadable': self.unreadable_rows,
        }

    async def _follow_operator_rows(self) -> None:
        follower = self.operator_rows
        while True:
            wait = max(0, OPERATOR_AGE_MS - follower.age)
            update = await follower.read(wait)
            if update is None:
                continue
            changed = self._apply_operator_rows(update.rows)
            follower.confirm(update, changed=changed)
            self._confirmed.set()
            self._confirmed = trio.Event()
            if changed:
                self._notify_change()

    async def _follow_registrations(self) -> None:
        follower = self.registrations
        while True:
            if not self.watchers:
                self._watcher_added = trio.Event()
                await self._watcher_added.wait()
                follower.restart()
            update = await follower.read(0)
            if update is not None:
                changed = self._apply_registrations(update)
                follower.confirm(update, changed=changed)
                if changed:
                    self._notify_change()
            await self.clock.sleep(WORKERS_POLL_MS)

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
            catalog = decode_catalog(body)
            if isinstance(catalog, Unreadable):
                self._record_unreadable(row, catalog)
            else:
                self._activate(catalog)

    def _activate(self, catalog: Catalog) -> None:
        self._catalog = catalog
        unconfirmed = self.operator_rows.age
        load = self.kernel.metrics.load
        load.activation_lag_ms.record(unconfirmed)
        self.log.note(
            'Configuration activated.',
            version=catalog.version,
            unconfirmed_ms=unconfirmed,
        )
        note_accounts_without_keys(catalog.accounts.values())

    def _apply_maintenance(self, row: Row) -> None:
        body = convert(row.fields, MaintenanceBody)
        if isinstance(body, Unreadable):
            self._record_unreadable(row, body)
        else:
            maintenance = decode_maintenance(body)
            self._maintenances[maintenance.number] = maintenance

    def _apply_registrations(self, update: TableUpdate) -> bool:
        """Apply the newest rows; return whether anything has changed."""
        previous = dict(self._workers)
        if update.full_scan:
            self._workers.clear()
        for row in update.rows:
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
