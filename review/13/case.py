"""
Workers that failed for some seconds get no task that lasts ever again.

Two workers of 24, the only ones of their kind, fail what they start for 6 s.
After that nothing is wrong with them, and they have nothing to do; a task that
lasts and needs their kind waits.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment as kit  # noqa: E402

WORKERS = 24
FAULTY = ('w-01', 'w-02')
LASTING = [
    {
        'count': 1,
        'cpu': 2000,
        'memMb': 1024,
        'perpetual': True,
        'requires': 'b',
    }
]
SHORT = [{'count': 8, 'cpu': 2000, 'memMb': 1024, 'estimateMs': 300}]
#: How long the workers fail, s, and how many short jobs come meanwhile.
GREY_S, SHORT_JOBS = 6.0, 12
#: The rule holds from 6 s after the task's last run, for 3 s that are calm, as
#: the 4 s before them.  The workers are watched for longer, s.
BOUND_S, WATCH_S = 7.0, 30.0


async def main(deployment, trouble):
    """Let the workers fail for a while, and wait for the task."""
    deployment.contracts = [*kit.CONTRACTS, 'health']
    await deployment.start_platform()
    await deployment.start_entries(2)
    for number in range(1, WORKERS + 1):
        name = f'w-{number:02}'
        kind = 'b' if name in FAULTY else 'a'
        await deployment.start_worker(name, f'm-{number:02}', kind=kind)
    await asyncio.sleep(5)
    if trouble:
        for name in FAULTY:
            deployment.set_grey(name, grey=True)
    began = time.monotonic()
    job = kit.job_id()
    spec = {'workMs': 0, 'cpu': 2000}
    if not await deployment.submit(job, LASTING, spec):
        raise kit.CannotRun('the job was not accepted')
    for _each in range(SHORT_JOBS):
        await deployment.submit(
            kit.job_id(), SHORT, {'workMs': 300, 'cpu': 2000}
        )
        await asyncio.sleep(0.3)
    await asyncio.sleep(max(0, began + GREY_S - time.monotonic()))
    if trouble:
        for name in FAULTY:
            deployment.set_grey(name, grey=False)
    healed = time.monotonic()
    start = await deployment.wait_for_event(
        lambda event: (
            event['event'] == 'start'
            and event['task'].startswith(job)
            and (event['at'] > healed or not trouble)
        ),
        WATCH_S,
    )
    await deployment.state_of(job)
    waited = (start['at'] if start else time.monotonic()) - healed
    if trouble:
        shown = 'started' if start else 'not started'
        deployment.record(f'the task is {shown} {waited:.3f} s after the fault')
    if waited > BOUND_S:
        deployment.record(
            f'LOST: it had nothing running, and {len(FAULTY)} idle workers'
        )
        return kit.BROKEN
    return kit.HELD


kit.run_case(main, HERE / 'record.txt')
