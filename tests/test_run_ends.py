"""
tests.test_run_ends
===================

Which run ends are applied and acknowledged.
"""

import trio
from trio.testing import MockClock

from cyclamenshift.decisions.progress import JobProgress
from cyclamenshift.decisions.run_ends import RunEndLog
from cyclamenshift.job import JobState, RunEnd, RunId, RunOutcome, TaskId

from .builders import job, queue, step
from .standins.jobs import JobCluster

#: How long the store is down, and the time for an acknowledgement, s.
OUTAGE_S = 3
ACKNOWLEDGE_S = 1


def run_end(number: int) -> RunEnd:
    """Return the end of the run of task *number*."""
    run = RunId(TaskId('job-1', 0, 0, number), 1)
    return RunEnd(number, run, RunOutcome.done, '')


def changed_job() -> JobProgress:
    """Return a job with a change that is not recorded."""
    progress = JobProgress(job(), queue())
    progress.mark_dirty()
    return progress


def test_listed_ends_are_new_only_once() -> None:
    """A worker lists an end until it is acknowledged."""
    log = RunEndLog()
    ends = [run_end(1), run_end(2)]
    assert log.select_new(ends) == tuple(ends)
    log.add(ends, ())
    assert log.select_new([*ends, run_end(3)]) == (run_end(3),)


def test_ends_are_acknowledged_up_to_the_first_unrecorded_one() -> None:
    """A later record does not acknowledge an earlier end."""
    log = RunEndLog()
    first, second = changed_job(), changed_job()
    log.add([run_end(1)], ())
    log.add([run_end(2)], [first])
    log.add([run_end(3)], [second])
    second.recorded = second.generation
    assert log.acknowledged == 1
    first.mark_dirty()
    first.recorded = 1
    assert log.acknowledged == 3


def test_end_is_acknowledged_only_until_the_worker_has_answered() -> None:
    """Its number dropped the ends of the next process under the same id."""
    log = RunEndLog()
    log.add([run_end(1), run_end(2)], ())
    assert log.to_acknowledge == 2
    log.confirm(2)
    assert log.to_acknowledge == 0
    log.add([run_end(3)], ())
    assert log.to_acknowledge == 3


async def test_end_recorded_late_is_never_acknowledged(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The idle worker was not called again after an outage of the store."""
    job_cluster.add_workers('desk', 1)
    (entry,) = await job_cluster.start_all(1)
    submitted = job(steps=(step(tasks=1),))
    await job_cluster.submit(entry, submitted)
    await job_cluster.wait_until(lambda: job_cluster.workers.started_runs)
    job_cluster.store.down = True
    await trio.sleep(OUTAGE_S)
    job_cluster.store.down = False
    await job_cluster.wait_for_state(JobState.completed, submitted)
    await trio.sleep(ACKNOWLEDGE_S)
    assert not job_cluster.workers.unacknowledged_ends()
