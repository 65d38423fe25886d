"""
tests.standins.callers
======================

A load generator: callers behind a load balancer, and their outcomes.
"""

import itertools
from collections import Counter
from functools import partial

import httpx
import trio

from .processes import EntryProcess, ProcessCluster, wait_until

#: The number of concurrent callers.
CALLER_COUNT = 12
#: The interval between two checks of the readiness of all entry VMs, seconds.
READINESS_POLL_S = 0.1


class LoadGenerator:
    """Sends requests through a load balancer and counts the outcomes."""

    def __init__(
        self,
        cluster: ProcessCluster,
        client: httpx.AsyncClient,
    ) -> None:
        """Route to every entry VM until the first readiness check."""
        self.cluster = cluster
        self.client = client
        self.ready = list(cluster.entries.values())
        self.outcomes: Counter[str] = Counter()
        self.booking_keys: list[str] = []
        self.request_numbers = itertools.count()
        self.stopping = False

    async def poll_readiness(self) -> None:
        """Update the list of ready entry VMs until the load is stopped."""
        while not self.stopping:
            self.ready = [
                entry
                for entry in tuple(self.cluster.entries.values())
                if await self._is_ready(entry)
            ]
            await trio.sleep(READINESS_POLL_S)

    async def send(self, caller: int) -> None:
        """Send one request after another until the load is stopped."""
        while not self.stopping:
            number = next(self.request_numbers)
            entry = self.ready[number % len(self.ready)]
            try:
                self.outcomes[await self._send_request(entry, number)] += 1
            except httpx.HTTPError as error:
                self.outcomes[f'caller {caller}: {type(error).__name__}'] += 1

    async def wait_for_outcomes(self, count: int) -> None:
        """Wait until at least *count* requests have an outcome."""
        await wait_until(partial(self._has_outcomes, count))

    async def count_runs(self) -> Counter[str]:
        """Return how many runs of each key the workers started."""
        runs: Counter[str] = Counter()
        for worker in self.cluster.workers.values():
            response = await self.client.get(f'{worker.address}/ledger')
            runs.update(
                run['key']
                for run in response.json()
                if run['event'] == 'started' and run['key']
            )
        return runs

    async def _send_request(self, entry: EntryProcess, number: int) -> str:
        kind = 'booking' if number % 3 == 0 else 'look-up'
        key = f'key-{number}'
        if kind == 'booking':
            self.booking_keys.append(key)
        response = await self.client.post(
            f'{entry.callers_address}/v1/services/desk/requests',
            content=f'run=30;{number}',
            headers={'Request-Kind': kind, 'Idempotency-Key': key},
        )
        assert response.text.endswith(f';{number}') or not response.is_success
        outcome = response.headers['Outcome']
        if response.is_success:
            return outcome
        problem = response.json()
        reason = problem['reason']
        remedy = problem['remedy']
        return f'{outcome} {reason}: {remedy}'

    async def _is_ready(self, entry: EntryProcess) -> bool:
        try:
            response = await self.client.get(f'{entry.callers_address}/readyz')
        except httpx.HTTPError:
            return False
        return response.is_success

    async def _has_outcomes(self, count: int) -> bool:
        return self.outcomes.total() >= count
