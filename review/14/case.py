"""
Two runs of a task at the same time, after a late order and a restart.

The order gets no answer and is repeated.  More than 3 s later the worker
restarts once under the id that it had, and the task is started again.  Then
the worker gets the late order.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment as kit  # noqa: E402
import late_orders  # noqa: E402

STEPS = [{'count': 1, 'cpu': 2000, 'memMb': 1024, 'estimateMs': 20_000}]
SPEC = {'workMs': 20_000, 'cpu': 2000}
#: How late the order is carried out, s; the pages allow 2 to 12.
LATE_S = 8.0
#: When the worker restarts, s after the job was handed in.
RESTART_S = 6.0
#: How long the workers are watched after the late order, s.
WATCH_S = 4.0


async def main(deployment, trouble):
    """Bring the late order about and look for two runs at once."""
    await late_orders.start(deployment)
    job, sent = await late_orders.submit_with_late_order(
        deployment, STEPS, SPEC, LATE_S if trouble else 0
    )
    first = await deployment.wait_for_event(
        lambda event: (
            event['event'] == 'start' and event['task'].startswith(job)
        ),
        10,
    )
    if first is None:
        raise kit.CannotRun('the task was not started')
    late_orders.release(deployment)
    await late_orders.submit_others(deployment)
    await asyncio.sleep(max(0, sent + RESTART_S - time.monotonic()))
    if trouble:
        await deployment.restart_worker(first['worker'])
    await asyncio.sleep(max(0, sent + LATE_S + WATCH_S - time.monotonic()))
    late_orders.check_share(deployment, sent)
    pairs = deployment.overlaps()
    for one, other, overlap in pairs:
        deployment.record(
            f'TWICE: {one["task"]} run {one["run"]} on {one["worker"]} and run '
            f'{other["run"]} on {other["worker"]}, together for {overlap:.3f} s'
        )
    return kit.BROKEN if pairs else kit.HELD


kit.run_case(main, HERE / 'record.txt')
