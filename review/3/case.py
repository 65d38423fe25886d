"""A job that a caller was told is not accepted is run all the same."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.fleet import Entry, Fleet, run_case  # noqa: E402
from standins.workers import Plan  # noqa: E402

SERVICE = 'gate-desk'
QUEUE = 'gate-check'
WORKERS = 4
JOB = f'{7:016x}'
STEP = {'count': 2, 'cpu': 1_000, 'memMb': 500, 'estimateMs': 500}
#: How long the store is down, s; the site has 4.5 s.
OUTAGE_S = 4.5
#: How long after its beginning the owner's process is killed, s.
KILL_AFTER_S = 0.3
#: How long a killed process is away, s; the site has 3.5 s.
RESTART_S = 1.0
#: How long the system has to start the job, s.
START_S = 15.0


async def case(fleet: Fleet) -> int:
    """Return whether a task starts though all attempts were rejected."""
    fleet.plan_of = lambda worker, task: Plan(0.5)
    fleet.add_service(SERVICE)
    fleet.add_route(QUEUE, SERVICE)
    fleet.configure()
    for number in range(WORKERS):
        await fleet.add_worker(f'w{number}', SERVICE)
    for number in range(3):
        await fleet.add_entry(f'front-{number}')
    if not await fleet.wait_until_ready():
        return 2
    owner = fleet.entries[fleet.owner_of(SERVICE)]
    other = next(each for each in fleet.entries.values() if each is not owner)
    fleet.record.note('owner', entry=owner.name, sent_to=other.name)
    trouble = asyncio.create_task(fail(fleet, owner))
    reply = await fleet.submit(other, QUEUE, JOB, [STEP])
    await trouble
    await asyncio.sleep(START_S)
    await fleet.state_of(other, QUEUE, JOB)
    starts = [task for task in fleet.record.starts if task.startswith(JOB)]
    fleet.record.note('result', answer=reply.status, started=starts)
    rejected = reply.status in {429, 503}
    return 1 if rejected and starts else 0


async def fail(fleet: Fleet, owner: Entry) -> None:
    """
    Let the store fail as it writes the job, and kill the owner meanwhile.

    The write is done, and its answer is lost with its connection.
    """
    written = asyncio.Event()

    def on_write(keys: set[tuple[str, str, str]]) -> None:
        if ('job', SERVICE, JOB) in keys and not written.is_set():
            written.set()
            if fleet.trouble:
                set_store_down(fleet, down=True)

    fleet.store.on_write.append(on_write)
    if not fleet.trouble:
        return
    await written.wait()
    await asyncio.sleep(KILL_AFTER_S)
    owner.signal(signal.SIGKILL)
    fleet.record.note('killed', entry=owner.name)
    await asyncio.sleep(RESTART_S)
    fleet.launch(owner)
    await asyncio.sleep(OUTAGE_S - RESTART_S - KILL_AFTER_S)
    set_store_down(fleet, down=False)


def set_store_down(fleet: Fleet, *, down: bool) -> None:
    """Let the store refuse all calls with 503, or answer them again."""
    fleet.record.note('store down' if down else 'store up')
    for entry in fleet.entries.values():
        entry.path.refuse = down


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    run_case(case, folder, 'tuul-wash')
