"""
Two workers of eight are cut off, one after the other; a job is given up.

Neither of them crashes, and no run of the job ends ``failed``.  Its task must
be started again, and the job must stay ``running``.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment as kit  # noqa: E402

STEPS = [{'count': 1, 'cpu': 2000, 'memMb': 1024, 'perpetual': True}]
SPEC = {'workMs': 0, 'cpu': 2000}
#: How long after the start of a run its worker is cut off, and for how long, s.
AGE_S, CUT_S = 0.7, 2.0
#: How often the job is asked for after the cuts, and how long between.
LOOKS, LOOK_INTERVAL_S = 8, 2.0


async def cut_for_a_while(deployment, worker_id):
    """Cut a worker off for the time of one cut."""
    deployment.cut_off(worker_id, cut=True)
    await asyncio.sleep(CUT_S)
    deployment.cut_off(worker_id, cut=False)


async def main(deployment, trouble):
    """Bring the cuts about and look at the job."""
    await deployment.start_platform()
    await deployment.start_entries(2)
    await deployment.start_fleet(8, proxied=True)
    # The workers have been up for a while, as in a running deployment.
    await asyncio.sleep(8)
    job = kit.job_id()
    if not await deployment.submit(job, STEPS, SPEC):
        raise kit.CannotRun('the job was not accepted')
    cuts = []
    for number in (1, 2) if trouble else (1,):
        run = await deployment.wait_for_event(
            lambda event, number=number: (
                event['event'] == 'start' and event['run'] == number
            ),
            20,
        )
        if run is None:
            raise kit.CannotRun(f'run {number} was not started')
        if trouble:
            await asyncio.sleep(AGE_S)
            cut = cut_for_a_while(deployment, run['worker'])
            cuts.append(asyncio.create_task(cut))
    await asyncio.gather(*cuts)
    states = []
    for _look in range(LOOKS):
        await asyncio.sleep(LOOK_INTERVAL_S)
        states.append(await deployment.state_of(job))
    events = deployment.read_events()
    failed = [e for e in events if e['event'] == 'end' and e['how'] == 'failed']
    born = [e for e in events if e['event'] == 'born']
    deployment.record(
        f'starts of workers: {len(born)}; starts of the task: '
        f'{sum(e["event"] == "start" for e in events)}; ends "failed": '
        f'{len(failed)}'
    )
    if not failed and {'failed', 'cancelled', 410}.intersection(states):
        deployment.record('LOST: the job is shown as failed without cause')
        return kit.BROKEN
    return kit.HELD


kit.run_case(main, HERE / 'record.txt')
