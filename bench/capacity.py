"""
bench.capacity
==============

Overhead of the control plane on an entry VM, by fleet size.

Starts entry VMs without request load and prints the resource usage of one of
them for several numbers of VMs, pools and entry VMs, followed by linear fits.
Run it with ``python -m bench.capacity``.
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

#: Duration of the measurement of an idle entry VM, seconds.
MEASUREMENT_S: Final = 10
#: Numbers of VMs, pools and entry VMs, by run.
FLEET_SIZES: Final = (
    (50, 33, 2),
    (400, 33, 2),
    (950, 33, 2),
    (950, 5, 2),
    (950, 33, 4),
    (950, 33, 8),
)
#: Number of VM changes, and of configuration changes, to average over.
CHANGE_COUNT: Final = 3
BYTES_PER_MB: Final = 1_000_000


class FleetSize(NamedTuple):
    """Numbers of VMs, pools and entry VMs in a fleet."""

    vms: int
    pools: int
    entries: int


class ControlCost(NamedTuple):
    """
    Resource usage of the control plane on one entry VM.

    ``cpu`` is the idle CPU usage in percent of a core, ``memory`` the resident
    memory in MB, ``peer_bytes`` the bytes sent to peers per second.
    ``vm_change`` and ``config_change`` are the CPU time in ms that the entry
    VM needs to apply one change of a VM or of the configuration.
    """

    size: FleetSize
    cpu: float
    memory: float
    peer_bytes: float
    store_calls_per_s: float
    vm_change: float
    config_change: float


def main() -> None:
    """Measure each fleet size; print the results and the linear fits."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--only',
        type=int,
        metavar='INDEX',
        help='measure only the fleet size at this index',
    )
    index = parser.parse_args().only
    sizes = FLEET_SIZES if index is None else FLEET_SIZES[index : index + 1]
    costs = [_measure_and_print(FleetSize(*size)) for size in sizes]
    print_linear_fit(costs, 'memory', (0, 1, 2))
    print_linear_fit(costs, 'cpu', (0, 1, 2))
    print_linear_fit(costs, 'vm_change', (0, 1, 2))
    print_linear_fit(costs, 'config_change', (0, 1, 2))
    print_linear_fit(costs, 'cpu', (2, 4, 5))
    print_linear_fit(costs, 'peer_bytes', (2, 4, 5))


def print_linear_fit(
    costs: Sequence[ControlCost],
    metric: str,
    indexes: Iterable[int],
) -> None:
    """
    Fit a line to *metric* of the selected costs; print it and its residual.

    The independent variable is the number of VMs, or that of entry VMs if all
    selected costs have the same number of VMs.
    """
    selected = [costs[index] for index in indexes if index < len(costs)]
    if len(selected) < 3:
        return
    by_vms = selected[0].size.vms != selected[-1].size.vms
    size_field = 'vms' if by_vms else 'entries'
    xs = [getattr(cost.size, size_field) for cost in selected]
    ys = [getattr(cost, metric) for cost in selected]
    slope, intercept = np.polyfit(xs, ys, 1)
    residual = max(
        abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True)
    )
    print(
        f'{metric} = {intercept:.3f} + {slope:.5f} x {size_field}'
        f' (largest residual {residual:.3f})',
    )


def _measure_and_print(size: FleetSize) -> ControlCost:
    with tempfile.TemporaryDirectory() as folder:
        with ProcessCluster(pathlib.Path(folder)) as cluster:
            cost = trio.run(measure, cluster, size)
    print(
        f'{size.vms} VMs, {size.pools} pools, {size.entries} entry VMs:'
        f' cpu {cost.cpu:.2f}%, memory {cost.memory:.0f} MB,'
        f' peers {cost.peer_bytes:.0f} B/s,'
        f' store {cost.store_calls_per_s:.2f} calls/s,'
        f' VM change {cost.vm_change:.1f} ms,'
        f' configuration change {cost.config_change:.1f} ms',
        flush=True,
    )
    return cost


