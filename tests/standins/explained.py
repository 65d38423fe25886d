"""
tests.standins.explained
========================

A busy scheduler whose jobs are explained, and a copy of its state.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any, Final

import trio

from cyclamenshift.decisions.crashes import Crashes
from cyclamenshift.decisions.overload.admission_control import SHORTAGE_MS
from cyclamenshift.decisions.overload.worker_health import WorkerHealth
from cyclamenshift.decisions.overload.worker_states import HealthState
from cyclamenshift.job import Job, JobState, Resources, TaskId
from cyclamenshift.scheduling.explainer import Explainer
from cyclamenshift.scheduling.service import ServiceScheduler

from ..builders import WALL_START, account, catalog, job, queue, step
from .jobs import JobCluster, JobEntry
from .sim_worker import now_ms

HEAVY: Final = 'heavy'
EVERYTHING: Final = {
    'admission_control': True,
    'cost_ordering': True,
    'learned_run_times': True,
    'worker_health': True,
}
#: A step that keeps both workers of a cluster busy.
LONG_RUN_MS: Final = 4 * SHORTAGE_MS


def heavy_job(job_id: str, **overrides: Any) -> Job:
    """Return a job of the account with a small share and a limit."""
    accepted = WALL_START + now_ms()
    fields = {'tasks': 8, 'estimate': LONG_RUN_MS, **overrides}
    return job(
        job_id, account=HEAVY, steps=(step(**fields),), accepted=accepted
    )


async def start_busy(job_cluster: JobCluster, entries: int = 1) -> JobEntry:
    """
    Return the owner of a service that has been short of capacity.

    An account has just used up its share.
    """
    job_cluster.overload = EVERYTHING
    heavy = account(HEAVY, weight=0.1, limit=Resources(90_000, 0))
    job_cluster.platform.catalog = catalog(accounts={HEAVY: heavy})
    job_cluster.add_workers('desk', 2)
    await job_cluster.start_all(entries)
    owner = job_cluster.entries[job_cluster.owner('desk')]
    await job_cluster.submit(owner, job('job-0', steps=(step(estimate=400),)))
    await job_cluster.wait_for_state(JobState.completed, job('job-0'))
    first = heavy_job('heavy-1', tasks=30)
    for ordinal in range(30):
        task_id = TaskId(first.job_id, 0, 0, ordinal)
        job_cluster.workers.run_ms[task_id] = LONG_RUN_MS
    await job_cluster.submit(owner, first)
    await job_cluster.submit(owner, heavy_job('heavy-2'))
    await trio.sleep(SHORTAGE_MS / 1000 + 0.1)
    for number in range(3, 6):
        await job_cluster.submit(owner, heavy_job(f'heavy-{number}'))
    return owner


def scheduler_at(owner: JobEntry) -> tuple[ServiceScheduler, Explainer]:
    """Return the scheduler of an owner, and what explains its jobs."""
    scheduler = owner.scheduler.schedulers['desk']
    assert scheduler.placer
    return scheduler, Explainer(scheduler, scheduler.placer)


def health_of(scheduler: ServiceScheduler) -> WorkerHealth:
    """Return the health of the workers of a service."""
    health = scheduler.state.health.health
    assert health
    return health


def freeze(value: object) -> object:
    """Return a copy of the state that *value* and its parts have now."""
    if isinstance(value, Mapping):
        return [(freeze(key), freeze(part)) for key, part in value.items()]
    if isinstance(value, list | tuple | deque):
        return [freeze(part) for part in value]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    fields = getattr(value, '__dict__', None)
    if fields is None or not type(value).__module__.startswith('cyclamenshift'):
        return value
    return [type(value).__name__, freeze(fields)]


def state_of(scheduler: ServiceScheduler) -> object:
    """Return all that a scheduling pass or an admission may change."""
    state = scheduler.state
    tracker = scheduler.tracker
    assert scheduler.placer
    return freeze(
        {
            'waiting': list(tracker.waiting),
            'tasks': [
                (task.task_id, task.last_run, task.checkpoint, task.crashes)
                for progress in tracker.jobs.values()
                for task in progress.tasks()
            ],
            'generations': [
                (progress.state, progress.generation, progress.schedule)
                for progress in tracker.jobs.values()
            ],
            'attempts': {
                key: list(runs)
                for key, runs in tracker.attempts_by_worker.items()
            },
            'used': tracker.used | tracker.account_usages.used,
            'scheduled': list(tracker.scheduled),
            'dirty': list(tracker.dirty),
            'run_times': list(tracker.run_times.pairs)
            if tracker.run_times
            else [],
            'shares': scheduler.account_limits.shares,
            'beyond_share': scheduler.account_limits.beyond_share,
            'exhausted': scheduler.account_limits.exhausted,
            'allotments': scheduler.account_limits.allotments,
            'step_waits': scheduler.admission.waits,
            'refusals': scheduler.admission.refusals,
            'isolation_waits': scheduler.placer.isolation_waits,
            'next_promotion': scheduler.placer.next_promotion,
            'in_flight': state.order_window.in_flight,
            'wakers': len(state.order_window.wakers),
            'changed': id(state.changed),
            'health': [
                (key, record.state, record.until, record.readmitted_at)
                for key, record in state.health.health.workers.items()
            ]
            if state.health.health
            else [],
        }
    )


def prepare_traps(scheduler: ServiceScheduler) -> None:
    """Add what a real pass would change, before any pass takes place."""
    tracker = scheduler.tracker
    wall_time = scheduler.clock.wall_time()
    gang = step(tasks=2, gang=True, resources=Resources(0, 0))
    waiting_gang = tracker.add(job('gang', steps=(gang,)), queue(), wall_time)
    suspect = tracker.add(job('suspect'), queue(), wall_time)
    late = job('late', queue='charges', accepted=WALL_START - 10**6)
    tracker.add(late, queue('charges'), wall_time)
    assert waiting_gang
    assert suspect
    assert tracker.run_times
    assert scheduler.placer
    waiting_gang.steps[0, 0][1].checkpoint = 'half'
    for task in suspect.tasks():
        task.crashes = Crashes(1, alone=True)
    for name in ('charges', 'other'):
        tracker.run_times.record(name, '', 400, 400)
    record = next(iter(health_of(scheduler).workers.values()))
    record.state = HealthState.suspected
    assert record.is_cleared(scheduler.clock.now())
    scheduler.account_limits.shares.recent.appendleft((-9_999, 'gone'))
    scheduler.account_limits.shares.counts['gone'] = 1
    scheduler.placer.next_promotion = 0
