"""
tests.test_untracked_ends
=========================

Ends of runs whose attempts were given up.
"""

import pytest

from cyclamenshift.decisions.progress import Phase
from cyclamenshift.decisions.reports import ReportApplication
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import JobState, RunEnd, RunOutcome, RunStatus

from .builders import (
    WALL_START,
    job,
    leases_expired,
    queue,
    report,
    report_timing,
    step,
    worker,
)


def test_cancelled_run_goes_on_at_a_restarted_worker() -> None:
    """Its stop was under way when the worker restarted."""
    tracker = JobTracker()
    progress = tracker.add(job(steps=(step(tasks=1),)), queue(), WALL_START)
    assert progress
    (task,) = progress.tasks()
    attempt = tracker.plan(task, worker().instance, 1, 0)
    attempt.phase = Phase.running
    tracker.cancel(progress.job.job_id, WALL_START)
    tracker.to_stop.pop(attempt.run)
    restarted = worker(started_at=WALL_START + 1)
    tracker.move(attempt, restarted.instance)
    listing = report(running=(RunStatus(attempt.run, '', 0, 0),))
    ReportApplication(
        tracker, restarted.instance, listing, report_timing(), WALL_START
    ).run()
    assert list(tracker.to_stop.values()) == [attempt]


@pytest.mark.parametrize('restarted', [False, True])
def test_done_run_that_was_given_up_is_run_again(*, restarted: bool) -> None:
    """Its end was acknowledged, but not counted."""
    tracker = JobTracker()
    progress = tracker.add(job(steps=(step(tasks=1),)), queue(), WALL_START)
    assert progress
    (task,) = progress.tasks()
    first, second = worker().instance, worker('worker-2').instance
    given_up = tracker.plan(task, first, 1, 0)
    tracker.weigh_all_at(first, leases_expired())
    again = [tracker.plan(task, second, 2, 0)] if restarted else []
    done = report(ended=(RunEnd(1, given_up.run, RunOutcome.done, ''),))
    changed = ReportApplication(
        tracker, first, done, report_timing(), WALL_START
    ).run()
    assert progress.state is JobState.completed
    assert changed.jobs == (progress,)
    assert not tracker.waiting
    assert list(tracker.to_stop.values()) == again
