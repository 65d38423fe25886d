"""
tests.test_learned_run_times
============================

The runs from which the scheduler of a service learns run times.
"""

import logging
from collections.abc import Callable

import pytest
from trio.testing import MockClock

from cyclamenshift.decisions.overload.run_samples import (
    MAX_UNSEEN_MS,
    RunTimeLearner,
)
from cyclamenshift.decisions.progress import Attempt, Phase, Task
from cyclamenshift.decisions.reports import ReportApplication, ReportResult
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.job import JobState, RunOutcome

from .builders import (
    WALL_START,
    job,
    queue,
    report,
    report_timing,
    run_end,
    step,
)
from .standins.jobs import JobCluster
from .test_run_log import lines

INSTANCE = ('worker-1', 1)
#: The worker's clock at the start of a run, ms, and the run time.
START_CLOCK = 1_000
RUN_MS = 900


def run_task(
    tracker: JobTracker,
    task: Task,
    run_ms: int = RUN_MS,
    outcome: RunOutcome = RunOutcome.done,
) -> ReportResult:
    """Run *task* to its end at a worker."""
    attempt = tracker.plan(task, INSTANCE, task.last_run + 1, now=0)
    attempt.phase = Phase.ordered
    tracker.mark_running(attempt, START_CLOCK)
    return end_run(tracker, attempt, run_ms, outcome)


def end_run(
    tracker: JobTracker,
    attempt: Attempt,
    run_ms: int = RUN_MS,
    outcome: RunOutcome = RunOutcome.done,
) -> ReportResult:
    """Apply the report of the end of *attempt*."""
    end = run_end(attempt.run, outcome=outcome, checkpoint='half')
    ended = report(clock=START_CLOCK + run_ms, ended=(end,), complete=False)
    return ReportApplication(
        tracker, INSTANCE, ended, report_timing(), WALL_START
    ).run()


def learned(learner: RunTimeLearner) -> int:
    """Return the typical run time of tasks without an estimate, ms."""
    return learner.model.predict('checks', '', 0)


def add_job(tracker: JobTracker, **changes: object) -> list[Task]:
    """Return the tasks of a new job of one step."""
    submitted = job(steps=(step(**{'tasks': 1, **changes}),))
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    return list(progress.tasks())


@pytest.fixture
def learner() -> RunTimeLearner:
    """Provide a learner that has seen no run."""
    return RunTimeLearner()


@pytest.fixture
def tracker(learner: RunTimeLearner) -> JobTracker:
    """Provide a tracker without jobs, whose run times are learned."""
    return JobTracker(learner)


def test_finished_step_is_learned(
    learner: RunTimeLearner, tracker: JobTracker
) -> None:
    """The tasks of a step share the error of its estimate: one observation."""
    first, second = add_job(tracker, tasks=2, estimate=100)
    assert not run_task(tracker, first, 800).samples
    assert not learner.model.pairs
    (sample,) = run_task(tracker, second, 1_000).samples
    assert sample == (100, 100, 900)
    assert len(learner.model.pairs) == 1


def _fail_first(tracker: JobTracker, task: Task) -> None:
    run_task(tracker, task, outcome=RunOutcome.failed)
    run_task(tracker, task)


def _resume(tracker: JobTracker, task: Task) -> None:
    run_task(tracker, task, outcome=RunOutcome.stopped)
    assert task.checkpoint
    run_task(tracker, task)


def _win_by_copy(tracker: JobTracker, task: Task) -> None:
    tracker.plan(task, ('worker-2', 1), 1, now=0)
    run_task(tracker, task)


def _win_beside_copy(tracker: JobTracker, task: Task) -> None:
    attempt = tracker.plan(task, INSTANCE, 1, now=0)
    attempt.phase = Phase.ordered
    tracker.mark_running(attempt, START_CLOCK)
    tracker.plan(task, ('worker-2', 1), 2, now=0)
    end_run(tracker, attempt)


