"""
tests.test_worker_health
========================

Which workers are suspected, ejected and readmitted, and by what evidence.
"""

from collections.abc import Iterable

import pytest

from cyclamenshift.decisions.overload.failures import RECENT_ENDS
from cyclamenshift.decisions.overload.pool_health import SUSPICION_MS
from cyclamenshift.decisions.overload.step_records import MAX_STEPS
from cyclamenshift.decisions.overload.worker_health import WorkerHealth
from cyclamenshift.decisions.overload.worker_states import (
    MAX_PROBE_DELAY_MS,
    PROBE_DELAY_MS,
    HealthState,
    Rank,
)
from cyclamenshift.decisions.progress import Attempt, Task, WorkerInstance
from cyclamenshift.job import RunId, RunOutcome

from .builders import ended_run, open_tasks

WORKERS = 16
POOL = tuple((f'worker-{number}', 1) for number in range(WORKERS))
FAULTY = POOL[0]
SOUND = POOL[1:]
#: A time later than all runs of a test, ms.
NOW = 100_000


def pool_of(count: int = WORKERS) -> WorkerHealth:
    """Return the health of a pool of *count* workers."""
    health = WorkerHealth()
    health.retain(POOL[:count], NOW)
    return health


def fail(
    health: WorkerHealth, task: Task, instance: WorkerInstance, now: int = NOW
) -> None:
    """Let a run of *task* fail at a worker."""
    task.failed_at.add(instance)
    task.failures += 1
    health.record_end(ended_run(task, RunOutcome.failed), instance, now)


def finish(
    health: WorkerHealth,
    task: Task,
    instance: WorkerInstance,
    run_time: int = 1_000,
) -> None:
    """Let a run of *task* be done at a worker."""
    task.done = True
    run = ended_run(task, RunOutcome.done, run_time=run_time)
    health.record_end(run, instance, NOW)


def fail_and_retry(
    health: WorkerHealth, instance: WorkerInstance, count: int, now: int = NOW
) -> None:
    """Let tasks of new jobs fail at a worker and be done at sound ones."""
    for number in range(count):
        (task,) = open_tasks(f'{instance}-{now}-{number}', tasks=1)
        fail(health, task, instance, now)
        finish(health, task, SOUND[-1 - number % 4])


def run_steps(
    health: WorkerHealth, count: int, slowdown: int, estimate: int = 0
) -> None:
    """Let steps end that had one task at each of four workers."""
    for number in range(count):
        tasks = open_tasks(f'step-{number}', tasks=4, estimate=estimate)
        for task, instance in zip(tasks, SOUND, strict=False):
            if task is not tasks[-1]:
                finish(health, task, instance)
        finish(health, tasks[-1], FAULTY, 1_000 * slowdown)


@pytest.mark.parametrize('count', [2, 3])
def test_worker_is_suspected_after_two_failures_in_a_row(count: int) -> None:
    """Tasks have four attempts, and it would have taken one after the other."""
    health = pool_of()
    for number in range(count):
        assert health.rank(FAULTY, NOW) is Rank.healthy or number > 1
        fail(health, open_tasks(f'job-{number}')[0], FAULTY)
    assert health.rank(FAULTY, NOW) is Rank.trial
    assert health.rank(FAULTY, NOW + SUSPICION_MS) is Rank.healthy


def test_single_failure_is_no_suspicion() -> None:
    """A run fails now and then at any worker."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 1)
    assert health.rank(FAULTY, NOW) is Rank.healthy


def test_success_clears_the_suspicion() -> None:
    """A worker that does its work again is ranked like the others."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 2)
    assert health.rank(FAULTY, NOW) is Rank.trial
    for number in range(4):
        finish(health, open_tasks(f'done-{number}')[0], FAULTY)
    assert health.rank(FAULTY, NOW) is Rank.healthy


def test_worker_that_fails_what_others_do_is_ejected() -> None:
    """It gets nothing until its probe, and one run at that."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 3)
    assert health.ejected == {FAULTY}
    assert health.rank(FAULTY, NOW + PROBE_DELAY_MS - 1) is Rank.unavailable
    assert health.rank(FAULTY, NOW + PROBE_DELAY_MS) is Rank.probe


def probe(
    health: WorkerHealth, now: int, outcome: RunOutcome, run_time: int = 1_000
) -> None:
    """Let the probe of the faulty worker start at *now*, and end."""
    (task,) = open_tasks(f'probe-{now}', tasks=1, estimate=1_000)
    run = ended_run(task, outcome, run_time=run_time)
    attempt = Attempt(task, 1, FAULTY, now)
    assert health.rank(FAULTY, now) is Rank.probe
    health.record_start(FAULTY, run.run, now)
    attempts = {run.run: attempt}
    assert health.rank(FAULTY, now, attempts) is Rank.unavailable
    health.record_end(run, FAULTY, now + run_time)


def test_probe_readmits() -> None:
    """The worker gets runs like the others after one that is done."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 3)
    probe(health, NOW + PROBE_DELAY_MS, RunOutcome.done)
    assert health.rank(FAULTY, NOW + PROBE_DELAY_MS + 1_000) is Rank.healthy
    states = [change.state for change in health.take_changes()]
    assert states == [
        HealthState.suspected,
        HealthState.ejected,
        HealthState.probed,
        HealthState.healthy,
    ]


