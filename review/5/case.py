"""Innocent jobs on a worker that goes down and up by turns."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.fleet import Fleet, run_case  # noqa: E402
from standins.workers import Plan  # noqa: E402

#: Ten workers, of which a tenth goes down and up: one.
WORKERS = 10
PERIOD_S = 0.82
FLAP_S = 5.0
#: The jobs of a rush that the pool needs some seconds for.
JOBS = 40
TASKS = 8
TASK = {'cpu': 8_000, 'memMb': 4_000, 'estimateMs': 1_100}
TASK_S = 1.1
#: How long to wait for the last job, s.
FINISH_S = 60


async def case(fleet: Fleet) -> int:
    """Return whether a job is shown as failed though no run has failed."""
    fleet.plan_of = lambda worker, task: Plan(TASK_S)
    fleet.add_service('gate-desk')
    fleet.add_route('gate-check', 'gate-desk')
    fleet.configure()
    for number in range(WORKERS):
        await fleet.add_worker(f'w{number}', 'gate-desk')
    for number in range(3):
        await fleet.add_entry(f'front-{number}')
    if not await fleet.wait_until_ready():
        return 2
    jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
    flapping = asyncio.create_task(flap(fleet))
    accepted = await submit(fleet, jobs)
    await flapping
    states = await wait_for_ends(fleet, accepted)
    fleet.record.note('states', states=sorted(set(states.values())))
    wrong = [
        job
        for job, state in states.items()
        if state == 'failed'
        and not any(task.startswith(job) for task in fleet.record.failed)
    ]
    fleet.record.note('failed without a failed run', jobs=wrong)
    if any(state not in {'completed', 'failed'} for state in states.values()):
        fleet.record.note('not all jobs have ended')
        return 1
    return 1 if wrong else 0


async def submit(fleet: Fleet, jobs: list[str]) -> list[str]:
    """Hand the jobs in and return those that were accepted."""
    entries = list(fleet.entries.values())
    steps = [{'count': TASKS, **TASK}]
    accepted = []
    for number, job in enumerate(jobs):
        entry = entries[number % len(entries)]
        reply = await fleet.submit(entry, 'gate-check', job, steps)
        if reply.status == 200:
            accepted.append(job)
    return accepted


async def flap(fleet: Fleet) -> None:
    """Let one worker go down and up by turns."""
    worker = fleet.workers['w0']
    await asyncio.sleep(0.5)
    if not fleet.trouble:
        return
    for _turn in range(int(FLAP_S / PERIOD_S)):
        await worker.crash()
        await asyncio.sleep(PERIOD_S / 2)
        await worker.start()
        await asyncio.sleep(PERIOD_S / 2)


async def wait_for_ends(fleet: Fleet, jobs: list[str]) -> dict[str, str]:
    """Return the state of each job once all have ended."""
    entry = next(iter(fleet.entries.values()))
    states: dict[str, str] = {}
    for _attempt in range(FINISH_S):
        await asyncio.sleep(1)
        for job in jobs:
            if states.get(job) in {'completed', 'failed'}:
                continue
            reply = await fleet.state_of(entry, 'gate-check', job, quiet=True)
            if reply.body:
                states[job] = reply.body['state']
        if all(states.get(job) in {'completed', 'failed'} for job in jobs):
            break
    for job, state in states.items():
        fleet.record.note('GET', job=job, state=state)
    return states


if __name__ == '__main__':
    run_case(case, pathlib.Path(__file__).resolve().parent, 'tuul-wash-grown')
