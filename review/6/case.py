"""A job runs twice because its queue was moved to another service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import deployment  # noqa: E402

QUEUE, OLD, NEW = 'gate', 'desk', 'hall'
JOB = deployment.job_id(1)
STEP = {'count': 3, 'cpu': 1800, 'memMb': 5100, 'estimateMs': 12_000}
TASK_S = 12.0
#: ``configApplyMs`` and half a second more, seconds.
APPLY_S = 2.5


async def run(case: deployment.Deployment) -> list[str]:
    """
    Submit a job, remove its queue and add it again for another service.

    Then the request that submitted it arrives once more.
    """
    await case.start(3, {OLD: 3, NEW: 3})
    case.configure({OLD: OLD, NEW: NEW, QUEUE: OLD})
    await asyncio.sleep(APPLY_S)
    first, second = case.entries[:2]
    await case.hand_in(first, QUEUE, JOB, [STEP], [TASK_S])
    await asyncio.sleep(1)
    if case.trouble:
        case.configure({OLD: OLD, NEW: NEW})
    await asyncio.sleep(APPLY_S)
    if case.trouble:
        case.configure({OLD: OLD, NEW: NEW, QUEUE: NEW})
    await asyncio.sleep(APPLY_S)
    state = await case.state(second, QUEUE, JOB)
    breaches = []
    if state == '410':
        breaches.append(f'the accepted job {JOB} is answered 410')
    await case.submit(second, QUEUE, JOB, [STEP], [TASK_S])
    await asyncio.sleep(3)
    places: dict[str, list[str]] = {}
    for worker, task, _run in case.running(JOB):
        places.setdefault(task, []).append(worker)
    case.record('watched', running=places)
    breaches += [
        f'{task} runs at {" and at ".join(workers)}'
        for task, workers in sorted(places.items())
        if len(workers) > 1
    ]
    return breaches


deployment.main(run, FOLDER)
