"""
The disruption that two cases share: one start order is carried out late.

The first order to start the task of a job gets no answer; its worker gets it
some seconds later, after it has restarted under the id that it had.
"""

import asyncio
import time

import deployment as kit

WORKERS = 8
#: Other jobs, handed in meanwhile: their number, steps and spec.
OTHERS = 8
OTHER_STEPS = [{'count': 4, 'cpu': 500, 'memMb': 256, 'estimateMs': 300}]
OTHER_SPEC = {'workMs': 300, 'cpu': 500}
#: How long late orders may last, s, and the largest share of them: the site's.
WINDOW_S = 5.5
LARGEST_SHARE = 0.055


async def start(deployment):
    """Start the deployment, with a proxy in front of each worker."""
    await deployment.start_platform()
    await deployment.start_entries(2)
    await deployment.start_fleet(WORKERS, proxied=True)
    await asyncio.sleep(4)


async def submit_with_late_order(deployment, steps, spec, late_s):
    """Hand a job in whose first start order is late; return id and time."""
    job = kit.job_id()
    for number in range(1, WORKERS + 1):
        if late_s:
            name = f'proxy-w-{number}'
            deployment.hold_back(name, 'run-start', job, late_s)
    if late_s:
        deployment.record(f'one order to start a run of {job}: {late_s} s late')
    sent = time.monotonic()
    if not await deployment.submit(job, steps, spec):
        raise kit.CannotRun('the job was not accepted')
    return job, sent


async def submit_others(deployment):
    """Hand the other jobs in."""
    for _each in range(OTHERS):
        await deployment.submit(kit.job_id(), OTHER_STEPS, OTHER_SPEC)


def release(deployment):
    """Let all later orders pass at once."""
    for number in range(1, WORKERS + 1):
        deployment.release(f'proxy-w-{number}')


def check_share(deployment, since):
    """Make sure that the late order is a small share of all orders."""
    share = deployment.share_of_one(since, since + WINDOW_S)
    deployment.record(f'late orders: a share of {share:.3f}')
    if share > LARGEST_SHARE:
        raise kit.CannotRun('too large a share of the orders is late')
