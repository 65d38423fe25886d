"""
A task that is done runs again: its first start order is carried out late.

The order gets no answer, is repeated, and the run ends ``done``.  Then the
worker restarts once under the id that it had, and gets the late order.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment as kit  # noqa: E402
import late_orders  # noqa: E402

STEPS = [{'count': 1, 'cpu': 2000, 'memMb': 1024, 'estimateMs': 600}]
SPEC = {'workMs': 600, 'cpu': 2000}
#: How late the order is carried out, s; the pages allow 2 to 12.
LATE_S = 5.0
#: When the worker restarts, s after the job was handed in.
RESTART_S = 3.0
#: How long the workers are watched after the late order, s.
WATCH_S = 4.0


async def main(deployment, trouble):
    """Bring the late order about and look for another start."""
    await late_orders.start(deployment)
    job, sent = await late_orders.submit_with_late_order(
        deployment, STEPS, SPEC, LATE_S if trouble else 0
    )
    noted = await deployment.wait_for_event(
        lambda event: (
            event['event'] == 'noted'
            and event['how'] == 'done'
            and event['task'].startswith(job)
        ),
        10,
    )
    if noted is None:
        raise kit.CannotRun('the end of the task was not taken note of')
    late_orders.release(deployment)
    await late_orders.submit_others(deployment)
    await asyncio.sleep(max(0, sent + RESTART_S - time.monotonic()))
    if trouble:
        await deployment.restart_worker(noted['worker'])
    await deployment.state_of(job)
    await asyncio.sleep(max(0, sent + LATE_S + WATCH_S - time.monotonic()))
    await deployment.state_of(job)
    late_orders.check_share(deployment, sent)
    again = [
        event
        for event in deployment.read_events()
        if event['event'] == 'start'
        and event['task'] == noted['task']
        and event['at'] > noted['at']
    ]
    for event in again:
        deployment.record(
            f'TWICE: {event["task"]} run {event["run"]} started on '
            f'{event["worker"]} {event["at"] - noted["at"]:.3f} s after its '
            'end "done" was taken note of'
        )
    return kit.BROKEN if again else kit.HELD


kit.run_case(main, HERE / 'record.txt')