async def measure(cluster: ProcessCluster, size: FleetSize) -> ControlCost:
    """Return the cost on one entry VM of a fleet of the given size."""
    cluster.start_store_and_workers()
    for number in range(size.entries):
        cluster.start_entry(f'entry-{number}')
    entry = cluster.entries['entry-0']
    await cluster.wait_until_up(entry)
    async with httpx.AsyncClient(timeout=60) as client:
        await _apply_config(client, entry, size, 0)
        await cluster.wait_until_ready()
        # The traffic of the start-up must not count as idle cost.
        await trio.sleep(2)
        idle = await _measure_idle(cluster, client, entry)
        vm_change = await _measure_vm_change(cluster, client)
        config_change = await _measure_config_change(cluster, client, size)
    return ControlCost(size, *idle, vm_change, config_change)


async def _measure_idle(
    cluster: ProcessCluster,
    client: httpx.AsyncClient,
    entry: EntryProcess,
) -> tuple[float, float, float, float]:
    started = time.monotonic()
    cpu_before_ms = cpu_ms(entry.process.pid)
    bytes_before = await _get_bytes_sent(client, entry)
    calls_before = await _count_store_calls(cluster, client)
    await trio.sleep(MEASUREMENT_S)
    elapsed = time.monotonic() - started
    # The store counts the calls of all entry VMs together.
    elapsed_of_all = elapsed * len(cluster.entries)
    return (
        # 1 % of a core is 10 ms of CPU time per second.
        (cpu_ms(entry.process.pid) - cpu_before_ms) / elapsed / 10,
        _get_resident_bytes(entry.process.pid) / BYTES_PER_MB,
        (await _get_bytes_sent(client, entry) - bytes_before) / elapsed,
        (await _count_store_calls(cluster, client) - calls_before)
        / elapsed_of_all,
    )


async def _measure_vm_change(
    cluster: ProcessCluster, client: httpx.AsyncClient
) -> float:
    receiver = cluster.entries['entry-1']
    cpu_before_ms = cpu_ms(receiver.process.pid)
    operators_address = cluster.entries['entry-0'].operators_address
    for number in range(CHANGE_COUNT):
        url = f'{operators_address}/v1/vms/pool-{number}-0/drain'
        (await client.post(url)).raise_for_status()
        vm_id = f'pool-{number}-0'
        await wait_until(partial(_sees_vm_not_serving, client, receiver, vm_id))
    return (cpu_ms(receiver.process.pid) - cpu_before_ms) / CHANGE_COUNT


async def _measure_config_change(
    cluster: ProcessCluster,
    client: httpx.AsyncClient,
    size: FleetSize,
) -> float:
    receiver = cluster.entries['entry-1']
    cpu_before_ms = cpu_ms(receiver.process.pid)
    for base in range(1, CHANGE_COUNT + 1):
        await _apply_config(client, cluster.entries['entry-0'], size, base)
        await wait_until(
            partial(_sees_config_number, client, receiver, base + 1)
        )
    return (cpu_ms(receiver.process.pid) - cpu_before_ms) / CHANGE_COUNT


async def _apply_config(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    size: FleetSize,
    base: int,
) -> None:
    response = await client.put(
        f'{entry.operators_address}/v1/config',
        json={
            'texts': {'10-fleet.yaml': _build_fleet_config(size, base)},
            'base': base,
            'change_id': f'change-{base}',
            'operator': 'bench',
        },
    )
    response.raise_for_status()


def _build_fleet_config(size: FleetSize, base: int) -> str:
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


async def _sees_vm_not_serving(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    vm_id: str,
) -> bool:
    dump = await _get_dump(client, entry)
    return bool(dump['configuration']['vms'][vm_id]['state'] != 'serving')


async def _sees_config_number(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    number: int,
) -> bool:
    return bool(
        (await _get_dump(client, entry))['configuration']['head']['number']
        == number
    )


async def _get_bytes_sent(
    client: httpx.AsyncClient, entry: EntryProcess
) -> int:
    return int((await _get_dump(client, entry))['stream']['bytes_sent'])


async def _get_dump(client: httpx.AsyncClient, entry: EntryProcess) -> Any:
    return (await client.get(f'{entry.operators_address}/v1/dump')).json()


async def _count_store_calls(
    cluster: ProcessCluster, client: httpx.AsyncClient
) -> int:
    counts = (await client.get(f'{cluster.store_address}/counts')).json()
    return int(counts['calls'])


def _get_resident_bytes(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1]) * 1024


if __name__ == '__main__':
    main()
