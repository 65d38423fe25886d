"""Tasks that are done run again after a queue was removed and added."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.fleet import Entry, Fleet, run_case  # noqa: E402
from standins.workers import Plan, Worker  # noqa: E402

SERVICE = 'gate-desk'
#: The queue that is removed and added again, and one that stays.
QUEUE = 'gate-check'
OTHER_QUEUE = 'payout-settle'
WORKERS = 2
JOB = '5' * 16
STEP = {'count': 4, 'cpu': 1_000, 'memMb': 500, 'estimateMs': 2_000}
TASK_S = 2.0
#: The jobs of the other queue, two a second.
OTHER_STEP = {'count': 4, 'cpu': 1_000, 'memMb': 500, 'estimateMs': 500}
OTHER_TASK_S = 0.5
OTHER_INTERVAL_S = 0.5
#: When the queue is removed, the owner stands still and the queue is added,
#: s after the job was handed in, and for how long the owner does so.
REMOVE_AT_S = 0.5
FREEZE_AT_S = 1.4
FREEZE_S = 4.0
ADD_AT_S = 14.0
END_AT_S = 26.0


async def case(fleet: Fleet) -> int:
    """Return whether a task starts after its end was taken note of."""

    def plan_of(worker: Worker, task: str) -> Plan:
        return Plan(TASK_S if task.startswith(JOB) else OTHER_TASK_S)

    fleet.plan_of = plan_of
    fleet.add_service(SERVICE)
    fleet.add_route(QUEUE, SERVICE)
    fleet.add_route(OTHER_QUEUE, SERVICE)
    fleet.configure()
    for number in range(WORKERS):
        await fleet.add_worker(f'w{number}', SERVICE)
    for number in range(3):
        await fleet.add_entry(f'front-{number}')
    if not await fleet.wait_until_ready():
        return 2
    owner = fleet.entries[fleet.owner_of(SERVICE)]
    other = next(each for each in fleet.entries.values() if each is not owner)
    fleet.record.note('owner', entry=owner.name)
    traffic = asyncio.create_task(submit_others(fleet, other))
    await asyncio.sleep(1)
    await fleet.submit(other, QUEUE, JOB, [STEP])
    await change(fleet, owner)
    traffic.cancel()
    await fleet.state_of(other, QUEUE, JOB)
    again = [
        text
        for text in fleet.record.started_after_done()
        if text.startswith(JOB)
    ]
    for text in again:
        fleet.record.note('RUN AGAIN', what=text)
    return 1 if again else 0


async def change(fleet: Fleet, owner: Entry) -> None:
    """Remove the queue, freeze the owner, and add the queue again."""
    started = fleet.record.now()

    async def wait_until(moment: float) -> None:
        await asyncio.sleep(max(0, started + moment - fleet.record.now()))

    await wait_until(REMOVE_AT_S)
    route = fleet.routes.pop(QUEUE)
    fleet.configure()
    await wait_until(FREEZE_AT_S)
    if fleet.trouble:
        owner.signal(signal.SIGSTOP)
        fleet.record.note('stopped', entry=owner.name)
    await wait_until(FREEZE_AT_S + FREEZE_S)
    if fleet.trouble:
        owner.signal(signal.SIGCONT)
        fleet.record.note('continued', entry=owner.name)
    await wait_until(ADD_AT_S)
    fleet.routes[QUEUE] = route
    fleet.configure()
    await wait_until(END_AT_S)


async def submit_others(fleet: Fleet, entry: Entry) -> None:
    """Hand jobs in at the queue that stays, until cancelled."""
    number = 0
    while True:
        number += 1
        await fleet.submit(entry, OTHER_QUEUE, f'{number:016x}', [OTHER_STEP])
        await asyncio.sleep(OTHER_INTERVAL_S)


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    run_case(case, folder, 'tuul-wash')
