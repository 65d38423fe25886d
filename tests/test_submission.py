"""
tests.test_submission
=====================

What the callers of a job are told when its storage is uncertain.
"""

from collections.abc import Callable
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.controls.job_access import (
    MaybeStored,
    NotStored,
    Stored,
    SubmitResult,
    Unstorable,
)
from cyclamenshift.controls.row_writer import NotWritten, Written
from cyclamenshift.job import Job, JobState
from cyclamenshift.jobrows import job_key
from cyclamenshift.store import ABSENT, Key

from .builders import job
from .standins.jobs import WAIT_MS, JobCluster, JobEntry
from .standins.store_limits import MAX_ROW_SIZE

#: The time within which a caller must get an answer that is known, s.
ANSWER_S = 0.5
#: How long the store is down, s.
OUTAGE_S = 4.5

#: Cuts the connection between an entry VM and the owner of its service.
LoseOwner = Callable[[JobCluster, str, str], None]


def kill_owner(job_cluster: JobCluster, owner: str, caller: str) -> None:
    """End the process of the owner."""
    job_cluster.kill(owner)


def cut_link(job_cluster: JobCluster, owner: str, caller: str) -> None:
    """Break the link between the owner and the entry VM of the caller."""
    job_cluster.network.break_links(caller, [owner])


async def submit(
    job_cluster: JobCluster, entry: JobEntry, submitted: Job
) -> SubmitResult:
    """Submit a job, and return what its caller is told."""
    job_cluster.register_steps(submitted)
    queue = job_cluster.queue_of(submitted)
    return await entry.job_access.submit(queue, submitted, WAIT_MS)


async def fail_storing(
    job_cluster: JobCluster, submitted: Job, lose_owner: Callable[[], None]
) -> None:
    """Let the store fail, and lose the owner, once it has stored a job."""
    key = job_key('desk', submitted.job_id)
    await job_cluster.wait_until(
        lambda: job_cluster.store.table.read([key])[0].version != ABSENT
    )
    job_cluster.store.down = True
    await trio.sleep(0.05)
    lose_owner()


@pytest.mark.parametrize('lose_owner', [kill_owner, cut_link])
async def test_job_that_was_refused_is_run(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    lose_owner: LoseOwner,
) -> None:
    """The owner had stored it, and only the second write was refused."""
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(3)
    await trio.sleep(1)
    caller = job_cluster.entry_not_owning('desk')
    caller_id = caller.kernel.settings['entry']['id']
    owner = job_cluster.owner('desk')
    submitted = job()
    job_cluster.store.lose_answers = 1
    lose = partial(lose_owner, job_cluster, owner, caller_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail_storing, job_cluster, submitted, lose)
        with trio.fail_after(ANSWER_S + WAIT_MS / 1000):
            result = await submit(job_cluster, caller, submitted)
    assert isinstance(result, MaybeStored)
    await trio.sleep(OUTAGE_S)
    job_cluster.store.down = False
    job_cluster.network.broken_links.clear()
    await job_cluster.wait_for_state(JobState.completed, submitted)
    assert isinstance(await submit(job_cluster, caller, submitted), Stored)
    assert not job_cluster.workers.find_violations()


async def test_job_that_is_not_stored_is_called_uncertain(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The owner answers that the store has refused the only write."""
    await job_cluster.start_all(2)
    await trio.sleep(1)
    caller = job_cluster.entry_not_owning('desk')
    job_cluster.store.down = True
    with trio.fail_after(ANSWER_S):
        result = await submit(job_cluster, caller, job())
    assert isinstance(result, NotStored)


async def test_job_that_was_not_offered_is_called_uncertain(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Nobody could be offered it, so the write here is the only one."""
    await job_cluster.start_all(2)
    await trio.sleep(1)
    caller = job_cluster.entry_not_owning('desk')
    job_cluster.kill(job_cluster.owner('desk'))
    await trio.sleep(0.2)
    job_cluster.store.down = True
    with trio.fail_after(ANSWER_S):
        result = await submit(job_cluster, caller, job())
    assert isinstance(result, NotStored)


async def test_large_jobs_at_once_are_refused(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each fitted into a row, but all of them not into one transaction."""
    await job_cluster.start_all(1)
    (entry,) = job_cluster.entries.values()
    submitted = [
        job(f'job-{number}', spec='x' * (MAX_ROW_SIZE // 2))
        for number in range(50)
    ]
    async with trio.open_nursery() as nursery:
        for each in submitted:
            nursery.start_soon(job_cluster.submit, entry, each)


async def write_row(
    entry: JobEntry, name: str, text: str, written: dict[str, object]
) -> None:
    """Write a row of *text*, and keep the result in *written*."""
    key = Key('table', name, 'desk')
    writer = entry.job_access.row_writer
    written[name] = await writer.write(key, ABSENT, {'text': text})


async def test_row_that_is_never_accepted_holds_up_others(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All rows of its transaction were refused with it."""
    await job_cluster.start_all(1)
    (entry,) = job_cluster.entries.values()
    written: dict[str, object] = {}
    async with trio.open_nursery() as nursery:
        for name in ('first', 'sound', 'large', 'other'):
            text = 'x' * MAX_ROW_SIZE if name == 'large' else ''
            nursery.start_soon(write_row, entry, name, text, written)
    assert isinstance(written.pop('large'), NotWritten)
    assert all(isinstance(each, Written) for each in written.values())


async def test_job_that_can_never_be_stored_is_asked_for_again(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It got 503 each time, as if the store could not be reached."""
    await job_cluster.start_all(1)
    (entry,) = job_cluster.entries.values()
    large = job(spec='x' * MAX_ROW_SIZE)
    result = await submit(job_cluster, entry, large)
    assert isinstance(result, Unstorable)