def _adopt(tracker: JobTracker, task: Task) -> None:
    attempt = tracker.plan(task, INSTANCE, 1, now=0)
    attempt.phase = Phase.inherited
    tracker.mark_running(attempt, START_CLOCK)
    end_run(tracker, attempt)


def _end_unseen(tracker: JobTracker, task: Task) -> None:
    run_task(tracker, task, MAX_UNSEEN_MS + 1)


def _use_slow_worker(tracker: JobTracker, task: Task) -> None:
    assert tracker.learner
    tracker.learner.is_slow = lambda instance: instance == INSTANCE
    run_task(tracker, task)


@pytest.mark.parametrize(
    'play',
    [
        _fail_first,
        _resume,
        _win_by_copy,
        _win_beside_copy,
        _adopt,
        _end_unseen,
        _use_slow_worker,
    ],
)
def test_unusual_runs_are_not_learned(
    learner: RunTimeLearner,
    tracker: JobTracker,
    play: Callable[[JobTracker, Task], None],
) -> None:
    """Their time is that of a part, of a slow worker or of a selected run."""
    (task,) = add_job(tracker, speculative=True, saves_checkpoints=True)
    play(tracker, task)
    assert task.done
    assert not learner.model.pairs


def test_long_running_task_is_not_learned(
    learner: RunTimeLearner, tracker: JobTracker
) -> None:
    """Its run time says nothing about the next one."""
    (task,) = add_job(tracker, long_running=True)
    run_task(tracker, task)
    assert not learner.model.pairs


def test_gang_counts_once(learner: RunTimeLearner, tracker: JobTracker) -> None:
    """Its members end together, so that the others add nothing."""
    first, second = add_job(tracker, tasks=2, gang=True)
    other = tracker.plan(second, ('worker-2', 1), 1, now=0)
    (sample,) = run_task(tracker, first).samples
    assert sample.actual == RUN_MS
    assert not end_run(tracker, other).samples
    assert learned(learner) == RUN_MS


async def _run_jobs(job_cluster: JobCluster, prefix: str) -> None:
    """Run jobs whose estimates are ten times the run time."""
    submitted = [
        job(f'{prefix}-{number}', steps=(step(estimate=5_000),))
        for number in range(6)
    ]
    entry = next(iter(job_cluster.entries.values()))
    for each in submitted:
        await job_cluster.submit(entry, each)
        await job_cluster.wait_for_state(JobState.completed, each)


async def test_successor_starts_without_knowledge(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """What was learned is lost with its process, and the log says so."""
    caplog.set_level(logging.INFO)
    job_cluster.overload['learned_run_times'] = True
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(2)
    await _run_jobs(job_cluster, 'first')
    owner = job_cluster.owner('desk')
    metrics = job_cluster.entries[owner].kernel.metrics
    model = job_cluster.state(owner, 'desk').tracker.run_times
    assert model and model.predict('checks', '', 5_000) < 2_000
    series = metrics.render()
    for basis in ('estimate', 'prediction'):
        assert f'run_time_ratio_count{{basis="{basis}"' in series
    job_cluster.kill(owner)
    await job_cluster.wait_until(job_cluster.all_owned)
    successor = job_cluster.state(job_cluster.owner('desk'), 'desk')
    assert successor.tracker.run_times is successor.demand.arrivals.run_times
    assert successor.tracker.run_times
    assert not successor.tracker.run_times.pairs
    fields = lines(caplog, 'Job tables loaded.')
    assert {each['run_times_known'] for each in fields} == {0}
    await _run_jobs(job_cluster, 'second')
    assert not job_cluster.workers.find_violations()


async def test_nothing_is_learned_by_default(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Deployments that don't learn must be served as before."""
    caplog.set_level(logging.INFO)
    job_cluster.add_workers('desk', 1)
    await job_cluster.start_all(1)
    await _run_jobs(job_cluster, 'first')
    state = job_cluster.state(job_cluster.owner('desk'), 'desk')
    assert state.tracker.learner is None
    assert state.demand.arrivals.run_times is None
    assert all(
        'run_times_known' not in each
        for each in lines(caplog, 'Job tables loaded.')
    )
