"""
tests.test_explain
==================

What operators are told of where a job would go, and that asking has no effect.
"""

import argparse
import json
import pathlib
from functools import partial
from http import HTTPStatus
from typing import Any, Final

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.cmdline import build_parser
from cyclamenshift.commands import explain
from cyclamenshift.controls.job_access import NotAdmitted
from cyclamenshift.decisions.overload.worker_states import HealthState
from cyclamenshift.decisions.progress import JobProgress
from cyclamenshift.errors import SettingsError
from cyclamenshift.frontends.job_operators import JobOperatorFrontend

from .builders import account, catalog, job, queue, step
from .standins.explained import (
    EVERYTHING,
    HEAVY,
    LONG_RUN_MS,
    health_of,
    heavy_job,
    prepare_traps,
    scheduler_at,
    start_busy,
    state_of,
)
from .standins.jobs import WAIT_MS, JobCluster, JobEntry


async def test_explaining_changes_nothing(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A look at a scheduler spent tokens, restarted waits or moved probes."""
    owner = await start_busy(job_cluster)
    scheduler, explainer = scheduler_at(owner)
    prepare_traps(scheduler)
    dump = str(owner.kernel.dump())
    metrics = owner.kernel.metrics.render()
    before = state_of(scheduler)
    caplog.clear()
    refused = explainer.explain_new(heavy_job(''), queue())
    assert refused['admission']
    assert not refused['admission']['admitted']
    admitted = explainer.explain_new(job('', steps=(step(),)), queue())
    assert admitted['start']
    assert len(scheduler.tracker.jobs) > 7
    for progress in scheduler.tracker.jobs.values():
        explainer.explain_tracked(progress)
    assert state_of(scheduler) == before
    assert str(owner.kernel.dump()) == dump
    assert owner.kernel.metrics.render() == metrics
    assert not caplog.records


async def test_refusal_is_as_explained(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """What was explained was not what happened to the job right after."""
    owner = await start_busy(job_cluster)
    coming = heavy_job('heavy-9')
    query = {'queue': 'checks', 'account': HEAVY, 'steps': [STEP_FIELDS]}
    explained = await ask(owner, '/v1/explain', query)
    detail = explained['admission']
    assert 'beyond its share' in detail['reason']
    result = await owner.job_access.submit(queue(), coming, WAIT_MS)
    assert isinstance(result, NotAdmitted)
    assert result.reason == detail['reason']
    assert detail['retry_from'] <= result.retry_after < detail['retry_to']
    assert explained['account']['limit'] == {'cpu': 90_000}
    assert explained['account']['running'] == {'cpu': 16_000}
    assert explained['account']['within_share'] is False


#: The steps of ``heavy_job`` as operators write them.
STEP_FIELDS: Final = {
    'tasks': 8,
    'cpu': 1_000,
    'memory': 1_024,
    'estimate': LONG_RUN_MS,
}


async def test_first_task_starts_where_explained(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The explanation named another worker than the next pass chose."""
    job_cluster.add_workers('desk', 3, rack='rack-1')
    (owner,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    await job_cluster.submit(owner, job('job-0', steps=(step(tasks=3),)))
    await trio.sleep(0.1)
    fields = {'tasks': 1, 'cpu': 1_000, 'memory': 1_024}
    explained = await ask(
        owner,
        '/v1/explain',
        {'queue': 'checks', 'account': '', 'steps': [fields]},
    )
    assert explained['workers'] == {'usable': 3}
    assert explained['start']['reason'] == ''
    await job_cluster.submit(owner, job('job-1', steps=(step(tasks=1),)))
    await trio.sleep(0.1)
    (run,) = [
        started.worker_id
        for started in job_cluster.workers.started_runs
        if started.run.task.job_id == 'job-1'
    ]
    assert explained['start']['workers'] == {run: 1}


async def test_unusable_workers_are_counted(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """No worker was usable, and nothing told that they were silent."""
    job_cluster.overload = EVERYTHING
    job_cluster.add_workers('desk', 5)
    (owner,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    scheduler, explainer = scheduler_at(owner)
    health = health_of(scheduler)
    sessions = list(scheduler.state.sessions.values())
    sessions[0].record_miss(0, refused=False)
    sessions[1].worker = sessions[1].worker._replace(leaving=True)
    for session in sessions[2:4]:
        ejected = health.workers[session.worker.instance]
        ejected.state = HealthState.ejected
        ejected.until = 10**9 if session is sessions[2] else 0
        health.ejected.add(session.worker.instance)
    explained = explainer.explain_new(job(''), queue())
    assert explained['workers'] == {
        'silent': 1,
        'ejected': 1,
        'usable': 2,
        'leaving': 1,
    }


async def test_command_explains_accepted_jobs(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Operators read the text, their programs the same as JSON."""
    owner = await start_busy(job_cluster)
    monkeypatch.setattr(explain, 'call', partial(call_operators, owner))
    tracked = await run_command('heavy-1')
    assert tracked.value['tracked']
    assert tracked.value['admission'] is None
    assert tracked.value == json.loads(json.dumps(tracked.value))
    text = '\n'.join(tracked.lines)
    assert text.startswith('heavy-1: running: queue checks, service desk')
    assert 'account heavy: within its share, limit cpu 90000' in text
    assert 'step 0: 4 of 5 waiting steps go before' in text
    assert '14 of 14 tasks wait: no worker has room' in text
    assert 'workers: usable (2)' in text
    done = await run_command('job-0')
    assert done.lines[-2] == '  no task waits'


async def test_command_explains_new_jobs(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: pathlib.Path,
) -> None:
    """A job of several steps could not be described by options."""
    owner = await start_busy(job_cluster)
    monkeypatch.setattr(explain, 'call', partial(call_operators, owner))
    file = tmp_path / 'steps.json'
    file.write_text(json.dumps([STEP_FIELDS]))
    options = ('--queue', 'checks', '--account', HEAVY, '--job', str(file))
    new = await run_command(*options)
    assert new.lines[0].startswith('new job: queue checks, service desk')
    assert any('refused: the account is beyond' in each for each in new.lines)
    options = ('--queue', 'checks', '--tasks', '2', '--estimate', '12000')
    small = await run_command(*options)
    assert small.value['start']['tasks'] == 2
    assert any(line.startswith('  admitted (backlog') for line in small.lines)


async def start_with_accounts(job_cluster: JobCluster) -> JobEntry:
    """Return an entry VM that does not own a queue that needs an account."""
    queues = {**catalog().queues, 'checks': queue(open_access=False)}
    job_cluster.platform.catalog = catalog(
        accounts={HEAVY: account(HEAVY)}, queues=queues
    )
    await job_cluster.start_all(2)
    return job_cluster.entry_not_owning('desk')


#: What operators ask for a job with one task.
QUERY: Final[dict[str, Any]] = {
    'queue': 'checks',
    'account': HEAVY,
    'steps': [{}],
}


async def test_others_name_the_owner(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """An operator asked one entry VM after the other for a job."""
    other = await start_with_accounts(job_cluster)
    refused = await ask(other, '/v1/explain', QUERY)
    assert refused['status'] == HTTPStatus.NOT_FOUND
    owner_id = job_cluster.owner('desk')
    assert refused['remedy'] == f'Ask {owner_id}, which owns it.'
    unknown = await ask(other, '/v1/jobs/job-1/explain')
    assert 'cyclamenshift owners' in unknown['remedy']
    scheduler, _explainer = scheduler_at(job_cluster.entries[owner_id])
    scheduler.placer = None
    loading = await ask(job_cluster.entries[owner_id], '/v1/explain', QUERY)
    assert loading['status'] == HTTPStatus.SERVICE_UNAVAILABLE


async def test_invalid_queries_are_refused(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A misspelt field was left out, and another job was explained."""
    entry = await start_with_accounts(job_cluster)
    invalid: dict[str, dict[str, Any]] = {
        '"none"': {'queue': 'none'},
        '"nobody"': {'account': 'nobody'},
        'accounts only': {'account': ''},
        'no memMb': {'steps': [{'memMb': 1}]},
        'Expected `int`': {'steps': [{'cpu': 'much'}]},
        'No such job': {'steps': []},
    }
    for reason, overrides in invalid.items():
        refused = await ask(entry, '/v1/explain', QUERY | overrides)
        assert reason in refused['reason']


async def test_job_that_is_not_due(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A job without a waiting task was shown without the cause."""
    (owner,) = await job_cluster.start_all(1)
    scheduler, explainer = scheduler_at(owner)
    due = scheduler.clock.wall_time() + 5_000
    later = job(occurrences=2, first_due=due, interval=1_000)
    explained = explainer.explain_tracked(JobProgress(later, queue()))
    assert explained['start'] is None
    assert explained['due_in_ms'] == 5_000
    assert '  next occurrence due in 5000 ms' in explain.format_lines(explained)


@pytest.mark.parametrize('names', [(), ('job-1', '--queue', 'checks')])
async def test_unclear_job(names: tuple[str, ...]) -> None:
    """Of two jobs that were named, one was explained."""
    with pytest.raises(SettingsError, match='not clear'):
        await run_command(*names)


async def test_unreadable_file(tmp_path: pathlib.Path) -> None:
    """The command ended with a traceback."""
    missing = str(tmp_path / 'missing.json')
    with pytest.raises(SettingsError, match='missing.json'):
        await run_command('--queue', 'checks', '--job', missing)


async def run_command(*arguments: str) -> Any:
    """Run ``cyclamenshift explain`` and return its report."""
    options: argparse.Namespace = build_parser().parse_args(
        ['explain', *arguments]
    )
    return await options.command.run(options)


async def ask(entry: JobEntry, path: str, body: Any = None) -> Any:
    """Send a request to the operators' port and return the JSON response."""
    client = JobOperatorFrontend(entry.kernel).app.test_client()
    response = await (
        client.get(path) if body is None else client.post(path, json=body)
    )
    return await response.get_json()


async def call_operators(
    entry: JobEntry,
    _options: object,
    _method: str,
    path: str,
    body: Any = None,
) -> Any:
    """Stand for ``command.call``."""
    return await ask(entry, path, body)
