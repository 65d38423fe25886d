"""
tests.test_run_log
==================

What the log tells about runs that are given up without their end.
"""

import logging
from typing import Any

import pytest
from trio.testing import MockClock

from cyclamenshift.job import RunEnd, RunId, RunOutcome, RunStatus, TaskId

from .builders import job, report, step
from .standins.jobs import JobCluster

FIRST_RUN = RunId(TaskId('job-1', 0, 0, 0), 1)
UNKNOWN_RUN = RunId(TaskId('job-9', 0, 0, 0), 1)


def lines(caplog: pytest.LogCaptureFixture, text: str) -> list[dict[str, Any]]:
    """Return the fields of the log lines with *text*."""
    return [
        record.__dict__['fields']
        for record in caplog.records
        if record.getMessage() == text
    ]


async def test_log_tells_which_session_gave_up_a_run(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The record of an incident had no line for it."""
    caplog.set_level(logging.INFO)
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    (session,) = state.sessions.values()
    session.lease.observe(10**6, state.clock.now())
    state.apply_report(
        session,
        report(
            clock=10**6,
            running=(
                RunStatus(FIRST_RUN, '', 0, 0),
                RunStatus(UNKNOWN_RUN, '', 0, 0),
            ),
            ended=(RunEnd(1, UNKNOWN_RUN, RunOutcome.done, ''),),
        ),
        session.calls.advance(),
    )
    (orphans,) = lines(caplog, 'Runs without an attempt.')
    assert orphans['runs'] == (UNKNOWN_RUN,)
    assert orphans['epoch'] == state.term.epoch
    (ended,) = lines(caplog, 'Run ended.')
    assert not ended['tracked']
    state.close_session(session, 'worker restarted')
    (lost,) = lines(caplog, 'Runs lost.')
    assert lost['session_ms'] > 0
    assert lost['runs'] == [FIRST_RUN]
    assert lost['reported'] == [True]
    assert lost['phases'] == ['running']
    assert lost['unanswered'] == [0]
    assert lost['start_clocks'] != [None]
    assert lost['granted_until']
