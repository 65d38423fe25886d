"""Jobs stand still after the loss of a worker, with most of the pool free."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import deployment  # noqa: E402

QUEUE = 'desk'
WORKERS = 8
LONG = deployment.job_id(1)
#: One long task on each worker: 12.5% of the cores of the pool.
LONG_STEP = {
    'count': WORKERS,
    'cpu': 4000,
    'memMb': 5100,
    'estimateMs': 100_000,
    'antiAffinity': 1,
}
LONG_S = 100
#: The short jobs, like those of ``gate-check``; seconds between two of them.
SHORT_STEP = {'count': 6, 'cpu': 1800, 'memMb': 5100, 'estimateMs': 540}
SHORT_S = 0.54
SHORT_JOBS, PAUSE_S = 24, 0.25
#: Three heartbeats, after which the entry of a lost worker is removed.
REMOVED_S = 4.5
FINISH_S, IDLE_S = 14, 3


async def run(case: deployment.Deployment) -> list[str]:
    """Lose a worker while short jobs come and go."""
    await case.start(3, {QUEUE: WORKERS})
    entry = case.entries[0]
    await case.hand_in(entry, QUEUE, LONG, [LONG_STEP], [LONG_S])
    await asyncio.sleep(3)
    jobs = [deployment.job_id(10 + number) for number in range(SHORT_JOBS)]
    for number, job in enumerate(jobs):
        await case.hand_in(entry, QUEUE, job, [SHORT_STEP], [SHORT_S])
        await asyncio.sleep(PAUSE_S)
        if number == SHORT_JOBS // 2 and case.trouble:
            lose(case)
    await asyncio.sleep(FINISH_S)
    starts = {job: case.starts(job) for job in jobs if not case.running(job)}
    await asyncio.sleep(IDLE_S)
    idle = [job for job, before in starts.items() if case.starts(job) == before]
    used, capacity = use_of(case)
    case.record('watched', used=used, capacity=capacity)
    if 2 * used >= capacity:
        return []
    breaches = []
    for job in idle:
        state = await case.state(entry, QUEUE, job)
        if state != 'completed':
            breaches.append(
                f'{job} is {state}, {case.ends(job, "done")} of its tasks are '
                f'done, and {used} of {capacity} millicores are in use'
            )
    return breaches


def use_of(case: deployment.Deployment) -> tuple[int, int]:
    """Return how many millicores are in use, and how many there are."""
    up = [worker for worker in case.workers if worker.up]
    used = sum(run.step.cpu for worker in up for run in worker.running.values())
    return used, sum(worker.fields['capacity']['cpu'] for worker in up)


def lose(case: deployment.Deployment) -> None:
    """Let the worker with the most runs go for good."""
    worker = max(case.workers, key=lambda each: len(each.running))
    worker.crash()
    loop = asyncio.get_running_loop()
    loop.call_later(REMOVED_S, case.store.remove, 'servers', worker.worker_id)


deployment.main(run, FOLDER)
