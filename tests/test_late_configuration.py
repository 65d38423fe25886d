"""
tests.test_late_configuration
=============================

A new configuration is in force in time, or callers are told to come back.
"""

from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift import kernel
from cyclamenshift.clock import MS_PER_SECOND, Clock
from cyclamenshift.component import Host
from cyclamenshift.control import Control
from cyclamenshift.controls.job_access import JobAccess
from cyclamenshift.controls.store_access import StoreAccess
from cyclamenshift.directory import Queue
from cyclamenshift.platform.configuration import CONFIG_KEY
from cyclamenshift.platform.directory import PlatformDirectory
from cyclamenshift.platform.frontend import PlatformFrontend
from cyclamenshift.platform.store import PlatformStore
from cyclamenshift.platform.wire import OPERATOR_TABLE
from cyclamenshift.store import (
    HistoryLost,
    Key,
    Snapshot,
    Transaction,
    Write,
)

from .builders import WALL_START, configuration_fields, entry_settings
from .standins.jobs import JobCluster
from .standins.shared_store import FakeStore, SharedStore
from .standins.slow_link import SlowLinkClient

CONFIG_ROW = Key(OPERATOR_TABLE, CONFIG_KEY)
#: The platform's bound on the time until a configuration is in force, ms.
APPLY_MS = 3_000
#: A link of 10 Mbit/s, and one of 2 Mbit/s, bytes per ms.
USUAL_RATE = 1_250
SMALL_RATE = 250
#: The number of routes of a usual configuration, and after a large change.
ROUTES = 240
MANY_ROUTES = 2_000
#: How long the store rejects an entry VM, and the pause between two versions
#: that are written meanwhile, ms.
OUTAGE_MS = 9_000
STORM_PAUSE_MS = 230
#: The duration of the scan of a large table over a small link, ms.
SLOW_SCAN_MS = 4_000
#: How long a relayed read may take beyond the time that the store holds it, ms.
RELAY_MS = 1_000


class IdleJobAccess(JobAccess):
    """Knows no job."""

    name = 'idle'

    def __init__(self, kernel: Host) -> None:
        """Need no other component."""
        Control.__init__(self, kernel)

    async def count_waiting(self, queue: Queue, wait: int) -> int:
        """Return that no job waits."""
        return 0


def build_directory(client: SlowLinkClient) -> PlatformDirectory:
    """Return a directory that reads the store through *client*."""
    built = kernel.build(
        entry_settings(store={'address': '127.0.0.1:1'}),
        Clock(WALL_START),
        [PlatformStore, PlatformDirectory],
    )
    built.get(PlatformStore).client = cast(Any, client)
    return built.get(PlatformDirectory)


def active_version(directory: PlatformDirectory) -> int:
    """Return the version of the active configuration, 0 without one."""
    return directory.catalog.version if directory.catalog else 0


async def wait_until_active(directory: PlatformDirectory, version: int) -> None:
    """Wait until a version is active, as long as that may take."""
    with trio.fail_after(APPLY_MS / MS_PER_SECOND):
        while active_version(directory) < version:
            await directory.wait_for_change()


async def test_missed_configurations_pass_a_small_link_in_time(
    nursery: trio.Nursery,
    autojump_clock: MockClock,
) -> None:
    """All that were missed were read again and again, and none was used."""
    client = SlowLinkClient(USUAL_RATE)
    directory = build_directory(client)
    client.put(CONFIG_ROW, configuration_fields(1, routes=ROUTES))
    nursery.start_soon(directory.run)
    await wait_until_active(directory, 1)
    client.rejecting = True
    versions = OUTAGE_MS // STORM_PAUSE_MS
    for version in range(2, 2 + versions):
        client.put(CONFIG_ROW, configuration_fields(version, routes=ROUTES))
        await trio.sleep(STORM_PAUSE_MS / MS_PER_SECOND)
    client.rejecting = False
    await wait_until_active(directory, 1 + versions)
    nursery.cancel_scope.cancel()


