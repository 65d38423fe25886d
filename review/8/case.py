"""A large job stops all other jobs of its service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import deployment  # noqa: E402

QUEUE = 'desk'
LARGE, SMALL = deployment.job_id(1), deployment.job_id(2)
#: The tasks of the large job; they take 41% of the cores of the pool.
TASKS = 700
#: The tasks without the disruption.
FEW_TASKS = 20
LARGE_STEP = {
    'cpu': 150,
    'memMb': 128,
    'estimateMs': 90_000,
    'savesProgress': True,
}
#: A short step of the large job.
SHORT_STEP = {'count': 4, 'cpu': 150, 'memMb': 128, 'estimateMs': 10_000}
SMALL_STEP = {'count': 4, 'cpu': 1000, 'memMb': 256, 'estimateMs': 500}
#: Seconds until the tasks of the large job are at work and have saved.
SETTLED_S = 14
#: ``finish_s``, and for how long nothing may run after it, seconds.
FINISH_S, IDLE_S = 14, 3


async def run(case: deployment.Deployment) -> list[str]:
    """Submit a small job while the tasks of a large one are at work."""
    await case.start(3, {QUEUE: 8})
    entry = case.entries[0]
    large = {**LARGE_STEP, 'count': TASKS if case.trouble else FEW_TASKS}
    steps = [large, SHORT_STEP]
    await case.hand_in(entry, QUEUE, LARGE, steps, [90, 10])
    await asyncio.sleep(SETTLED_S)
    case.record('settled', running=len(case.running(LARGE)))
    await case.hand_in(entry, QUEUE, SMALL, [SMALL_STEP], [0.5])
    await asyncio.sleep(FINISH_S)
    before = case.starts(SMALL)
    await asyncio.sleep(IDLE_S)
    state = await case.state(entry, QUEUE, SMALL)
    after = case.starts(SMALL)
    used = sum(
        run.step.cpu
        for worker in case.workers
        for run in worker.running.values()
    )
    capacity = sum(w.fields['capacity']['cpu'] for w in case.workers)
    case.record(
        'watched', state=state, starts=after, used=used, capacity=capacity
    )
    for line in sorted(set(case.store.rejected))[:3]:
        case.record('store-rejected', problem=line)
    idle = not after and not before and 2 * used < capacity
    if state == 'completed' or not idle:
        return []
    return [
        f'the accepted job {SMALL} is {state} and has not begun '
        f'{FINISH_S + IDLE_S} s later; {used} of {capacity} millicores in use'
    ]


deployment.main(run, FOLDER)
