"""
tests.test_account_failures
===========================

The limits of accounts after failures that coincide with other changes.
"""

from typing import Final

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.decisions.accounts.allotments import (
    AccountDemand,
    Allotments,
    ReportOwner,
)
from cyclamenshift.decisions.accounts.limits import LimitLedger
from cyclamenshift.directory import Catalog
from cyclamenshift.duties.accounts import AccountsDuty
from cyclamenshift.job import NO_RESOURCES, JobState, Resources, TaskId

from .builders import account, catalog, job, step
from .standins.jobs import JobCluster

NAME: Final = 'account-1'
SERVICES: Final = ('desk', 'billing')


def cpu(amount: int) -> Resources:
    """Return resources of *amount* millicores and nothing else."""
    return Resources(amount, 0)


def accounts_of(limit: int, version: int = 1) -> Catalog:
    """Return a catalog with one account."""
    accounts = {NAME: account(NAME, limit=cpu(limit))}
    return catalog(version=version, accounts=accounts)


def test_new_ledger_does_not_renew_allotments_of_an_earlier_limit() -> None:
    """
    Two services each had the whole of a reduced limit.

    Its owner changed at the same time, and the new ledger answered the first
    service by the new version before it knew what the second one had.
    """
    allotments = Allotments()
    owner = ReportOwner('desk', 1)
    demand = {NAME: AccountDemand(NO_RESOURCES, cpu(50_000), 0)}
    first = allotments.report(owner, 1, demand)
    assert allotments.apply(
        LimitLedger(1).apply(first, accounts_of(90_000), ('desk',))
    )
    second = allotments.report(owner, 1, demand)
    ledger = LimitLedger(2)
    answer = ledger.apply(second, accounts_of(40_000, 2), SERVICES)
    assert allotments.apply(answer)
    assert allotments.allowed(NAME, 1) == cpu(40_000)
    assert allotments.allowed(NAME, 2) == NO_RESOURCES


async def test_copy_of_the_only_run_starts_within_the_limit(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """
    The copy of a slow run was never started, with most of the limit free.

    A scheduler asked for a quarter more than what runs, and for the waiting
    tasks, of which a copy is none.
    """
    job_cluster.platform.catalog = accounts_of(6_000)
    job_cluster.add_workers('desk', 4)
    entries = await job_cluster.start_all(2)
    slow = job('job-1', account=NAME, steps=(step(tasks=3, speculative=True),))
    job_cluster.workers.run_ms[TaskId(slow.job_id, 0, 0, 0)] = 30_000
    await job_cluster.submit(entries[0], slow)
    await trio.sleep(6)
    assert len(job_cluster.workers.started_runs) == 4


async def test_no_account_is_exhausted_once_nothing_waits(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A scheduler went on to ask for more every 60 ms after the last start."""
    job_cluster.platform.catalog = accounts_of(1_000)
    job_cluster.add_workers('desk', 2)
    entries = await job_cluster.start_all(2)
    waiting = job('job-1', account=NAME, steps=(step(tasks=4),))
    job_cluster.workers.run_ms.update(
        {TaskId(waiting.job_id, 0, 0, each): 30_000 for each in range(4)}
    )
    await job_cluster.submit(entries[0], waiting)
    await trio.sleep(1)
    owner = job_cluster.entries[job_cluster.owner('desk')]
    limits = owner.scheduler.schedulers['desk'].account_limits
    assert limits.exhausted
    await job_cluster.cancel(waiting)
    await trio.sleep(5)
    assert not limits.exhausted


async def test_runs_from_before_a_limit_are_known_to_the_ledger(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """
    A service got the whole limit beside the runs of another one.

    A scheduler that still had the version without the limit reported nothing
    for the account, which the ledger took for nothing in use.
    """
    job_cluster.platform.catalog = catalog(
        accounts={
            NAME: account(NAME),
            'account-2': account('account-2', limit=cpu(6_000)),
        }
    )
    job_cluster.add_workers('desk', 2)
    entries = await job_cluster.start_all(2)
    running = job('job-1', account=NAME, steps=(step(tasks=4),))
    job_cluster.workers.run_ms.update(
        {TaskId(running.job_id, 0, 0, each): 30_000 for each in range(4)}
    )
    await job_cluster.submit(entries[0], running)
    await trio.sleep(2)
    duties = [entry.kernel.get(AccountsDuty) for entry in entries]
    ledger = next(filter(None, (duty.ledger for duty in duties)))
    assert ledger.total(NAME).cpu >= 4_000


@pytest.mark.parametrize('stagger', [35, 100, 300])
async def test_gangs_of_two_services_do_not_block_each_other(
    job_cluster: JobCluster, autojump_clock: MockClock, stagger: int
) -> None:
    """Each service held half of the limit for ever, and nothing ran."""
    job_cluster.platform.catalog = accounts_of(6_000)
    queues = {'desk': 'checks', 'billing': 'charges'}
    for service in queues:
        job_cluster.add_workers(service, 4)
    entries = await job_cluster.start_all(3)
    for service, queue in queues.items():
        first = job(
            f'first-{service}',
            queue=queue,
            account=NAME,
            steps=(step(tasks=3),),
        )
        for each in range(3):
            task_id = TaskId(first.job_id, 0, 0, each)
            job_cluster.workers.run_ms[task_id] = 1_000 + stagger * each
        await job_cluster.submit(entries[0], first)
    gangs = [
        job(
            f'gang-{service}',
            queue=queue,
            account=NAME,
            steps=(step(tasks=4, gang=True),),
        )
        for service, queue in queues.items()
    ]
    await trio.sleep(0.7)
    for gang in gangs:
        await job_cluster.submit(entries[0], gang)
    with trio.fail_after(10):
        await job_cluster.wait_for_state(JobState.completed, *gangs)


async def test_gang_that_can_not_start_leaves_room_to_other_services(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Half of a limit was held for a gang that lasting tasks kept out."""
    job_cluster.platform.catalog = accounts_of(6_000)
    for service in ('desk', 'billing'):
        job_cluster.add_workers(service, 4)
    entries = await job_cluster.start_all(3)
    lasting = job('lasting', account=NAME, steps=(step(tasks=3),))
    for each in range(3):
        task_id = TaskId(lasting.job_id, 0, 0, each)
        job_cluster.workers.run_ms[task_id] = 30_000
    gang = job('gang', account=NAME, steps=(step(tasks=4, gang=True),))
    small = job('small', queue='charges', account=NAME)
    for submitted in (lasting, gang, small):
        await job_cluster.submit(entries[0], submitted)
        await trio.sleep(0.5)
    with trio.fail_after(3):
        await job_cluster.wait_for_state(JobState.completed, small)
