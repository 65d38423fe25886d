"""Upkeep ends more tasks of a step at a time than may be missing."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.fleet import Fleet, run_case  # noqa: E402
from standins.workers import Plan, Worker  # noqa: E402

SERVICE = 'gate-desk'
QUEUE = 'payout-settle'
#: As many workers as the lasting job has tasks, one on each.
WORKERS = 5
JOB = f'{9:016x}'
MAY_MISS = 1
STEP = {
    'count': WORKERS,
    'cpu': 2_600,
    'memMb': 9_700,
    'perpetual': True,
    'antiAffinity': 1,
    'mayMiss': MAY_MISS,
}
#: The wave: all machines, two at once.
WAVE = {'wave': 1, 'periodS': 60, 'maxCount': 2}
#: When the cloud is down, s after the wave was asked for, and for how long.
CLOUD_DOWN_AT_S = 0.05
CLOUD_DOWN_S = 5.0
END_AT_S = 50.0
SETTLE_S = 6.0


class Watch:
    """Tells which tasks are away, and checks each order for a machine."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tasks = [f'{JOB}.0.0.{index}' for index in range(WORKERS)]
        self.broken: list[str] = []
        fleet.on_order = self.check

    def percent(self, task: str) -> int:
        """Return how far a task is; at 100 it is at work."""
        return max(
            (
                run.percent()
                for worker in self.workers()
                if worker.life
                for run in worker.life.running.values()
                if run.task == task and run.stops_at is None
            ),
            default=0,
        )

    def workers(self) -> list[Worker]:
        """Return the workers of now."""
        return [known['worker'] for known in self.fleet.machines.values()]

    def check(self, worker: Worker) -> None:
        """Check what an order is about to end."""
        if worker.life is None:
            return
        ended = {run.task for run in worker.life.running.values()}
        for task in sorted(ended):
            if self.percent(task) < 100:
                continue
            away = [
                other
                for other in self.tasks
                if other != task and self.ended_by_order(other)
            ]
            self.fleet.record.note(
                'an order ends a task at work',
                task=task,
                machine=worker.machine,
                away=away,
            )
            if len(away) >= MAY_MISS:
                self.broken.append(f'{task} while {away} are away')

    def ended_by_order(self, task: str) -> bool:
        """
        Return whether a task is away because an order ended it.

        No task of this case ends in any other way: there is no fault at the
        workers, and no lease lapses.
        """
        return self.percent(task) < 100


async def case(fleet: Fleet) -> int:
    """Return whether an upkeep ends a task while others are away."""
    fleet.plan_of = lambda worker, task: Plan(None)
    fleet.add_service(SERVICE)
    fleet.add_route(QUEUE, SERVICE, targetDurationMs=2_500)
    fleet.configure()
    for number in range(WORKERS):
        await fleet.add_worker(f'w{number}', SERVICE)
    for number in range(3):
        await fleet.add_entry(f'front-{number}')
    if not await fleet.wait_until_ready():
        return 2
    await fleet.submit(fleet.entries['front-0'], QUEUE, JOB, [STEP])
    await asyncio.sleep(SETTLE_S)
    watch = Watch(fleet)
    if min(map(watch.percent, watch.tasks)) < 100:
        return 2
    fleet.store.put('op', 'wave/1', {**WAVE, 'machines': list(fleet.machines)})
    fleet.record.note('wave asked for', machines=len(fleet.machines))
    await asyncio.sleep(CLOUD_DOWN_AT_S)
    set_cloud_down(fleet, down=fleet.trouble)
    await asyncio.sleep(CLOUD_DOWN_S)
    set_cloud_down(fleet, down=False)
    await asyncio.sleep(END_AT_S - CLOUD_DOWN_S)
    status = fleet.store.rows.get(('status', '', 'wave/1'))
    fleet.record.note('wave', status=status)
    lapsed = [worker.worker_id for worker in watch.workers() if not worker.life]
    fleet.record.note('result', broken=watch.broken, down=lapsed)
    return 1 if watch.broken else 0


def set_cloud_down(fleet: Fleet, *, down: bool) -> None:
    """Let the cloud refuse all calls with 503, or answer them again."""
    if down != fleet.cloud_down:
        fleet.cloud_down = down
        fleet.record.note('cloud down' if down else 'cloud up')


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    run_case(case, folder, 'tuul-wash')
