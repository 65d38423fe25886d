"""
bench.path
==========

Overhead of the request path, relative to direct requests to a worker.

Prints for each target: the p50 and p99 latency of sequential requests as the
caller sees it, the CPU time of the entry VM per request, and the throughput
with concurrent requests.  Run it with ``python -m bench.path``.
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

#: Measured sequential requests, and the requests before that warm up.
SERIAL_REQUESTS: Final = 1_000
WARM_UP_REQUESTS: Final = 200
#: Concurrent sender processes, and the requests that each of them sends.
SENDER_COUNT: Final = 4
REQUESTS_PER_SENDER: Final = 500
#: Concurrent requests of one sender process.
CONCURRENCY_PER_SENDER: Final = 2

#: Lowest and highest value, microseconds, and number of significant digits.
HISTOGRAM_OPTIONS: Final = (1, 60_000_000, 3)
TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


class Target(NamedTuple):
    """A URL to send requests to, and the entry VM's *pid*; 0 for a worker."""

    name: str
    url: str
    pid: int


class RequestCost(NamedTuple):
    """Latency, CPU time per request and throughput of one target."""

    name: str
    p50_ms: float
    p99_ms: float
    entry_cpu_ms: float
    requests_per_s: float


def main() -> None:
    """Measure the targets one after the other and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--send', help='send concurrent requests to this URL (internal)'
    )
    options = parser.parse_args()
    if options.send:
        trio.run(send_load, options.send)
        return
    with tempfile.TemporaryDirectory() as folder:
        with ProcessCluster(pathlib.Path(folder)) as cluster:
            print_table(trio.run(measure, cluster))


async def measure(cluster: ProcessCluster) -> list[RequestCost]:
    """Return the cost of each target."""
    cluster.start_store_and_workers('desk-1')
    embedded = await _start_and_configure(
        cluster,
        'embedded',
        endpoint={'plugin': 'memory'},
        store={'plugin': 'memory'},
    )
    owner = await _start_and_configure(cluster, 'owner')
    # It has a store of its own, so the other entry VMs never connect to it.
    cluster.entries.pop('embedded')
    remote = await _start_and_configure(
        cluster,
        'remote',
        entry={'data_centre': 'dc-2'},
    )
    await cluster.wait_until_ready()
    worker = cluster.workers['desk-1']
    targets = [
        Target('direct', f'{worker.address}/requests', 0),
        Target('no worker', _url(embedded), embedded.process.pid),
        Target('owner', _url(owner), owner.process.pid),
        Target('forwarded', _url(remote), remote.process.pid),
    ]
    return [await _measure_target(target) for target in targets]


def print_table(costs: Sequence[RequestCost]) -> None:
    """Print the table, with latency ratios to the first target."""
    print('target     p50 ms  p99 ms  p50 ratio  entry cpu ms  requests/s')
    for cost in costs:
        ratio = cost.p50_ms / costs[0].p50_ms
        print(
            f'{cost.name:10} {cost.p50_ms:6.2f}  {cost.p99_ms:6.2f}'
            f'  {ratio:9.2f}  {cost.entry_cpu_ms:12.2f}'
            f'  {cost.requests_per_s:10.0f}',
        )


async def send_load(url: str) -> None:
    """Send the requests of one sender process."""
    async with httpx.AsyncClient(timeout=30) as client:
        async with trio.open_nursery() as nursery:
            for _task in range(CONCURRENCY_PER_SENDER):
                nursery.start_soon(_send_serially, client, url)


async def _start_and_configure(
    cluster: ProcessCluster, entry_id: str, **overrides: Any
) -> EntryProcess:
    entry = cluster.start_entry(entry_id, **overrides)
    await cluster.wait_until_up(entry)
    cluster.command(
        '--entry',
        entry.operators_address,
        'config',
        'apply',
        cluster.write_config(),
    )
    return entry


async def _measure_target(target: Target) -> RequestCost:
    histogram = HdrHistogram(*HISTOGRAM_OPTIONS)
    async with httpx.AsyncClient(timeout=30) as client:
        for _number in range(WARM_UP_REQUESTS):
            await _post_request(client, target.url)
        cpu_before_ms = cpu_ms(target.pid)
        for _number in range(SERIAL_REQUESTS):
            started = time.perf_counter_ns()
            await _post_request(client, target.url)
            histogram.record_value((time.perf_counter_ns() - started) // 1000)
    entry_cpu_ms = (cpu_ms(target.pid) - cpu_before_ms) / SERIAL_REQUESTS
    return RequestCost(
        target.name,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        entry_cpu_ms,
        _measure_rate(target.url),
    )


def _measure_rate(url: str) -> float:
    started = time.perf_counter()
    senders = [
        subprocess.Popen([sys.executable, '-m', 'bench.path', '--send', url])
        for _sender in range(SENDER_COUNT)
    ]
    for sender in senders:
        sender.wait()
    # The start of the interpreter and the imports are not part of the load.
    elapsed = time.perf_counter() - started - _measure_import_s()
    return SENDER_COUNT * REQUESTS_PER_SENDER / elapsed


def _measure_import_s() -> float:
    started = time.perf_counter()
    subprocess.run(
        [sys.executable, '-c', 'import bench.path'],
        check=True,
    )
    return time.perf_counter() - started


async def _send_serially(client: httpx.AsyncClient, url: str) -> None:
    for _number in range(REQUESTS_PER_SENDER // CONCURRENCY_PER_SENDER):
        await _post_request(client, url)


async def _post_request(client: httpx.AsyncClient, url: str) -> None:
    response = await client.post(
        url,
        content=b'hello',
        headers={'Request-Kind': 'look-up', 'Content-Type': 'text/plain'},
    )
    response.raise_for_status()


def cpu_ms(pid: int) -> float:
    """Return the CPU time used by a process, ms; 0 if *pid* is 0."""
    if not pid:
        return 0
    stat_line = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # The command name, in parentheses, may hold spaces.  After it, utime and
    # stime are the fields with the indexes 11 and 12, in clock ticks.
    fields = stat_line.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_SECOND


def _url(entry: EntryProcess) -> str:
    return f'{entry.callers_address}/v1/services/desk/requests'


if __name__ == '__main__':
    main()
