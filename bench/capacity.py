"""
bench.capacity
==============

The cost of control at an entry VM, against the size of the fleet.

Starts entry VMs that nobody calls, and prints for several numbers of VMs,
pools and entry VMs what one of them spends.  ``python -m bench.capacity``.
"""

import argparse
import pathlib
import tempfile
import time
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Any, Final, NamedTuple

import httpx
import numpy as np
import trio

from tests.standins.processes import EntryProcess, ProcessCluster, wait_until

from .path import cpu_ms

#: How long the cost is counted, seconds.
COUNTED_S: Final = 10
#: VMs, pools and entry VMs of each run.
SIZES: Final = (
    (50, 33, 2),
    (400, 33, 2),
    (950, 33, 2),
    (950, 5, 2),
    (950, 33, 4),
    (950, 33, 8),
)
#: Changes of a VM and of the configuration that are timed.
CHANGES: Final = 3
MEGABYTE: Final = 1_000_000


class Size(NamedTuple):
    """One size of the fleet."""

    vms: int
    pools: int
    entries: int


class Cost(NamedTuple):
    """
    What one entry VM spends on control.

    Processor time in per cent of a core, memory in MB, peer bytes and
    table calls a second; the cost of one change of a VM and of one change
    of the configuration in ms of processor time.
    """

    size: Size
    cpu: float
    memory: float
    peer_bytes: float
    calls: float
    vm_change: float
    config_change: float


