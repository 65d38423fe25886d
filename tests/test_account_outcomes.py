"""
tests.test_account_outcomes
===========================

What operators see of the client accounts.
"""

from trio.testing import MockClock

from cyclamenshift.commands.accounts import ShowAccounts
from cyclamenshift.decisions.accounts.outcomes import no_outcomes
from cyclamenshift.job import JobState, Resources

from .builders import WALL_START, account, catalog, job, step
from .standins.jobs import JobCluster
from .standins.sim_worker import now_ms


def test_worst_served_tenth_is_found() -> None:
    """The mean of all accounts hid one that was hardly served."""
    outcomes = no_outcomes()
    for number in range(20):
        outcomes.in_time[f'account-{number}'] = 10
    outcomes.late['account-7'] = 30
    outcomes.refused['account-3'] = 10
    outcomes.failed['account-5'] = 1
    assert outcomes.worst_served() == {'account-7': 25, 'account-3': 50}


async def test_accounts_are_shown_without_their_keys(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Keys appeared in a dump, and accounts at services of others did not."""
    limited = account(limit=Resources(9_000, 0))
    job_cluster.platform.catalog = catalog(accounts={limited.name: limited})
    job_cluster.add_workers('desk', 2)
    entries = await job_cluster.start_all(1)
    submitted = job(
        account=limited.name,
        steps=(step(estimate=1_000),),
        accepted=WALL_START + now_ms(),
    )
    await job_cluster.submit(entries[0], submitted)
    await job_cluster.wait_for_state(JobState.completed, submitted)
    dump = entries[0].kernel.dump()
    assert 'digest' not in str(dump['accounts'])
    command = ShowAccounts()
    (line,) = command.format_lines(command.select(dump))
    assert line.startswith('account-1: 0 of 9000 millicores running')
    assert '1 jobs in time' in line
    metrics = entries[0].kernel.metrics.render()
    assert 'account_worst_served_percent{account="account-1"} 100' in metrics
    assert 'key-of' not in metrics
