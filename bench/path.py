"""
bench.path
==========

The cost of the path, as a ratio to the caller going straight to a worker.

Prints, for each way to a worker: the caller's p50 and p99 one request at a
time, the processor time of the entry VM for each request, and requests a
second with several callers.  ``python -m bench.path``.
"""

import argparse
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import httpx
import trio
from hdrh.histogram import HdrHistogram

from tests.standins.processes import EntryProcess, ProcessCluster

#: Requests sent one after another, and those before that are not counted.
SERIAL: Final = 1_000
WARM_UP: Final = 200
#: Processes that send at the same time, and the requests of each.
SENDERS: Final = 4
SENDER_REQUESTS: Final = 500
#: Requests that one sender has open at a time.
SENDER_TASKS: Final = 2

#: The bounds of the histogram, microseconds, and its precision.
HISTOGRAM: Final = (1, 60_000_000, 3)
TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


class Target(NamedTuple):
    """One way to a worker."""

    name: str
    url: str
    process: int


class Cost(NamedTuple):
    """What one way costs; times in milliseconds."""

    name: str
    p50: float
    p99: float
    cpu: float
    rate: float


def main() -> None:
    """Measure every way in turn and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--send', help='send to this URL; used by itself')
    options = parser.parse_args()
    if options.send:
        trio.run(send_many, options.send)
        return
    with tempfile.TemporaryDirectory() as folder:
        with ProcessCluster(pathlib.Path(folder)) as site:
            show(trio.run(measure, site))


async def measure(site: ProcessCluster) -> list[Cost]:
    """Return the cost of each way."""
    site.start_store_and_workers('desk-1')
    embedded = await _start(
        site,
        'embedded',
        endpoint={'plugin': 'memory'},
        store={'plugin': 'memory'},
    )
    owner = await _start(site, 'owner')
    site.entries.pop('embedded')
    remote = await _start(
        site,
        'remote',
        entry={'data_centre': 'dc-2'},
    )
    await site.wait_until_ready()
    worker = site.workers['desk-1']
    targets = [
        Target('straight', f'{worker.address}/requests', 0),
        Target('no worker', _url(embedded), embedded.process.pid),
        Target('owner', _url(owner), owner.process.pid),
        Target('forwarded', _url(remote), remote.process.pid),
    ]
    return [await _cost(target) for target in targets]


def show(costs: Sequence[Cost]) -> None:
    """Print the table, with ratios to the first row."""
    print('way        p50 ms  p99 ms  p50 ratio  entry cpu ms  requests/s')
    for cost in costs:
        ratio = cost.p50 / costs[0].p50
        print(
            f'{cost.name:10} {cost.p50:6.2f}  {cost.p99:6.2f}'
            f'  {ratio:9.2f}  {cost.cpu:12.2f}  {cost.rate:10.0f}',
        )


async def send_many(url: str) -> None:
    """Send this process's share of a concurrent load."""
    async with httpx.AsyncClient(timeout=30) as client:
        async with trio.open_nursery() as nursery:
            for _task in range(SENDER_TASKS):
                nursery.start_soon(_send, client, url)


async def _start(
    site: ProcessCluster, entry_id: str, **changes: Any
) -> EntryProcess:
    entry = site.start_entry(entry_id, **changes)
    await site.wait_until_up(entry)
    site.command(
        '--entry',
        entry.operators_address,
        'config',
        'apply',
        site.write_config(),
    )
    return entry


async def _cost(target: Target) -> Cost:
    histogram = HdrHistogram(*HISTOGRAM)
    async with httpx.AsyncClient(timeout=30) as client:
        for _number in range(WARM_UP):
            await _ask(client, target.url)
        before = cpu_ms(target.process)
        for _number in range(SERIAL):
            started = time.perf_counter_ns()
            await _ask(client, target.url)
            histogram.record_value((time.perf_counter_ns() - started) // 1000)
    cpu = (cpu_ms(target.process) - before) / SERIAL
    return Cost(
        target.name,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        cpu,
        _rate(target.url),
    )


def _rate(url: str) -> float:
    started = time.perf_counter()
    senders = [
        subprocess.Popen([sys.executable, '-m', 'bench.path', '--send', url])
        for _sender in range(SENDERS)
    ]
    for sender in senders:
        sender.wait()
    elapsed = time.perf_counter() - started - _import_seconds()
    return SENDERS * SENDER_REQUESTS / elapsed


def _import_seconds() -> float:
    started = time.perf_counter()
    subprocess.run(
        [sys.executable, '-c', 'import bench.path'],
        check=True,
    )
    return time.perf_counter() - started


async def _send(client: httpx.AsyncClient, url: str) -> None:
    for _number in range(SENDER_REQUESTS // SENDER_TASKS):
        await _ask(client, url)


async def _ask(client: httpx.AsyncClient, url: str) -> None:
    response = await client.post(
        url,
        content=b'hello',
        headers={'Request-Kind': 'look-up', 'Content-Type': 'text/plain'},
    )
    response.raise_for_status()


def cpu_ms(process: int) -> float:
    """Return the processor time that *process* has used, ms; 0 for none."""
    if not process:
        return 0
    stat = pathlib.Path(f'/proc/{process}/stat').read_text(encoding='ascii')
    fields = stat.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_SECOND


def _url(entry: EntryProcess) -> str:
    return f'{entry.callers_address}/v1/services/desk/requests'


if __name__ == '__main__':
    main()
