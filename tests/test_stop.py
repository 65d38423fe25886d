"""
tests.test_stop
===============

The graceful stop of an entry VM under load, counted at the callers.
"""

import itertools
import pathlib
from collections import Counter
from functools import partial

import httpx
import trio

from .standins.processes import Entry, Site, ended, until

#: How many callers send at the same time.
CALLERS = 12
#: How many requests must be answered before and after the stop.
ENOUGH = 60
#: How often the balancer looks at readiness, seconds.
BALANCER_S = 0.1


class Load:
    """Callers behind a balancer, and what they were told."""

    def __init__(self, site: Site, client: httpx.AsyncClient) -> None:
        """Send to every entry VM until the balancer knows better."""
        self.site = site
        self.client = client
        self.ready = list(site.entries.values())
        self.told: Counter[str] = Counter()
        self.keys: list[str] = []
        self.numbers = itertools.count()
        self.stopping = False

    async def balance(self) -> None:
        """Keep the list of the entry VMs that are ready."""
        while not self.stopping:
            self.ready = [
                entry
                for entry in self.site.entries.values()
                if await self._is_ready(entry)
            ]
            await trio.sleep(BALANCER_S)

    async def send(self, caller: int) -> None:
        """Send one request after another until told to stop."""
        while not self.stopping:
            number = next(self.numbers)
            entry = self.ready[number % len(self.ready)]
            try:
                self.told[await self._ask(entry, number)] += 1
            except httpx.HTTPError as error:
                self.told[f'{caller} cut off: {type(error).__name__}'] += 1

    async def _ask(self, entry: Entry, number: int) -> str:
        kind = 'booking' if number % 3 == 0 else 'look-up'
        key = f'key-{number}'
        if kind == 'booking':
            self.keys.append(key)
        response = await self.client.post(
            f'{entry.callers}/v1/services/desk/requests',
            content=f'run=30;{number}',
            headers={'Request-Kind': kind, 'Idempotency-Key': key},
        )
        assert response.text.endswith(f';{number}') or not response.is_success
        return response.headers['Outcome']

    async def _is_ready(self, entry: Entry) -> bool:
        try:
            response = await self.client.get(f'{entry.callers}/readyz')
        except httpx.HTTPError:
            return False
        return response.is_success


async def test_stop_under_load_cuts_nothing_off(
    tmp_path: pathlib.Path,
) -> None:
    """Every caller gets its whole answer while one entry VM stops."""
    with Site(tmp_path) as site:
        site.start_standins('desk-1', 'desk-2', 'desk-3')
        for number in range(1, 4):
            site.start_entry(f'entry-{number}')
        stopped = site.entries['entry-1']
        await site.until_up(stopped)
        folder = site.fleet()
        applied = site.command(
            '--entry',
            stopped.operators,
            'config',
            'apply',
            folder,
        )
        assert applied[0] == 0
        await site.until_ready()
        async with httpx.AsyncClient(timeout=30) as client:
            load = Load(site, client)
            code = await _stop_under(load, stopped)
            runs = await _runs(site, client)
    assert code == 0
    assert set(load.told) == {'done'}
    assert runs == Counter(load.keys)


async def _stop_under(load: Load, stopped: Entry) -> int:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.balance)
        for caller in range(CALLERS):
            nursery.start_soon(load.send, caller)
        await _until_told(load, ENOUGH)
        load.site.stop(stopped.entry_id)
        code = await ended(stopped.process)
        await _until_told(load, load.told.total() + ENOUGH)
        load.stopping = True
    return code


async def _until_told(load: Load, count: int) -> None:
    await until(partial(_told_enough, load, count))


async def _told_enough(load: Load, count: int) -> bool:
    return load.told.total() >= count


async def _runs(site: Site, client: httpx.AsyncClient) -> Counter[str]:
    runs: Counter[str] = Counter()
    for worker in site.workers.values():
        ledger = (await client.get(f'{worker.address}/ledger')).json()
        runs.update(
            run['key']
            for run in ledger
            if run['event'] == 'started' and run['key']
        )
    return runs
