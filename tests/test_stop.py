"""
tests.test_stop
===============

Graceful stops of entry VMs under load, as seen by callers.
"""

import pathlib
from collections import Counter

import httpx
import trio

from .standins.callers import CALLER_COUNT, LoadGenerator
from .standins.processes import EntryProcess, ProcessCluster, wait_for_exit

#: The number of requests that are answered before and after each stop.
MIN_OUTCOMES = 60


async def test_stop_under_load_loses_no_request(
    tmp_path: pathlib.Path,
) -> None:
    """Every request is done and runs once while one entry VM stops."""
    with ProcessCluster(tmp_path) as cluster:
        await _start(cluster)
        stopped = cluster.entries['entry-1']
        async with httpx.AsyncClient(timeout=30) as client:
            load = LoadGenerator(cluster, client)
            code = await _stop_under(load, stopped)
            runs = await load.count_runs()
    assert code == 0
    assert set(load.outcomes) == {'done'}
    assert runs == Counter(load.booking_keys)


async def _stop_under(load: LoadGenerator, stopped: EntryProcess) -> int:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.poll_readiness)
        for caller in range(CALLER_COUNT):
            nursery.start_soon(load.send, caller)
        await load.wait_for_outcomes(MIN_OUTCOMES)
        load.cluster.stop(stopped.entry_id)
        code = await wait_for_exit(stopped.process)
        await load.wait_for_outcomes(load.outcomes.total() + MIN_OUTCOMES)
        load.stopping = True
    return code


async def test_every_entry_vm_is_replaced_under_load(
    tmp_path: pathlib.Path,
) -> None:
    """Each entry VM is stopped after a new one is ready; no request is lost."""
    with ProcessCluster(tmp_path) as cluster:
        await _start(cluster)
        async with httpx.AsyncClient(timeout=30) as client:
            load = LoadGenerator(cluster, client)
            codes = await _replace_all(load)
            runs = await load.count_runs()
    assert codes == [0, 0, 0]
    assert set(load.outcomes) == {'done'}
    assert runs == Counter(load.booking_keys)


async def _start(cluster: ProcessCluster) -> None:
    cluster.start_store_and_workers('desk-1', 'desk-2', 'desk-3')
    for number in range(1, 4):
        cluster.start_entry(f'entry-{number}')
    first = cluster.entries['entry-1']
    await cluster.wait_until_up(first)
    folder = cluster.write_config()
    applied = cluster.command(
        '--entry',
        first.operators_address,
        'config',
        'apply',
        folder,
    )
    assert applied[0] == 0
    await cluster.wait_until_ready()


async def _replace_all(load: LoadGenerator) -> list[int]:
    cluster = load.cluster
    codes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.poll_readiness)
        for caller in range(CALLER_COUNT):
            nursery.start_soon(load.send, caller)
        for number in range(1, 4):
            cluster.start_entry(f'entry-{number + 3}')
            await cluster.wait_until_ready()
            cluster.stop(f'entry-{number}')
            old = cluster.entries[f'entry-{number}']
            codes.append(await wait_for_exit(old.process))
            cluster.entries.pop(old.entry_id)
            await load.wait_for_outcomes(load.outcomes.total() + MIN_OUTCOMES)
        load.stopping = True
    return codes