def main() -> None:
    """Measure each size and print the table and the slopes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--only', type=int, help='measure this row alone')
    only = parser.parse_args().only
    sizes = SIZES if only is None else SIZES[only : only + 1]
    costs = [_measure_in_folder(Size(*size)) for size in sizes]
    show_slope(costs, 'memory', (0, 1, 2))
    show_slope(costs, 'cpu', (0, 1, 2))
    show_slope(costs, 'vm_change', (0, 1, 2))
    show_slope(costs, 'config_change', (0, 1, 2))
    show_slope(costs, 'cpu', (2, 4, 5))
    show_slope(costs, 'peer_bytes', (2, 4, 5))


def show_slope(
    costs: Sequence[Cost],
    figure: str,
    rows: Iterable[int],
) -> None:
    """Print the line through *figure*, and the largest residual."""
    chosen = [costs[row] for row in rows if row < len(costs)]
    if len(chosen) < 3:
        return
    by_vms = chosen[0].size.vms != chosen[-1].size.vms
    unit = 'vms' if by_vms else 'entries'
    xs = [getattr(cost.size, unit) for cost in chosen]
    ys = [getattr(cost, figure) for cost in chosen]
    slope, base = np.polyfit(xs, ys, 1)
    residual = max(
        abs(y - base - slope * x) for x, y in zip(xs, ys, strict=True)
    )
    print(
        f'{figure} = {base:.3f} + {slope:.5f} x {unit}'
        f' (largest residual {residual:.3f})',
    )


def _measure_in_folder(size: Size) -> Cost:
    with tempfile.TemporaryDirectory() as folder:
        with ProcessCluster(pathlib.Path(folder)) as site:
            cost = trio.run(measure, site, size)
    print(
        f'{size.vms} VMs, {size.pools} pools, {size.entries} entry VMs:'
        f' cpu {cost.cpu:.2f}%, memory {cost.memory:.0f} MB,'
        f' peers {cost.peer_bytes:.0f} B/s, table {cost.calls:.2f} calls/s,'
        f' VM change {cost.vm_change:.1f} ms,'
        f' configuration change {cost.config_change:.1f} ms',
        flush=True,
    )
    return cost


async def measure(site: ProcessCluster, size: Size) -> Cost:
    """Return what one entry VM of *size* spends."""
    site.start_store_and_workers()
    for number in range(size.entries):
        site.start_entry(f'entry-{number}')
    entry = site.entries['entry-0']
    await site.wait_until_up(entry)
    async with httpx.AsyncClient(timeout=60) as client:
        await _apply(client, entry, size, 0)
        await site.wait_until_ready()
        await trio.sleep(2)
        idle = await _idle(site, client, entry)
        vm_change = await _vm_changes(site, client)
        config_change = await _config_changes(site, client, size)
    return Cost(size, *idle, vm_change, config_change)


async def _idle(
    site: ProcessCluster,
    client: httpx.AsyncClient,
    entry: EntryProcess,
) -> tuple[float, float, float, float]:
    started = time.monotonic()
    cpu = cpu_ms(entry.process.pid)
    sent = await _bytes_sent(client, entry)
    calls = await _calls(site, client)
    await trio.sleep(COUNTED_S)
    elapsed = time.monotonic() - started
    per_entry = elapsed * len(site.entries)
    return (
        (cpu_ms(entry.process.pid) - cpu) / elapsed / 10,
        _resident(entry.process.pid) / MEGABYTE,
        (await _bytes_sent(client, entry) - sent) / elapsed,
        (await _calls(site, client) - calls) / per_entry,
    )


async def _vm_changes(site: ProcessCluster, client: httpx.AsyncClient) -> float:
    other = site.entries['entry-1']
    cpu = cpu_ms(other.process.pid)
    operators = site.entries['entry-0'].operators_address
    for number in range(CHANGES):
        url = f'{operators}/v1/vms/pool-{number}-0/drain'
        (await client.post(url)).raise_for_status()
        vm_id = f'pool-{number}-0'
        await wait_until(partial(_knows_leaving, client, other, vm_id))
    return (cpu_ms(other.process.pid) - cpu) / CHANGES


async def _config_changes(
    site: ProcessCluster,
    client: httpx.AsyncClient,
    size: Size,
) -> float:
    other = site.entries['entry-1']
    cpu = cpu_ms(other.process.pid)
    for base in range(1, CHANGES + 1):
        await _apply(client, site.entries['entry-0'], size, base)
        await wait_until(partial(_knows_number, client, other, base + 1))
    return (cpu_ms(other.process.pid) - cpu) / CHANGES


async def _apply(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    size: Size,
    base: int,
) -> None:
    response = await client.put(
        f'{entry.operators_address}/v1/config',
        json={
            'texts': {'10-fleet.yaml': _fleet(size, base)},
            'base': base,
            'change_id': f'change-{base}',
            'operator': 'bench',
        },
    )
    response.raise_for_status()


def _fleet(size: Size, base: int) -> str:
    lines = ['services:']
    for pool in range(size.pools):
        lines.append(
            f'  service-{pool}: {{pool: pool-{pool}, availability: 50,'
            f' queue: {100 + base}, work: {{look-up: {{repeatable: true}}}}}}',
        )
    lines.append('pools:')
    lines += [f'  pool-{pool}: {{}}' for pool in range(size.pools)]
    lines.append('vms:')
    for number in range(size.vms):
        pool = number % size.pools
        lines.append(
            f'  pool-{pool}-{number // size.pools}: {{pool: pool-{pool},'
            f' data_centre: dc-{number % 7}, rack: rack-{number % 7}-'
            f'{number // 28}, address: "http://127.0.0.1:1/{number}"}}',
        )
    return '\n'.join(lines)


async def _knows_leaving(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    vm_id: str,
) -> bool:
    dump = await _dump(client, entry)
    return bool(dump['configuration']['vms'][vm_id]['state'] != 'serving')


async def _knows_number(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    number: int,
) -> bool:
    return bool(
        (await _dump(client, entry))['configuration']['head']['number']
        == number
    )


async def _bytes_sent(client: httpx.AsyncClient, entry: EntryProcess) -> int:
    return int((await _dump(client, entry))['stream']['bytes_sent'])


async def _dump(client: httpx.AsyncClient, entry: EntryProcess) -> Any:
    return (await client.get(f'{entry.operators_address}/v1/dump')).json()


async def _calls(site: ProcessCluster, client: httpx.AsyncClient) -> int:
    counts = (await client.get(f'{site.store_address}/counts')).json()
    return int(counts['calls'])


def _resident(process: int) -> int:
    status = pathlib.Path(f'/proc/{process}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1]) * 1024


if __name__ == '__main__':
    main()
