"""
tests.test_freeze
=================

An entry VM that is frozen after its claim, and wakes much later.
"""

import pathlib
import signal
from functools import partial
from typing import Any

import httpx
import trio

from cyclamenshift.rows import claim_key

from .standins.processes import EntryProcess, ProcessCluster, wait_until

#: How long the store keeps an answer back, ms; less than its timeout.
KEPT_BACK_MS = 1_500
#: The time that each caller allows, ms.
TIMEOUT_MS = 1_000


async def test_frozen_holder_wakes_too_late(tmp_path: pathlib.Path) -> None:
    """It does not dispatch any more; the key runs once, elsewhere."""
    with ProcessCluster(tmp_path) as site:
        site.start_store_and_workers('desk-1', 'desk-2')
        first = site.start_entry('entry-1')
        second = site.start_entry('entry-2')
        await site.wait_until_up(first)
        folder = site.write_config()
        site.command(
            '--entry', first.operators_address, 'config', 'apply', folder
        )
        await site.wait_until_ready()
        async with httpx.AsyncClient(timeout=30) as client:
            told = await _freeze(site, client, first, second)
            last = await wait_until(partial(_done, client, second))
            runs = await _runs(site, client)
    assert told == ['unknown', 'unknown']
    assert last == 'done'
    assert runs == 1


async def _freeze(
    site: ProcessCluster,
    client: httpx.AsyncClient,
    first: EntryProcess,
    second: EntryProcess,
) -> list[str]:
    told: list[str] = []
    await _set_fault(site, client, 'lost', KEPT_BACK_MS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_note, client, first, told)
        await wait_until(partial(_is_claimed, site, client))
        first.process.send_signal(signal.SIGSTOP)
        await _set_fault(site, client, 'up', 0)
        await _note(client, second, told)
        assert await _runs(site, client) == 0
        first.process.send_signal(signal.SIGCONT)
    return told


async def _note(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    told: list[str],
) -> None:
    told.append(await _ask(client, entry))


async def _ask(client: httpx.AsyncClient, entry: EntryProcess) -> str:
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


async def _done(client: httpx.AsyncClient, entry: EntryProcess) -> str:
    outcome = await _ask(client, entry)
    return outcome if outcome == 'done' else ''


async def _is_claimed(site: ProcessCluster, client: httpx.AsyncClient) -> bool:
    response = await client.post(
        f'{site.store_address}/table/read',
        json={'keys': [claim_key('key-1')]},
    )
    (row,) = response.json()
    return bool(row[1])


async def _runs(site: ProcessCluster, client: httpx.AsyncClient) -> int:
    runs: list[Any] = []
    for worker in site.workers.values():
        ledger = (await client.get(f'{worker.address}/ledger')).json()
        runs += [run for run in ledger if run['event'] == 'started']
    return len(runs)


async def _set_fault(
    site: ProcessCluster,
    client: httpx.AsyncClient,
    mode: str,
    delay_ms: int,
) -> None:
    fault = {'mode': mode, 'delay_ms': delay_ms}
    await client.put(f'{site.store_address}/fault', json=fault)
