"""Runs at a worker that came back from a cut are started a second time."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.fleet import Fleet, run_case  # noqa: E402
from standins.workers import Plan, Worker  # noqa: E402

SERVICE = 'gate-desk'
QUEUE = 'gate-check'
#: One of eight workers is cut off; the site cuts off 0.17 of them.
WORKERS = 8
CUT_S = 5.3
#: The jobs that fill the other workers, one task on each.
FILLING_JOB = 'f' * 16
FILLING_STEP = {'count': WORKERS - 1, 'cpu': 30_000, 'memMb': 500}
FILLING_S = 60.0
#: The job that comes while the worker is away, and when, s after the cut.
JOB = f'{5:016x}'
STEP = {'count': 4, 'cpu': 4_000, 'memMb': 500, 'estimateMs': 3_000}
TASK_S = 3.0
SUBMIT_AT_S = 5.0
END_S = 15.0


async def case(fleet: Fleet) -> int:
    """Return whether two runs of one task are at work at the same time."""

    def plan_of(worker: Worker, task: str) -> Plan:
        return Plan(FILLING_S if task.startswith(FILLING_JOB) else TASK_S)

    fleet.plan_of = plan_of
    fleet.add_service(SERVICE)
    fleet.add_route(QUEUE, SERVICE)
    fleet.configure()
    for number in range(WORKERS):
        await fleet.add_worker(f'w{number}', SERVICE)
    for number in range(3):
        await fleet.add_entry(f'front-{number}')
    if not await fleet.wait_until_ready():
        return 2
    entry = fleet.entries['front-0']
    await fleet.submit(entry, QUEUE, FILLING_JOB, [FILLING_STEP])
    await asyncio.sleep(8)
    idle = next(
        worker
        for worker in fleet.workers.values()
        if worker.life and not worker.life.running
    )
    await wait_for_beat(idle)
    if fleet.trouble:
        idle.cut()
    await asyncio.sleep(SUBMIT_AT_S)
    await fleet.submit(entry, QUEUE, JOB, [STEP])
    await asyncio.sleep(CUT_S - SUBMIT_AT_S)
    if fleet.trouble:
        idle.heal()
    await asyncio.sleep(END_S)
    await fleet.state_of(entry, QUEUE, JOB)
    broken = [*fleet.record.overlaps, *fleet.record.started_after_done()]
    fleet.record.note('result', broken=broken)
    return 1 if broken else 0


async def wait_for_beat(worker: Worker) -> None:
    """Return right after a worker has written to the store."""
    last = worker.last_beat
    while worker.last_beat == last:
        await asyncio.sleep(0.02)
    await asyncio.sleep(max(0, last + 0.05 - time.monotonic()))


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    run_case(case, folder, 'tuul-wash')
