"""
tests.test_stop
===============

The graceful stop of an entry VM under load, counted at the callers.
"""

import pathlib
from collections import Counter

import httpx
import trio

from .standins.callers import CALLERS, Load
from .standins.processes import Entry, Site, ended

#: How many requests must be answered before and after each stop.
ENOUGH = 60


async def test_stop_under_load_cuts_nothing_off(
    tmp_path: pathlib.Path,
) -> None:
    """Every caller gets its whole answer while one entry VM stops."""
    with Site(tmp_path) as site:
        await _start(site)
        stopped = site.entries['entry-1']
        async with httpx.AsyncClient(timeout=30) as client:
            load = Load(site, client)
            code = await _stop_under(load, stopped)
            runs = await load.runs()
    assert code == 0
    assert set(load.told) == {'done'}
    assert runs == Counter(load.keys)


async def _stop_under(load: Load, stopped: Entry) -> int:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.balance)
        for caller in range(CALLERS):
            nursery.start_soon(load.send, caller)
        await load.until_told(ENOUGH)
        load.site.stop(stopped.entry_id)
        code = await ended(stopped.process)
        await load.until_told(load.told.total() + ENOUGH)
        load.stopping = True
    return code


async def test_every_entry_vm_is_replaced_under_load(
    tmp_path: pathlib.Path,
) -> None:
    """One after another is stopped behind a new one; nothing is lost."""
    with Site(tmp_path) as site:
        await _start(site)
        async with httpx.AsyncClient(timeout=30) as client:
            load = Load(site, client)
            codes = await _replace_all(load)
            runs = await load.runs()
    assert codes == [0, 0, 0]
    assert set(load.told) == {'done'}
    assert runs == Counter(load.keys)


async def _start(site: Site) -> None:
    site.start_standins('desk-1', 'desk-2', 'desk-3')
    for number in range(1, 4):
        site.start_entry(f'entry-{number}')
    first = site.entries['entry-1']
    await site.until_up(first)
    folder = site.fleet()
    applied = site.command(
        '--entry',
        first.operators,
        'config',
        'apply',
        folder,
    )
    assert applied[0] == 0
    await site.until_ready()


async def _replace_all(load: Load) -> list[int]:
    site = load.site
    codes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.balance)
        for caller in range(CALLERS):
            nursery.start_soon(load.send, caller)
        for number in range(1, 4):
            site.start_entry(f'entry-{number + 3}')
            await site.until_ready()
            site.stop(f'entry-{number}')
            old = site.entries[f'entry-{number}']
            codes.append(await ended(old.process))
            site.entries.pop(old.entry_id)
            await load.until_told(load.told.total() + ENOUGH)
        load.stopping = True
    return codes
