"""
tests.test_take_over
====================

How a new owner of a service loads its jobs.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.job import JobState, TaskId
from cyclamenshift.jobrows import (
    CANCEL_TABLE,
    JOB_TABLE,
    PROGRESS_TABLE,
    OwnerRow,
    job_key,
    owner_key,
    progress_key,
)
from cyclamenshift.store import Key, Transaction, Write

from .builders import job, step
from .standins.jobs import JobCluster

#: The duration of a scan over a full link, ms.
SLOW_SCAN_MS = 9_000
#: Longer than a test, ms; and for how long a worker's reports are odd, s.
LONG_RUN_MS = 60_000
ODD_S = 10
#: The time after which a superseded owner must have noticed, s.
NOTICE_S = 2


async def test_superseded_owner_stops_loading(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It read the tables to the end over a link that the new owner needs."""
    first, second = await job_cluster.start_all(2)
    job_cluster.store.scan_ms = SLOW_SCAN_MS
    successor = job_cluster.entry_not_owning('desk')
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(lambda: 'desk' in successor.ownership.terms)
    superseded = successor.scheduler.schedulers['desk']
    row = OwnerRow(holder='entry-9', incarnation='other', epoch=9)
    job_cluster.store.write_row(Write(owner_key('desk'), dict(row)))
    await trio.sleep(NOTICE_S)
    assert successor.scheduler.schedulers.get('desk') is not superseded


async def test_loaded_tables_are_not_read_again(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All tables were read again after the scan of one of them had failed."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    submitted = job()
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    job_cluster.store.scans.clear()
    job_cluster.store.failing_scans[PROGRESS_TABLE] = 6
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_for_state(JobState.completed, submitted)
    await job_cluster.wait_until(job_cluster.all_owned)
    assert job_cluster.store.scans[PROGRESS_TABLE] > 1
    assert job_cluster.store.scans[JOB_TABLE] == 1
    assert job_cluster.store.scans[CANCEL_TABLE] == 1


async def test_worker_is_called_without_a_pause_while_its_reports_are_odd(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its recorded run can't be proved over by them."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(3)
    await trio.sleep(1)
    task = TaskId('job-1', 0, 0, 0)
    job_cluster.workers.run_ms[task] = LONG_RUN_MS
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await trio.sleep(1)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    sim = job_cluster.workers.current_instance(worker_id)
    sim.omits_runs = True
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await trio.sleep(NOTICE_S)
    calls = job_cluster.workers.order_count
    await trio.sleep(ODD_S)
    # A long poll takes a second.
    assert job_cluster.workers.order_count - calls <= 3 * ODD_S


async def test_invalid_rows_do_not_stop_the_other_jobs(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """One invalid row ended the scheduler, and its successor never loaded."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    job_cluster.store.write_row(
        Write(job_key('desk', 'invalid'), {'job': 'text'})
    )
    await trio.sleep(NOTICE_S)
    job_cluster.kill(job_cluster.owner('desk'))
    job_cluster.store.write_row(
        Write(progress_key('desk', 'job-2'), {'state': 'text'})
    )
    await job_cluster.wait_until(job_cluster.all_owned)
    submitted = job()
    (entry,) = job_cluster.entries.values()
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)


async def test_loss_of_runs_at_an_unregistered_worker_is_recorded(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The next successor waited for the leases of the same worker again."""
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    submitted = job(steps=(step(long_running=True),))
    await job_cluster.submit(job_cluster.entry_not_owning('desk'), submitted)
    await job_cluster.wait_until(
        lambda: len(job_cluster.workers.started_runs) == 2
    )
    crashed_id = job_cluster.get_worker_id('desk-vm-1')
    job_cluster.workers.crash(crashed_id)
    job_cluster.platform.workers.pop(crashed_id)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    (entry,) = job_cluster.entries.values()
    tracker = entry.scheduler.schedulers['desk'].tracker
    await job_cluster.wait_until(lambda: not tracker.attempts_by_worker)
    await trio.sleep(NOTICE_S)
    key = progress_key('desk', submitted.job_id)
    assert not job_cluster.store.table.row(key).fields['open']


async def test_cancel_of_an_unknown_job_is_forgotten(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Cancels that came before their job were kept for ever."""
    await job_cluster.start_all(1)
    schedulers = job_cluster.entries['entry-1'].scheduler.schedulers
    reader = schedulers['desk'].job_reader
    key = Key(CANCEL_TABLE, 'unknown', 'desk')
    job_cluster.store.write_row(Write(key, {'asked': 0}))
    await job_cluster.wait_until(lambda: reader.pending_cancellations)
    write = Write(key, None)
    job_cluster.store.table.commit(Transaction((), (write,)))
    with trio.fail_after(NOTICE_S):
        await job_cluster.wait_until(lambda: not reader.pending_cancellations)