async def test_large_configurations_are_not_read_one_by_one(
    nursery: trio.Nursery,
    autojump_clock: MockClock,
) -> None:
    """Each version was read while the next ones were written."""
    client = SlowLinkClient(USUAL_RATE)
    directory = build_directory(client)
    client.put(CONFIG_ROW, configuration_fields(1, routes=MANY_ROUTES))
    nursery.start_soon(directory.run)
    await wait_until_active(directory, 1)
    for version in range(2, 2 + OUTAGE_MS // STORM_PAUSE_MS):
        client.put(CONFIG_ROW, configuration_fields(version, MANY_ROUTES))
        await trio.sleep(STORM_PAUSE_MS / MS_PER_SECOND)
        in_force = version - APPLY_MS // STORM_PAUSE_MS
        assert active_version(directory) >= in_force
    nursery.cancel_scope.cancel()


async def test_large_configuration_passes_the_smallest_link(
    nursery: trio.Nursery,
    autojump_clock: MockClock,
) -> None:
    """One that takes longer than the timeout of a read was never used."""
    client = SlowLinkClient(SMALL_RATE)
    directory = build_directory(client)
    client.put(CONFIG_ROW, configuration_fields(1))
    nursery.start_soon(directory.run)
    await wait_until_active(directory, 1)
    client.put(CONFIG_ROW, configuration_fields(2, routes=MANY_ROUTES))
    await wait_until_active(directory, 2)
    nursery.cancel_scope.cancel()


async def test_relay_without_the_store_does_not_delay_a_read(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A read waited for one relay while others reached the store."""
    entries = await job_cluster.start_all(4)
    job_cluster.store.cut_off.add('entry-1')
    job_cluster.store.silent_to.add('entry-2')
    access = entries[0].kernel.get(StoreAccess)
    for _each in entries:
        started = access.clock.now()
        found = await access.follow(OPERATOR_TABLE, 0, 100)
        assert isinstance(found, Snapshot)
        assert access.clock.now() - started <= 100 + RELAY_MS


async def test_read_is_held_by_the_next_relay(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An answer at once counted as if nothing had changed all the while."""
    entries = await job_cluster.start_all(4)
    job_cluster.store.cut_off.update(('entry-1', 'entry-2'))
    access = entries[0].kernel.get(StoreAccess)
    version = job_cluster.store.table.version + 1
    for _each in entries:
        started = access.clock.now()
        found = await access.follow(OPERATOR_TABLE, version, 500)
        assert isinstance(found, Snapshot)
        assert access.clock.now() - started >= 500


async def test_relayed_scan_may_take_long(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The rows of a large table never came whole through a small link."""
    entries = await job_cluster.start_all(2)
    job_cluster.store.cut_off.add('entry-1')
    job_cluster.store.scan_ms = SLOW_SCAN_MS
    access = entries[0].kernel.get(StoreAccess)
    found = await access.scan(OPERATOR_TABLE)
    assert isinstance(found, Snapshot)


async def test_lost_history_is_told_through_a_relay(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The caller scans the table, instead of asking for changes for ever."""
    entries = await job_cluster.start_all(2)
    job_cluster.store.cut_off.add('entry-1')
    job_cluster.store.table.discard_history()
    access = entries[0].kernel.get(StoreAccess)
    found = await access.follow(OPERATOR_TABLE, 0, 100)
    assert isinstance(found, HistoryLost)


@pytest.fixture
async def entry(
    nursery: trio.Nursery, autojump_clock: MockClock
) -> AsyncIterator[kernel.Kernel]:
    """Provide an entry VM on which version 1 is active."""
    bound_store = type('BoundStore', (FakeStore,), {'store': SharedStore()})
    built = kernel.build(
        entry_settings(),
        Clock(WALL_START),
        [bound_store, PlatformDirectory, IdleJobAccess, PlatformFrontend],
    )
    put_configuration(built, 1)
    directory = built.get(PlatformDirectory)
    nursery.start_soon(directory.run)
    await wait_until_active(directory, 1)
    yield built
    nursery.cancel_scope.cancel()


def put_configuration(
    entry: kernel.Kernel, version: int, **kwargs: int
) -> None:
    """Write a configuration to the store of *entry*, as the operator does."""
    fields = configuration_fields(version, **kwargs)
    table = entry.get(FakeStore).store.table
    table.commit(Transaction((), (Write(CONFIG_ROW, fields),)))


async def get_status(entry: kernel.Kernel, path: str) -> int:
    """Return the status of the answer to a caller."""
    client = entry.get(PlatformFrontend).app.test_client()
    response = await client.get(path, headers={'Host': 'jobs.example'})
    return int(response.status_code)


async def test_unconfirmed_configuration_decides_nothing(
    entry: kernel.Kernel,
) -> None:
    """A count was answered for a route that had been dropped long before."""
    store = entry.get(FakeStore).store
    assert await get_status(entry, '/route-1/') == 200
    assert await get_status(entry, '/route-2/') == 404
    store.cut_off.add('entry-1')
    put_configuration(entry, 2, routes=1)
    await trio.sleep(2 * APPLY_MS / MS_PER_SECOND)
    assert await get_status(entry, '/route-1/') == 503
    assert await get_status(entry, '/route-2/') == 503
    store.cut_off.clear()
    await wait_until_active(entry.get(PlatformDirectory), 2)
    assert await get_status(entry, '/route-0/') == 200
    assert await get_status(entry, '/route-1/') == 404


async def test_wake_from_a_pause_confirms_the_configuration_first(
    entry: kernel.Kernel,
    autojump_clock: MockClock,
) -> None:
    """Right after a pause, answers came from the configuration before it."""
    store = entry.get(FakeStore).store
    store.silent_to.add('entry-1')
    await trio.sleep(APPLY_MS / MS_PER_SECOND)
    put_configuration(entry, 2, routes=1)
    store.silent_to.clear()
    autojump_clock.jump(2 * APPLY_MS / MS_PER_SECOND)
    assert await get_status(entry, '/route-1/') != 200
