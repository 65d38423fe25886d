"""
tests.test_late_acknowledgements
================================

Acknowledgements that another process than the one they are for takes up.

The ends of each process are numbered from 1, so it drops its own ends.
"""

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.job import JobState, TaskId

from .builders import job, step
from .standins.jobs import JobCluster
from .standins.restarts import Restart, restart_worker
from .standins.sim_worker import now_ms

#: The first runs end just before the restart, the others soon after it, ms.
FIRST_RUN_MS = 300
SHORT_RUN_MS = 50
#: The directory shows the new process this long after the restart, ms.
REGISTRATION_MS = 300
#: How long answers to start orders take on a slow link, below the time-out, and
#: within what time ends must be acknowledged, ms.
SLOW_ANSWER_MS = 350
ACKNOWLEDGE_MS = 1_500
MANY_TASKS = 400
#: When the later job is submitted and the worker restarts, after the earlier
#: one was submitted, and for how long it is down, ms.
AROUND_THE_FIRST_END = ((320, 330, 10), (360, 360, 0), (360, 330, 0))


async def _restart_later(
    job_cluster: JobCluster,
    restart_ms: int,
    downtime_ms: int,
    registration_ms: int = REGISTRATION_MS,
) -> None:
    await trio.sleep(restart_ms / 1000)
    worker_id = job_cluster.get_worker_id('desk-vm-1')
    restart = Restart(worker_id, downtime_ms, registration_ms)
    await restart_worker(job_cluster, restart)


async def _run_jobs_around_restart(
    job_cluster: JobCluster, submit_ms: int, restart_ms: int, downtime_ms: int
) -> None:
    """Submit two jobs; restart the worker as the first one ends."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    earlier, later = job(steps=(step(tasks=3),)), job('job-2')
    for ordinal in range(3):
        task = TaskId('job-1', 0, 0, ordinal)
        job_cluster.workers.run_ms[task] = FIRST_RUN_MS
        task = task._replace(job_id='job-2')
        job_cluster.workers.run_ms[task] = SHORT_RUN_MS
    await job_cluster.submit(entry, earlier)
    job_cluster.nursery.start_soon(
        _restart_later, job_cluster, restart_ms, downtime_ms
    )
    await trio.sleep(submit_ms / 1000)
    await job_cluster.submit(entry, later)
    await job_cluster.wait_for_state(JobState.completed, earlier, later)


def _longest_unacknowledged(job_cluster: JobCluster) -> int:
    """Return for how long the oldest end has been listed, ms."""
    listed = job_cluster.workers.unacknowledged_ends()
    ages = (
        now_ms() - ended_at
        for ended_at, _worker, end in job_cluster.workers.ends
        if end in listed
    )
    return max(ages, default=0)


@pytest.mark.parametrize(
    ('submit_ms', 'restart_ms', 'downtime_ms'),
    [
        (300, 320, 10),
        (300, 340, 0),
        (320, 320, 10),
        (300, 330, 10),
        (340, 380, 0),
        (360, 380, 10),
    ],
)
async def test_end_is_acknowledged_unseen_while_an_order_has_no_answer(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    submit_ms: int,
    restart_ms: int,
    downtime_ms: int,
) -> None:
    """A process that nobody knew had executed the order."""
    await _run_jobs_around_restart(
        job_cluster, submit_ms, restart_ms, downtime_ms
    )
    assert not job_cluster.workers.known_ends.dropped
    assert not job_cluster.workers.find_violations()


@pytest.mark.parametrize(
    ('submit_ms', 'restart_ms', 'downtime_ms'),
    AROUND_THE_FIRST_END,
)
async def test_held_acknowledgement_drops_ends_of_later_orders(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    submit_ms: int,
    restart_ms: int,
    downtime_ms: int,
) -> None:
    """The next process held the report, and dropped what ended meanwhile."""
    await _run_jobs_around_restart(
        job_cluster, submit_ms, restart_ms, downtime_ms
    )
    assert not job_cluster.workers.known_ends.dropped
    assert not job_cluster.workers.find_violations()


async def _acknowledge_late(
    job_cluster: JobCluster, late_ms: int, restart_ms: int, submit_ms: int
) -> None:
    """Delay the acknowledgement for the second of three jobs."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    jobs = [
        job(f'job-{number}', steps=(step(tasks=tasks),))
        for number, tasks in enumerate((4, 3, 2))
    ]
    for submitted in jobs[1:]:
        for ordinal in range(3):
            task = TaskId(submitted.job_id, 0, 0, ordinal)
            job_cluster.workers.run_ms[task] = FIRST_RUN_MS
    await job_cluster.submit(entry, jobs[0])
    await job_cluster.wait_for_state(JobState.completed, jobs[0])
    await trio.sleep(1)
    job_cluster.workers.faults.late_acknowledgements = [late_ms]
    await job_cluster.submit(entry, jobs[1])
    job_cluster.nursery.start_soon(
        _restart_later, job_cluster, restart_ms, 0, 0
    )
    await trio.sleep(submit_ms / 1000)
    await job_cluster.submit(entry, jobs[2])
    await job_cluster.wait_for_state(JobState.completed, *jobs)


@pytest.mark.parametrize(
    ('late_ms', 'restart_ms', 'submit_ms'),
    [
        (340, 350, 380),
        (372, 350, 380),
        (376, 350, 355),
        (690, 350, 700),
        (702, 400, 700),
    ],
)
async def test_late_acknowledgement_drops_ends_of_the_next_process(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    late_ms: int,
    restart_ms: int,
    submit_ms: int,
) -> None:
    """It was used at once, though the call could still be executed."""
    await _acknowledge_late(job_cluster, late_ms, restart_ms, submit_ms)
    assert not job_cluster.workers.known_ends.dropped
    assert not job_cluster.workers.find_violations()


async def test_ends_are_never_acknowledged_beside_steady_orders(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """On a slow link an order to the worker was always under way."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    await trio.sleep(1)
    submitted = job(steps=(step(tasks=MANY_TASKS),))
    for ordinal in range(MANY_TASKS):
        task = TaskId('job-1', 0, 0, ordinal)
        job_cluster.workers.run_ms[task] = SHORT_RUN_MS + ordinal % FIRST_RUN_MS
    job_cluster.workers.faults.answer_delays = [SLOW_ANSWER_MS] * MANY_TASKS
    await job_cluster.submit(entry, submitted)
    longest = 0
    while len(job_cluster.workers.ends) < MANY_TASKS:
        await trio.sleep(0.05)
        longest = max(longest, _longest_unacknowledged(job_cluster))
    assert longest <= ACKNOWLEDGE_MS
