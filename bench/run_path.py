"""
bench.run_path
==============

Processor time of the path of a run, by part.

One entry VM owns a service; its scheduler, store client and worker client are
real and call workers and a store in another process over loopback.  Jobs are
submitted at a constant rate.  Prints the processor time of the entry VM per
run, and from a second pass under a profiler the share of each part.  Run it
with ``python -m bench.run_path``.
"""

import argparse
import cProfile
import logging
import os
import pstats
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Final, NamedTuple

import trio

from cyclamenshift.component import Component, Host
from cyclamenshift.http1 import Address
from cyclamenshift.job import Job, Resources
from cyclamenshift.logs import JsonFormatter, RateLimitedHandler
from cyclamenshift.platform.store import PlatformStore
from cyclamenshift.platform.workers import PlatformWorkers
from cyclamenshift.store import Store
from cyclamenshift.worker import WorkerClient
from tests.builders import WALL_START, job, step, worker
from tests.standins.jobs import JobCluster, JobEntry

#: The load of the profile that led to this benchmark: 2,000 runs in 46 s.
JOBS_PER_SECOND: Final = 2.75
TASKS_PER_STEP: Final = 8
STEPS_PER_JOB: Final = 2
WORKER_COUNT: Final = 16
#: Every fourth job asks for copies of slow runs.
SPECULATIVE_SHARE: Final = 4
MEASUREMENT_S: Final = 20
IDLE_S: Final = 5
US_PER_SECOND: Final = 1_000_000

#: The parts, and the functions that each is entered by.
PARTS: Final = (
    ('renewals', ('lease_renewer.py', ('run',))),
    ('orders', ('orders.py', ('run',))),
    ('records', ('recorder.py', ('run',))),
    ('placement', ('placer.py', ('place',))),
    ('reports of the pool', ('reporting.py', ('report_pool',))),
    ('HTTP', ('http1.py', ('call',))),
    ('cancel scopes', ('_run.py', ('__enter__', '_close', '__exit__'))),
    ('deadlines', ('_timeouts.py', ('move_on_after', 'fail_after'))),
    ('clock', ('clock.py', ('now',))),
    ('waits for sockets', ('_io_epoll.py', ('get_events',))),
    ('log lines', ('logs.py', ('_write',))),
)


class Usage(NamedTuple):
    """Processor time of the entry VM, of a pass; ``idle`` is per second."""

    runs: int
    idle: float
    total: float
    elapsed: float

    def per_run(self) -> float:
        """Return the processor time per run, µs."""
        return self.total / self.runs * US_PER_SECOND


class BoundStore(PlatformStore):
    """The store client, with an address that is known at run time."""

    store_address = ''

    def __init__(self, kernel: Host) -> None:
        """Set the address."""
        kernel.settings['store']['address'] = self.store_address
        super().__init__(kernel)


class HttpJobCluster(JobCluster):
    """Entry VMs with the real clients of the store and of the workers."""

    def __init__(self, nursery: trio.Nursery, ports: list[int]) -> None:
        """Use the store and the workers at *ports*."""
        super().__init__(nursery)
        self.store_address = f'127.0.0.1:{ports[0]}'
        for number, port in enumerate(ports[1:]):
            registered = worker(
                f'worker-{number}',
                started_at=WALL_START + number + 1,
                address=Address('127.0.0.1', port),
                resources=Resources(8_000, 65_536),
            )
            self.platform.workers[registered.worker_id] = registered

    def _component_types(self) -> list[type[Component]]:
        BoundStore.store_address = self.store_address
        types = super()._component_types()
        kept = [each for each in types if not _is_replaced(each)]
        return [BoundStore, PlatformWorkers, *kept]


def _is_replaced(component: type[Component]) -> bool:
    return issubclass(component, (WorkerClient, Store))


