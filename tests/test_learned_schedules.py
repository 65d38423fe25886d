"""
tests.test_learned_schedules
============================

Schedules, forecasts and copies that follow from learned run times.
"""

import pytest

from cyclamenshift.decisions.arrivals import WINDOW_MS, Arrivals
from cyclamenshift.decisions.copies import slow_runs
from cyclamenshift.decisions.overload.run_samples import (
    REFRESH_INTERVAL_MS,
    RunTimeLearner,
)
from cyclamenshift.decisions.progress import Attempt, Phase
from cyclamenshift.decisions.schedules import schedule_of
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.decisions.urgency import most_urgent_first

from .builders import WALL_START, job, measured_steps, queue, step
from .test_learned_run_times import INSTANCE, RUN_MS, add_job, run_task


def taught_learner(estimate: int = 3_000) -> RunTimeLearner:
    """Return a learner that has seen estimates wrong at random."""
    learner = RunTimeLearner()
    for measured in measured_steps(seed=1, count=60, deviation=0.9):
        learner.model.record('checks', '', measured.estimate, *measured[1])
    assert learner.model.predict('checks', '', estimate) != estimate
    return learner


def test_schedule_follows_predictions() -> None:
    """Slack and objective by random estimates put the wrong job first."""
    submitted = job(
        steps=(
            step(estimate=3_000),
            step(estimate=200, dependencies=(0,)),
            step(estimate=5_000, long_running=True),
        )
    )
    model = taught_learner().model
    typical = [model.predict('checks', '', each) for each in (3_000, 200)]
    schedule = schedule_of(submitted, queue(stretch=2, allowance=600), model)
    assert schedule.tails == (sum(typical), typical[1], 5_000)
    assert schedule.objective == 2 * 5_000 + 600
    assert all(abs(each - 1_200) < 400 for each in typical)


def test_schedule_is_the_same_without_learning() -> None:
    """Deployments that don't learn must be served as before."""
    submitted = job(steps=(step(estimate=3_000),))
    tracker = JobTracker()
    progress = tracker.add(submitted, queue(), WALL_START)
    assert progress
    assert progress.schedule == ((3_000,), 1.5 * 3_000 + 600)
    for task in tuple(progress.tasks()):
        assert not run_task(tracker, task).samples
        assert task.learned_run_time is None
    assert schedule_of(submitted, queue()) == progress.schedule
    assert progress.schedule == schedule_of(
        submitted, queue(), RunTimeLearner().model
    )


def test_schedule_is_refreshed_when_a_step_opens() -> None:
    """Later steps were ordered by what was known when the job came."""
    learner = RunTimeLearner()
    tracker = JobTracker(learner)
    steps = (step(tasks=1), step(tasks=1, dependencies=(0,)))
    progress = tracker.add(job(steps=steps), queue(), WALL_START)
    assert progress and progress.schedule.tails == (0, 0)
    (task,) = progress.tasks()
    run_task(tracker, task)
    assert progress.schedule.tails == (2 * RUN_MS, RUN_MS)


def test_waiting_jobs_are_refreshed_on_noticeable_changes_only() -> None:
    """Computing the schedules in each pass takes most of the processor."""
    learner = RunTimeLearner()
    tracker = JobTracker(learner)
    (task, _sibling) = add_job(tracker, tasks=2)
    progress = task.job
    before = progress.schedule
    learner.refresh(tracker.waiting.values(), now=0)
    assert progress.schedule is before
    learner.model.record('checks', '', 0, RUN_MS)
    learner.refresh(tracker.waiting.values(), now=0)
    assert progress.schedule.tails == (RUN_MS,)
    refreshed = progress.schedule
    learner.model.record('checks', '', 0, RUN_MS + 1)
    learner.refresh(tracker.waiting.values(), now=REFRESH_INTERVAL_MS)
    assert progress.schedule is refreshed
    learner.model.record('checks', '', 0, RUN_MS * 3)
    learner.refresh(tracker.waiting.values(), now=REFRESH_INTERVAL_MS - 1)
    assert progress.schedule is refreshed
    learner.refresh(tracker.waiting.values(), now=REFRESH_INTERVAL_MS)
    assert progress.schedule.tails[0] > RUN_MS


def test_demand_forecast_uses_predicted_work() -> None:
    """Estimates wrong at random make the mean demand half again as much."""
    work, estimated, predicted = 0, Arrivals(), Arrivals(taught_learner().model)
    for number, measured in enumerate(measured_steps(2, 200, deviation=0.9)):
        steps = (step(tasks=8, estimate=measured.estimate),)
        for arrivals in (estimated, predicted):
            arrivals.add(job(f'job-{number}', steps=steps), now=0)
        work += sum(measured.run_times) * steps[0].resources.cpu
    expected = work / WINDOW_MS
    assert estimated.demand(0).cpu > expected * 1.3
    assert predicted.demand(0).cpu == pytest.approx(expected, rel=0.1)


def run_alone(learner: RunTimeLearner | None) -> Attempt:
    """Return the run of a speculative step of one task, planned at 0."""
    tracker = JobTracker(learner)
    (task,) = add_job(tracker, speculative=True, estimate=3_000)
    attempt = tracker.plan(task, INSTANCE, 1, now=0)
    attempt.phase = Phase.running
    return attempt


def test_slow_run_without_done_siblings_gets_a_copy() -> None:
    """A step of one task on a slow worker never got one."""
    learner = taught_learner()
    limit = learner.model.predict_longest('checks', '', 3_000)
    assert limit
    assert not slow_runs([run_alone(learner)], (), limit)
    (slow,) = slow_runs([run_alone(learner)], (), limit + 1)
    assert slow.typical is None
    assert not slow_runs([run_alone(None)], (), limit * 100)
    assert not slow_runs([run_alone(RunTimeLearner())], (), limit * 100)


def test_estimates_wrong_at_random_do_not_reorder_equal_jobs() -> None:
    """A job that waited longer was passed by those with short estimates."""
    learned, estimated = (
        _most_urgent(learner) for learner in (taught_learner(), None)
    )
    assert learned == 'earlier'
    assert estimated == 'later'


def _most_urgent(learner: RunTimeLearner | None) -> str:
    tracker = JobTracker(learner)
    for job_id, accepted, estimate in (
        ('later', WALL_START, 200),
        ('earlier', WALL_START - 500, 5_000),
    ):
        submitted = job(
            job_id, steps=(step(estimate=estimate),), accepted=accepted
        )
        tracker.add(submitted, queue(), WALL_START)
    waiting = tracker.waiting.values()
    return next(most_urgent_first(waiting, WALL_START)).task_id.job_id
