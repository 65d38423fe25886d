"""
tests.standins.soak_events
==========================

The events with which a soak goes beyond the scripts of races.
"""

from typing import NamedTuple

from cyclamenshift.controls.job_access import Stored
from cyclamenshift.job import Job, TaskId

from ..builders import job, step
from .jobs import WAIT_MS
from .race_events import Scenario
from .race_scripts import apply_event
from .restarts import Restart, restart_worker


class SubmitSteps(NamedTuple):
    """
    A caller submits a job with one step for each row of ``run_ms``.

    Each step depends on the one before.  A row has the durations of its tasks,
    of which ``worker_limit`` run at one worker at most, if it is not 0.  The
    account of the job is empty for none.
    """

    run_ms: tuple[tuple[int, ...], ...]
    speculative: bool
    worker_limit: int = 0
    account: str = ''


class RestartWorker(NamedTuple):
    """
    A worker restarts under the same id and address.

    ``pick`` chooses the worker; the times are those of a ``Restart``, ms.
    """

    pick: int
    downtime: int
    registration_delay: int


class AgeLists(NamedTuple):
    """The next reports list what ran ``ages`` ms before their clocks."""

    ages: tuple[int, ...]


class DelayReports(NamedTuple):
    """The next reports are delayed on their way by ``delays`` ms."""

    delays: tuple[int, ...]


class DelayAnswers(NamedTuple):
    """The next answers to starts and stops are delayed by ``delays`` ms."""

    delays: tuple[int, ...]


class CloseConnections(NamedTuple):
    """Workers carry out starts and stops and close the connections."""

    closed_count: int


class CloseReports(NamedTuple):
    """Workers carry out renewals and close the connections."""

    closed_count: int


@apply_event.register
async def _submit_steps(event: SubmitSteps, scenario: Scenario) -> None:
    scenario.submitted_count += 1
    name = f'job-{scenario.submitted_count}'
    steps = tuple(
        step(
            tasks=len(durations),
            dependencies=tuple(range(number))[-1:],
            speculative=event.speculative,
            worker_limit=event.worker_limit,
        )
        for number, durations in enumerate(event.run_ms)
    )
    for number, durations in enumerate(event.run_ms):
        for ordinal, duration in enumerate(durations):
            task = TaskId(name, 0, number, ordinal)
            scenario.cluster.workers.run_ms[task] = duration
    if event.account:
        scenario.watch.jobs.add(name)
    await _submit(job(name, steps=steps, account=event.account), scenario)


async def _submit(submitted: Job, scenario: Scenario) -> None:
    """Submit a job at the first entry VM, if there is one."""
    cluster = scenario.cluster
    cluster.register_steps(submitted)
    for entry in tuple(cluster.entries.values())[:1]:
        queue = cluster.queue_of(submitted)
        result = await entry.job_access.submit(queue, submitted, WAIT_MS)
        if isinstance(result, Stored):
            scenario.accepted.append(submitted)


@apply_event.register
async def _restart_worker(event: RestartWorker, scenario: Scenario) -> None:
    workers = scenario.workers()
    if workers:
        worker_id = workers[event.pick % len(workers)]
        await restart_worker(
            scenario.cluster,
            Restart(worker_id, event.downtime, event.registration_delay),
        )


@apply_event.register
async def _age_lists(event: AgeLists, scenario: Scenario) -> None:
    faults = scenario.cluster.workers.faults
    faults.list_ages.extend(event.ages)


@apply_event.register
async def _delay_reports(event: DelayReports, scenario: Scenario) -> None:
    faults = scenario.cluster.workers.faults
    faults.report_delays.extend(event.delays)


@apply_event.register
async def _delay_answers(event: DelayAnswers, scenario: Scenario) -> None:
    faults = scenario.cluster.workers.faults
    faults.answer_delays.extend(event.delays)


@apply_event.register
async def _close_connections(
    event: CloseConnections, scenario: Scenario
) -> None:
    scenario.cluster.workers.faults.closed_connections += event.closed_count


@apply_event.register
async def _close_reports(event: CloseReports, scenario: Scenario) -> None:
    scenario.cluster.workers.faults.closed_reports += event.closed_count
