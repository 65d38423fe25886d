"""
tests.test_account_cluster
==========================

The limits of accounts while owners, the ledger and workers fail.
"""

from typing import Final

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.accountmessages import Allotment
from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.directory import Account
from cyclamenshift.job import Job, JobState, Resources
from cyclamenshift.jobmessages import NotOwned
from cyclamenshift.scheduling.account_limits import ACCOUNTS_DOMAIN

from .builders import account, catalog, job, step, usage_report
from .standins.account_watch import AccountWatch
from .standins.jobs import JobCluster

#: The limit of the account; each task has 1,000 millicores.
LIMIT: Final = 6_000
TASKS: Final = 12
#: The reports a second that a service may send while its tasks wait; each costs
#: about a third of a run.
MOST_REPORTS: Final = 10


def limited(limit: int = LIMIT) -> Account:
    """Return the account with a limit of cpu."""
    return account(limit=Resources(limit, 0))


def set_limit(job_cluster: JobCluster, limit: int, version: int) -> None:
    """Put a configuration with another limit in force."""
    job_cluster.platform.catalog = catalog(
        version=version, accounts={'account-1': limited(limit)}
    )
    job_cluster.platform.notify_change()


async def start(
    job_cluster: JobCluster, nursery: trio.Nursery
) -> tuple[AccountWatch, list[Job]]:
    """Start services whose jobs together want more than the limit."""
    set_limit(job_cluster, LIMIT, version=1)
    for service in ('desk', 'billing'):
        job_cluster.add_workers(service, 4)
    entries = await job_cluster.start_all(4)
    watch = AccountWatch(job_cluster)
    watch.set_limit(LIMIT)
    nursery.start_soon(watch.run)
    jobs = [
        job(
            f'job-{number}',
            queue=('checks', 'charges')[number % 2],
            account='account-1',
            steps=(step(tasks=TASKS),),
        )
        for number in range(4)
    ]
    for submitted in jobs:
        watch.jobs.add(submitted.job_id)
        await job_cluster.submit(entries[0], submitted)
    return watch, jobs


def ledger_owner(job_cluster: JobCluster) -> str:
    """Return the entry VM that keeps the ledger."""
    return next(
        entry_id
        for entry_id, entry in job_cluster.entries.items()
        if ACCOUNTS_DOMAIN in entry.ownership.terms
    )


async def test_limit_holds_over_all_services_and_is_used(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """Each service kept to the limit, and both together exceeded it."""
    watch, jobs = await start(job_cluster, nursery)
    await job_cluster.wait_for_state(JobState.completed, *jobs)
    assert not watch.exceeded
    assert watch.most == LIMIT
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('victim', ['desk', 'ledger', 'both'])
async def test_limit_holds_while_owners_are_replaced(
    job_cluster: JobCluster,
    nursery: trio.Nursery,
    autojump_clock: MockClock,
    victim: str,
) -> None:
    """A successor did not know what ran, and started as much again."""
    watch, jobs = await start(job_cluster, nursery)
    await trio.sleep(0.3)
    victims = {job_cluster.owner('desk'), ledger_owner(job_cluster)}
    if victim == 'desk':
        victims = {job_cluster.owner('desk')}
    elif victim == 'ledger':
        victims = {ledger_owner(job_cluster)}
    for entry_id in victims:
        job_cluster.kill(entry_id)
    await job_cluster.wait_for_state(JobState.completed, *jobs)
    assert not watch.exceeded
    nursery.cancel_scope.cancel()


async def test_reduced_limit_stops_starts_and_no_run(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """Ends were replaced although more ran than the new limit."""
    watch, jobs = await start(job_cluster, nursery)
    await trio.sleep(0.7)
    set_limit(job_cluster, 2_000, version=2)
    await trio.sleep(0.05)
    watch.set_limit(2_000)
    await job_cluster.wait_for_state(JobState.completed, *jobs)
    assert not watch.exceeded
    stopped = [
        end
        for _at, _worker, end in job_cluster.workers.ends
        if end.outcome == 'stopped'
    ]
    assert not stopped
    nursery.cancel_scope.cancel()


async def test_late_orders_count_against_the_limit(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """Runs that a worker started late came on top of the limit."""
    job_cluster.workers.late_order_delays.extend([300, 900, 2_000] * 2)
    watch, jobs = await start(job_cluster, nursery)
    await job_cluster.wait_for_state(JobState.completed, *jobs)
    assert not watch.exceeded
    nursery.cancel_scope.cancel()


async def test_unconfirmed_configuration_starts_nothing_for_the_account(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """A limit may have been reduced by a version that nobody has read."""
    watch, jobs = await start(job_cluster, nursery)
    settings = job_cluster.entries[job_cluster.owner('desk')].kernel.settings
    job_cluster.platform.catalog_age = settings['jobs']['configuration_age'] + 1
    await trio.sleep(0.1)
    started = len(job_cluster.workers.started_runs)
    await trio.sleep(2_000 / MS_PER_SECOND)
    assert len(job_cluster.workers.started_runs) <= started
    job_cluster.platform.catalog_age = 0
    await job_cluster.wait_for_state(JobState.completed, *jobs)
    assert not watch.exceeded
    nursery.cancel_scope.cancel()


async def test_tasks_without_workers_hold_no_part_of_the_limit(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """Tasks that waited for VMs kept the limit from a service with room."""
    set_limit(job_cluster, LIMIT, version=1)
    job_cluster.add_workers('billing', 4)
    entries = await job_cluster.start_all(3)
    lasting = (step(tasks=TASKS, long_running=True),)
    await job_cluster.submit(
        entries[0], job('job-1', account='account-1', steps=lasting)
    )
    await trio.sleep(2)
    other = job(
        'job-2',
        queue='charges',
        account='account-1',
        steps=(step(tasks=TASKS),),
    )
    await job_cluster.submit(entries[0], other)
    with trio.fail_after(10):
        await job_cluster.wait_for_state(JobState.completed, other)
    nursery.cancel_scope.cancel()


async def test_unconfirmed_ledger_allots_nothing(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """A superseded owner allotted what its successor had given away."""
    await start(job_cluster, nursery)
    owner = ledger_owner(job_cluster)
    ownership = next(
        entry.ownership
        for entry_id, entry in job_cluster.entries.items()
        if entry_id != owner
    )
    report = usage_report(service='portal')
    answer = await ownership.call_owner(ACCOUNTS_DOMAIN, report, 500)
    assert isinstance(answer, Allotment)
    job_cluster.store.down = True
    await trio.sleep(3)
    report = usage_report(service='portal', number=2)
    answer = await ownership.call_owner(ACCOUNTS_DOMAIN, report, 500)
    assert isinstance(answer, NotOwned)
    nursery.cancel_scope.cancel()


async def test_usage_is_reported_a_few_times_a_second(
    job_cluster: JobCluster, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    """Each service sent up to 100 reports a second while tasks waited."""
    await start(job_cluster, nursery)
    await trio.sleep(0.5)
    owner = job_cluster.entries[job_cluster.owner('desk')]
    limits = owner.scheduler.schedulers['desk'].account_limits
    assert limits.exhausted
    before = limits.allotments.number
    await trio.sleep(1)
    sent = limits.allotments.number - before
    assert 1 <= sent <= MOST_REPORTS
    nursery.cancel_scope.cancel()
