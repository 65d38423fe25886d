"""
tests.test_lost_history
=======================

What is scanned, also while the store drops its history all the time.
"""

from collections.abc import AsyncIterator

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift import kernel
from cyclamenshift.clock import Clock
from cyclamenshift.job import JobState
from cyclamenshift.jobrows import CANCEL_TABLE, JOB_TABLE
from cyclamenshift.platform.directory import PlatformDirectory
from cyclamenshift.platform.wire import OPERATOR_TABLE, WORKER_TABLE
from cyclamenshift.rows import ENTRY_TABLE
from cyclamenshift.store import Key, Transaction, Write

from .builders import WALL_START, entry_settings, job, step
from .standins.jobs import JobCluster
from .standins.shared_store import FakeStore, SharedStore

#: How long the store drops its history, s, and the pause between two drops, s.
SPAN_S = 10
PAUSE_S = 0.01
#: The duration of a scan over a full link, ms.
SLOW_SCAN_MS = 8_000
#: The most scans of a table of the platform in this time.
MAX_SCANS = 20
#: The most scans of a service's jobs in this time.
MAX_JOB_SCANS = 4
#: The time within which a row must be read all the same, s: less than a worker
#: keeps serving after it announced that it leaves.
NOTICE_S = 1.5


async def drop_history(store: SharedStore) -> None:
    """Write rows and drop the history of all changes, until cancelled."""
    while True:
        write_text(store, Key('other', 'row'), 'text')
        store.table.discard_history()
        await trio.sleep(PAUSE_S)


def write_text(store: SharedStore, key: Key, text: str) -> None:
    """Write a row with one field."""
    write = Write(key, {'text': text})
    store.table.commit(Transaction((), (write,)))


@pytest.fixture
async def directory(
    nursery: trio.Nursery, store: SharedStore
) -> AsyncIterator[PlatformDirectory]:
    """Provide a directory that follows a store of its own."""
    bound_store = type('BoundStore', (FakeStore,), {'store': store})
    built = kernel.build(
        entry_settings(), Clock(WALL_START), [bound_store, PlatformDirectory]
    )
    started = built.get(PlatformDirectory)
    started.watch_workers('test', wanted=True)
    await nursery.start(started.run)
    yield started
    nursery.cancel_scope.cancel()


@pytest.fixture
def store() -> SharedStore:
    """Return an empty store."""
    return SharedStore()


async def test_tables_of_the_platform_are_not_scanned_at_each_poll(
    nursery: trio.Nursery,
    store: SharedStore,
    directory: PlatformDirectory,
    autojump_clock: MockClock,
) -> None:
    """Each poll was a scan, and that of the operator's rows had no pause."""
    nursery.start_soon(drop_history, store)
    await trio.sleep(SPAN_S)
    assert 0 < store.scans[WORKER_TABLE] <= MAX_SCANS
    assert 0 < store.scans[OPERATOR_TABLE] <= MAX_SCANS
    write_text(store, Key(WORKER_TABLE, 'worker-1'), 'unreadable')
    await trio.sleep(NOTICE_S)
    assert directory.unreadable_rows


async def test_registrations_of_entry_vms_are_read_once(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each entry VM scanned all of them each second."""
    await job_cluster.start_all(3)
    await trio.sleep(SPAN_S)
    job_cluster.store.scans.clear()
    await trio.sleep(SPAN_S)
    assert not job_cluster.store.scans[ENTRY_TABLE]
    await job_cluster.start('entry-4')
    stopped = job_cluster.entries['entry-3']
    stopped.kernel.stop()
    membership = job_cluster.entries['entry-1'].ownership.membership
    with trio.fail_after(SPAN_S):
        await job_cluster.wait_until(
            lambda: membership.registered.keys() == {'entry-2', 'entry-4'}
        )


async def test_job_table_is_not_scanned_at_each_poll(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Cancels are found all the same, within the time that they may take."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    long_running_job = job(steps=(step(long_running=True),))
    await job_cluster.submit(entry, long_running_job)
    job_cluster.nursery.start_soon(drop_history, job_cluster.store)
    job_cluster.store.scans.clear()
    await trio.sleep(SPAN_S)
    assert job_cluster.store.scans[JOB_TABLE] <= 2 * MAX_JOB_SCANS
    assert job_cluster.store.scans[CANCEL_TABLE]
    await job_cluster.cancel_without_notification(long_running_job)
    with trio.fail_after(NOTICE_S):
        await job_cluster.wait_for_state(JobState.cancelled, long_running_job)


async def test_job_deleted_during_a_scan_does_not_run_again(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """A scan that had read the row before brought the job back as a new one."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job()
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    started = len(job_cluster.workers.started_runs)
    job_cluster.store.scan_ms = SLOW_SCAN_MS
    job_cluster.nursery.start_soon(drop_history, job_cluster.store)
    await trio.sleep(entry.kernel.settings['jobs']['keep_final'] / 1000)
    await trio.sleep(3 * SPAN_S)
    assert not job_cluster.store.table.scan(JOB_TABLE, 'desk').rows
    assert len(job_cluster.workers.started_runs) == started
