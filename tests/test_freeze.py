"""
tests.test_freeze
=================

An entry VM that is suspended after its claim, and resumed too late.
"""

import pathlib
import signal
from functools import partial
from typing import Any

import httpx
import trio

from cyclamenshift.rows import claim_key

from .standins.processes import EntryProcess, ProcessCluster, wait_until

#: How long the store delays a response, ms; less than its timeout.
STORE_DELAY_MS = 1_500
#: The timeout of each request, ms.
TIMEOUT_MS = 1_000


async def test_suspended_holder_does_not_dispatch(
    tmp_path: pathlib.Path,
) -> None:
    """
    A claim holder that resumes after its deadline dispatches nothing.

    It is suspended while the response to its claim is delayed; the key then
    runs once, at the other entry VM.
    """
    with ProcessCluster(tmp_path) as cluster:
        cluster.start_store_and_workers('desk-1', 'desk-2')
        first = cluster.start_entry('entry-1')
        second = cluster.start_entry('entry-2')
        await cluster.wait_until_up(first)
        folder = cluster.write_config()
        cluster.command(
            '--entry', first.operators_address, 'config', 'apply', folder
        )
        await cluster.wait_until_ready()
        async with httpx.AsyncClient(timeout=30) as client:
            outcomes = await _suspend_holder(cluster, client, first, second)
            last_outcome = await wait_until(
                partial(_send_until_done, client, second)
            )
            runs = await _count_runs(cluster, client)
    assert outcomes == ['unknown', 'unknown']
    assert last_outcome == 'done'
    assert runs == 1


async def _suspend_holder(
    cluster: ProcessCluster,
    client: httpx.AsyncClient,
    first: EntryProcess,
    second: EntryProcess,
) -> list[str]:
    outcomes: list[str] = []
    await _set_fault(cluster, client, 'lost', STORE_DELAY_MS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_and_record, client, first, outcomes)
        await wait_until(partial(_is_claimed, cluster, client))
        first.process.send_signal(signal.SIGSTOP)
        await _set_fault(cluster, client, 'up', 0)
        await _send_and_record(client, second, outcomes)
        assert await _count_runs(cluster, client) == 0
        first.process.send_signal(signal.SIGCONT)
    return outcomes


async def _send_and_record(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    outcomes: list[str],
) -> None:
    outcomes.append(await _send_booking(client, entry))


async def _send_booking(client: httpx.AsyncClient, entry: EntryProcess) -> str:
    response = await client.post(
        f'{entry.callers_address}/v1/services/desk/requests',
        content='lift',
        headers={
            'Request-Kind': 'booking',
            'Idempotency-Key': 'key-1',
            'Request-Timeout': str(TIMEOUT_MS),
        },
    )
    return response.headers['Outcome']


async def _send_until_done(
    client: httpx.AsyncClient, entry: EntryProcess
) -> str:
    outcome = await _send_booking(client, entry)
    return outcome if outcome == 'done' else ''


async def _is_claimed(
    cluster: ProcessCluster, client: httpx.AsyncClient
) -> bool:
    response = await client.post(
        f'{cluster.store_address}/table/read',
        json={'keys': [claim_key('key-1')]},
    )
    (row,) = response.json()
    return bool(row[1])


async def _count_runs(
    cluster: ProcessCluster, client: httpx.AsyncClient
) -> int:
    runs: list[Any] = []
    for worker in cluster.workers.values():
        ledger = (await client.get(f'{worker.address}/ledger')).json()
        runs += [run for run in ledger if run['event'] == 'started']
    return len(runs)


async def _set_fault(
    cluster: ProcessCluster,
    client: httpx.AsyncClient,
    mode: str,
    delay_ms: int,
) -> None:
    fault = {'mode': mode, 'delay_ms': delay_ms}
    await client.put(f'{cluster.store_address}/fault', json=fault)