def test_failed_probe_doubles_the_delay() -> None:
    """A lasting fault would cost an attempt of a task every two seconds."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 3)
    now = NOW + PROBE_DELAY_MS
    for delay, rank in (
        (2 * PROBE_DELAY_MS, Rank.unavailable),
        (MAX_PROBE_DELAY_MS, Rank.lasting),
        (MAX_PROBE_DELAY_MS, Rank.lasting),
    ):
        probe(health, now, RunOutcome.failed)
        now += 1_000 + delay
        assert health.rank(FAULTY, now - 1) is rank
    assert health.rank(FAULTY, now) is Rank.probe


def test_lost_probe_is_repeated() -> None:
    """A probe that was not started, or was lost, would never have ended."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 3)
    now = NOW + PROBE_DELAY_MS
    run = ended_run(open_tasks()[0], RunOutcome.stopped).run
    health.record_start(FAULTY, run, now)
    assert health.rank(FAULTY, now) is Rank.probe


def test_at_most_a_quarter_is_ejected() -> None:
    """A fault that seems to be of the workers must not empty the pool."""
    health = pool_of()
    for instance in POOL:
        fail_and_retry(health, instance, RECENT_ENDS)
    assert len(health.ejected) == len(POOL) // 4
    health.retain(POOL[:8], NOW)
    assert len(health.ejected) <= 2


def test_small_pool_keeps_all_workers() -> None:
    """A quarter of three workers is none."""
    health = pool_of(3)
    fail_and_retry(health, FAULTY, RECENT_ENDS)
    assert not health.ejected
    assert health.rank(FAULTY, NOW) is Rank.suspected


def fail_everywhere(health: WorkerHealth, tasks: Iterable[Task]) -> None:
    """Let each task fail at four workers, first all of them at one."""
    fixed = list(tasks)
    for attempt in range(4):
        for number, task in enumerate(fixed):
            place = attempt * (number + 1)
            fail(health, task, POOL[place % len(POOL)])


def test_jobs_that_always_fail_eject_nobody() -> None:
    """Nine jobs fail at one worker first, and later at the others."""
    health = pool_of()
    tasks = [open_tasks(f'bad-{number}')[0] for number in range(9)]
    fail_everywhere(health, tasks)
    changes = health.take_changes()
    assert HealthState.ejected not in {change.state for change in changes}
    ranks = {health.rank(instance, NOW) for instance in POOL}
    assert ranks == {Rank.healthy}


def test_failures_of_a_step_that_fails_elsewhere_do_not_count() -> None:
    """All tasks of a large step failed at all workers."""
    health = pool_of()
    for number, task in enumerate(open_tasks(tasks=64)):
        fail(health, task, POOL[number % len(POOL)])
    assert health.rank(FAULTY, NOW) is Rank.healthy


def test_slow_worker_is_ejected() -> None:
    """Its run times are five times those of the same steps elsewhere."""
    health = pool_of()
    run_steps(health, 3, slowdown=5)
    assert health.ejected == {FAULTY}


@pytest.mark.parametrize(
    ('count', 'slowdown', 'rank'),
    [(8, 1, Rank.healthy), (2, 5, Rank.healthy), (8, 2, Rank.suspected)],
)
def test_rank_by_run_times(count: int, slowdown: int, rank: Rank) -> None:
    """Twice the time of the others is suspicious, with enough evidence."""
    health = pool_of()
    run_steps(health, count, slowdown)
    assert health.rank(FAULTY, NOW) is rank


def test_slow_probe_does_not_readmit() -> None:
    """The run was done, but again in five times the usual time."""
    health = pool_of()
    run_steps(health, 3, slowdown=5, estimate=1_000)
    now = NOW + PROBE_DELAY_MS
    probe(health, now, RunOutcome.done, run_time=5_000)
    assert health.ejected == {FAULTY}
    probe(health, now + 5_000 + 2 * PROBE_DELAY_MS, RunOutcome.done)
    assert not health.ejected


def test_steps_at_one_worker_are_compared_by_their_estimates() -> None:
    """Packing leaves most steps without a run elsewhere."""
    health = pool_of()
    slowdowns = {FAULTY: 5, **dict.fromkeys(SOUND, 1)}
    for number in range(20):
        for instance, slowdown in slowdowns.items():
            name = f'{instance}-{number}'
            (task,) = open_tasks(name, tasks=1, estimate=500)
            finish(health, task, instance, 1_000 * slowdown)
    assert health.ejected == {FAULTY}


def seen_attempt(task: Task, seen_for: int) -> Attempt:
    """Return a run that was seen at work at the faulty worker."""
    attempt = Attempt(task, 1, FAULTY, 0)
    attempt.see(1)
    attempt.see(1 + seen_for)
    return attempt


def test_overdue_runs_tell_of_a_slow_worker() -> None:
    """Its first runs would end only after the fault is over."""
    health = pool_of()
    attempts = {}
    for number in range(3):
        *others, task = open_tasks(f'job-{number}', tasks=4)
        for other, instance in zip(others, SOUND, strict=False):
            finish(health, other, instance)
        attempts[RunId(task.task_id, 1)] = seen_attempt(task, 3_500)
    health.check_running({FAULTY: attempts}, NOW)
    assert health.ejected == {FAULTY}


def test_restarted_worker_starts_healthy() -> None:
    """The next process under the same id has no part in the failures."""
    health = pool_of()
    fail_and_retry(health, FAULTY, 3)
    restarted = (FAULTY[0], 2)
    health.retain((*SOUND, restarted), NOW)
    assert health.rank(restarted, NOW) is Rank.healthy
    assert FAULTY not in health.workers
    assert not health.ejected


def test_memory_is_bounded() -> None:
    """Many jobs and failures leave no more than the limits."""
    health = pool_of()
    for number in range(MAX_STEPS * 2):
        (task,) = open_tasks(f'job-{number}', tasks=1)
        fail(health, task, POOL[number % WORKERS])
    assert len(health.steps.by_step) == MAX_STEPS
    assert len(health.workers[FAULTY].ends.ends) <= RECENT_ENDS
