"""
cyclamenshift.platform.directory
================================

Follows the operator's rows and the workers' registrations in the store.
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
    WaveBody,
    catalog_of,
    maintenance_of,
)
from .registrations import WorkerBody, worker_of
from .wire import (
    OPERATOR_TABLE,
    STATUS_TABLE,
    WORKER_TABLE,
    Unreadable,
    convert,
)

#: How long the store may wait for a change of the operator's rows, ms: a
#: poll that hangs ends in time for the bound of a configuration.
OPERATOR_WAIT_MS: Final = 1_500
#: How often the registrations are looked at, ms: their heartbeats change
#: them all the time, so that waiting for a change would not wait.
WORKERS_POLL_MS: Final = 150
#: The wait after a call that failed, ms.
RETRY_MS: Final = 200


class View(NamedTuple):
    """How far a table was read."""

    table: str
    version: int
    whole: bool


@register
class PlatformDirectory(Directory):
    """One task follows the operator's rows, one the registrations."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Know nothing yet."""
        super().__init__(kernel)
        self.store = get_store_client(kernel)
        self.present: Catalog | None = None
        self.registered: dict[str, Worker] = {}
        self.requested: dict[int, Maintenance] = {}
        self.watchers: set[str] = set()
        self.unreadable: dict[str, str] = {}
        self._news = trio.Event()
        self._watched = trio.Event()

    @property
    def catalog(self) -> Catalog | None:
        """The configuration in force."""
        return self.present

    @property
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers by id."""
        return self.registered

    @property
    def maintenances(self) -> Mapping[int, Maintenance]:
        """The requests for maintenance by number."""
        return self.requested

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            nursery.start_soon(self._follow_operator)
            nursery.start_soon(self._follow_workers)

    async def wait_for_change(self) -> None:
        """Wait until anything has changed."""
        await self._news.wait()

    def watch_workers(self, name: str, *, wanted: bool) -> None:
        """Follow the workers while anybody wants them."""
        if wanted:
            self.watchers.add(name)
            self._watched.set()
        else:
            self.watchers.discard(name)

    async def publish_maintenance(
        self,
        maintenance: int,
        state: JobState,
    ) -> bool:
        """Tell operators how a maintenance stands."""
        key = Key(STATUS_TABLE, f'{MAINTENANCE_PREFIX}{maintenance}')
        fields = {'wave': maintenance, 'state': str(state)}
        result = await self.store.commit(
            Transaction((), (Write(key, fields),)),
        )
        return isinstance(result, Committed)

    def dump(self) -> Dump:
        """Return the version in force, the workers, and what is no row."""
        return {
            'version': self.present.version if self.present else None,
            'workers': sorted(self.registered),
            'maintenances': sorted(self.requested),
            'unreadable': self.unreadable,
        }

    async def _follow_operator(self) -> None:
        view = View(OPERATOR_TABLE, ABSENT, whole=False)
        while True:
            view = await self._read(view, OPERATOR_WAIT_MS)

    async def _follow_workers(self) -> None:
        view = View(WORKER_TABLE, ABSENT, whole=False)
        while True:
            if not self.watchers:
                self._watched = trio.Event()
                await self._watched.wait()
                view = view._replace(whole=False)
            view = await self._read(view, 0)
            await self.clock.sleep(WORKERS_POLL_MS)

    async def _read(self, view: View, wait: int) -> View:
        """Take the changes since *view*, or the whole table."""
        if view.whole:
            found = await self.store.follow(view.table, view.version, wait)
        else:
            found = await self.store.scan(view.table)
        if isinstance(found, HistoryLost):
            return view._replace(whole=False)
        if isinstance(found, Unavailable):
            await self.clock.sleep(RETRY_MS)
            return view
        if view.table == WORKER_TABLE:
            self._take_workers(found, whole=not view.whole)
        else:
            self._take_operator(found)
        return View(view.table, max(view.version, found.version), whole=True)

    def _take_operator(self, found: Snapshot) -> None:
        for row in found.rows:
            if row.key.name == CONFIG_KEY:
                self._take_config(row)
            elif row.key.name.startswith(MAINTENANCE_PREFIX):
                self._take_maintenance(row)
        if found.rows:
            self._tell()

    def _take_config(self, row: Row) -> None:
        body = convert(row.fields, ConfigBody)
        if isinstance(body, Unreadable):
            self._refuse(row, body)
        elif self.present is None or body['version'] > self.present.version:
            self.present = catalog_of(body)
            self.log.note(
                'A configuration is in force.',
                version=body['version'],
            )

    def _take_maintenance(self, row: Row) -> None:
        body = convert(row.fields, WaveBody)
        if isinstance(body, Unreadable):
            self._refuse(row, body)
        else:
            maintenance = maintenance_of(body)
            self.requested[maintenance.number] = maintenance

    def _take_workers(self, found: Snapshot, *, whole: bool) -> None:
        before = dict(self.registered)
        if whole:
            self.registered.clear()
        for row in found.rows:
            worker = self._read_worker(row)
            if worker is None:
                self.registered.pop(row.key.name, None)
            else:
                self.registered[row.key.name] = worker
        if self.registered != before:
            self._tell()

    def _read_worker(self, row: Row) -> Worker | None:
        if row.version == ABSENT:
            return None
        body = convert(row.fields, WorkerBody)
        if isinstance(body, Unreadable):
            self._refuse(row, body)
            return None
        worker = worker_of(row.key.name, body)
        if isinstance(worker, Unreadable):
            self._refuse(row, worker)
            return None
        return worker

    def _refuse(self, row: Row, fault: Unreadable) -> None:
        name = str(row.key)
        if self.unreadable.get(name) != fault.reason:
            self.unreadable[name] = fault.reason
            self.log.warning(
                'A row is not used.',
                row=name,
                reason=fault.reason,
            )

    def _tell(self) -> None:
        self._news.set()
        self._news = trio.Event()