@contextmanager
def platform() -> Iterator[list[int]]:
    """Run the workers and the store; provide their ports."""
    with subprocess.Popen(
        [sys.executable, '-m', 'bench.platform_server', str(WORKER_COUNT)],
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout
        try:
            yield list(map(int, process.stdout.readline().split()))
        finally:
            process.kill()


async def measure(
    seconds: int, ports: list[int], profile: cProfile.Profile | None
) -> Usage:
    """Return the usage by the jobs of *seconds* seconds."""
    async with trio.open_nursery() as nursery:
        cluster = HttpJobCluster(nursery, ports)
        entry = (await cluster.start_all(1))[0]
        await trio.sleep(2)
        idle_before = time.process_time()
        await trio.sleep(IDLE_S)
        idle = (time.process_time() - idle_before) / IDLE_S
        jobs = [_new_job(entry, each) for each in range(_job_count(seconds))]
        before, started = time.process_time(), time.perf_counter()
        if profile:
            profile.enable()
        await _submit_all(cluster, entry, jobs)
        if profile:
            profile.disable()
        total = time.process_time() - before
        elapsed = time.perf_counter() - started
        nursery.cancel_scope.cancel()
    runs = len(jobs) * TASKS_PER_STEP * STEPS_PER_JOB
    return Usage(runs, idle, total, elapsed)


async def _submit_all(
    cluster: HttpJobCluster, entry: JobEntry, jobs: list[Job]
) -> None:
    async with trio.open_nursery() as callers:
        for submitted in jobs:
            callers.start_soon(cluster.submit, entry, submitted)
            await trio.sleep(1 / JOBS_PER_SECOND)
    scheduler = entry.scheduler.schedulers['desk']
    while not all(
        each.reported_state.final for each in scheduler.tracker.jobs.values()
    ):
        await trio.sleep(0.05)


def _job_count(seconds: int) -> int:
    return round(seconds * JOBS_PER_SECOND)


def _new_job(entry: JobEntry, number: int) -> Job:
    kind = partial(
        step,
        tasks=TASKS_PER_STEP,
        estimate=1_200,
        speculative=number % SPECULATIVE_SHARE == 0,
    )
    steps = [
        kind(dependencies=(each - 1,) if each else ())
        for each in range(STEPS_PER_JOB)
    ]
    return job(
        f'job-{number}',
        steps=tuple(steps),
        accepted=entry.kernel.clock.wall_time(),
    )


def print_parts(profile: cProfile.Profile, usage: Usage) -> None:
    """Print the time in each part, with what it calls, per run."""
    stats: Any = pstats.Stats(profile)
    entries: dict[tuple[str, int, str], Any] = stats.stats
    # Unlike the times, it does not depend on what else the machine does.
    print(f'{stats.total_calls / usage.runs:.0f} function calls per run')
    print('part                    µs/run  calls/run')
    for name, (module, functions) in PARTS:
        found = [
            timing
            for (path, _line, function), timing in entries.items()
            if path.endswith(f'/{module}') and function in functions
        ]
        spent = sum(timing[3] for timing in found) / usage.runs * US_PER_SECOND
        calls = sum(timing[1] for timing in found) / usage.runs
        print(f'{name:22}  {spent:6.0f}  {calls:9.1f}')


def print_usage(usage: Usage) -> None:
    """Print the processor time without a profiler."""
    print(
        f'{usage.runs} runs in {usage.elapsed:.1f} s:'
        f' {usage.per_run():.0f} µs of processor time per run,'
        f' idle {usage.idle * 100:.2f} % of a core',
        flush=True,
    )


def main() -> None:
    """Measure without and with the profiler, and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=int, default=MEASUREMENT_S)
    parser.add_argument('--passes', type=int, default=2)
    parser.add_argument('--top', type=int, default=0, help='functions to list')
    options = parser.parse_args()
    logger = logging.getLogger('cyclamenshift')
    logger.setLevel(logging.INFO)
    log_handler = RateLimitedHandler(os.open(os.devnull, os.O_WRONLY))
    log_handler.setFormatter(JsonFormatter())
    logger.addHandler(log_handler)
    for _pass in range(options.passes):
        with platform() as ports:
            print_usage(trio.run(measure, options.seconds, ports, None))
    # Waits for a processor must not count where others use the machine.
    profile = cProfile.Profile(time.process_time)
    with platform() as ports:
        usage = trio.run(measure, options.seconds, ports, profile)
    print('under the profiler: ', end='')
    print_usage(usage)
    print_parts(profile, usage)
    if options.top:
        pstats.Stats(profile).sort_stats('tottime').print_stats(options.top)


if __name__ == '__main__':
    main()
