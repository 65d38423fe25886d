"""
tests.test_claims
=================

Work that may not be repeated, under failures, on virtual time.

Each proof compares what the workers' ledger says ran with what the
callers were told: no key runs twice, and no key that ran is called not
run.
"""

import random
from collections import Counter
from functools import partial
from typing import NamedTuple

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.model import Done, NotRun, Outcome, Reason, Unknown
from cyclamenshift.rows import claim_key
from cyclamenshift.store import Transaction, Write

from .builders import booking
from .standins.fakes import RequestCluster, RequestEntry

DONE = Done(200, 'text/plain', b'body')
#: How long a caller waits, ms.
TIMEOUT_MS = 3_000
#: Seeds of the mixed runs.
SEEDS = range(12)


class Told(NamedTuple):
    """What a caller was told, and when on virtual time."""

    key: str
    outcome: Outcome
    at: float


async def ask(
    entry: RequestEntry,
    key: str = 'key-1',
    *,
    request_id: str = 'request-1',
    body: bytes = b'body',
) -> Outcome:
    """Ask *entry* for a booking and return the outcome."""
    deadline = entry.kernel.clock.now() + TIMEOUT_MS
    request = booking(key, deadline=deadline, body=body)
    return await entry.claims.run_once(
        request._replace(request_id=request_id),
        entry.dispatcher.handle,
    )


def check_truth(cluster: RequestCluster, told: list[Told]) -> None:
    """Compare the ledger with everything that callers were told."""
    runs = Counter(run.key for run in cluster.workers.runs)
    assert max(runs.values(), default=1) == 1
    started = {run.key: run.started_at for run in cluster.workers.runs}
    lies = [
        answer
        for answer in told
        if isinstance(answer.outcome, NotRun)
        and started.get(answer.key, trio.current_time()) < answer.at
    ]
    assert not lies
    assert _done_keys(told) <= runs.keys()


async def test_worker_gone_before_the_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A worker that can't be reached is passed over; one run."""
    (entry,) = await cluster.start_all(1, {'desk': 2})
    cluster.workers.modes['desk-2'] = 'gone'
    assert await ask(entry) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_answer_lost_after_the_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """The caller is told unknown, here and elsewhere; one run."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    outcomes = [await ask(first), await ask(second), await ask(first)]
    assert [type(outcome) for outcome in outcomes] == [Unknown] * 3
    assert cluster.workers.count_runs('key-1') == 1


async def test_worker_silent_after_the_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A worker that never answers gives unknown at the deadline."""
    (entry,) = await cluster.start_all(1, {'desk': 1})
    cluster.workers.modes['desk-1'] = 'silent'
    outcome = await ask(entry)
    assert isinstance(outcome, Unknown)
    assert cluster.workers.count_runs('key-1') == 1


async def test_claim_answer_lost(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A claim that took effect unseen is found to be one's own."""
    (entry,) = await cluster.start_all(1, {'desk': 2})
    cluster.store.lose_answers = 1
    assert await ask(entry) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_record_answer_lost(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A record whose answer was lost is still there for the next ask."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.run_ms['booking'] = 500
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, first)
        await cluster.wait_until(lambda: cluster.workers.count_runs('key-1'))
        cluster.store.lose_answers = 1
    assert await ask(second) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_entry_vm_killed_after_dispatch(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Nobody takes the claim over; the second ask is told unknown."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.run_ms['booking'] = 1_000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, first)
        await cluster.wait_until(lambda: cluster.workers.count_runs('key-1'))
        cluster.kill('entry-1')
        nursery.cancel_scope.cancel()
    assert isinstance(await ask(second), Unknown)
    assert cluster.workers.count_runs('key-1') == 1


async def test_claim_row_of_another_shape(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A row that can't be read gives unknown, and the process goes on."""
    (entry,) = await cluster.start_all(1)
    strange = Write(claim_key('key-1'), {'state': 'strange'})
    cluster.store.table.commit(Transaction((), (strange,)))
    assert isinstance(await ask(entry), Unknown)
    assert await ask(entry, 'key-2') == DONE


async def test_two_callers_race(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """One key at two entry VMs at the same moment: one run, two answers."""
    entries = await cluster.start_all(2)
    told: list[Told] = []
    async with trio.open_nursery() as nursery:
        for number, entry in enumerate(entries * 3):
            nursery.start_soon(_note, entry, 'key-1', number, told)
    assert [answer.outcome for answer in told] == [DONE] * 6
    assert cluster.workers.count_runs('key-1') == 1


async def test_key_with_another_body(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that named other work is refused, at each entry VM."""
    first, second = await cluster.start_all(2)
    assert await ask(first) == DONE
    for entry in (first, second):
        outcome = await ask(entry, body=b'other')
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.key_reused


async def test_cancellation_wave(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Callers that leave take no slot, and their keys still have one fate."""
    (entry,) = await cluster.start_all(1, {'desk': 1})
    cluster.workers.run_ms['booking'] = 200
    told: list[Told] = []
    async with trio.open_nursery() as nursery:
        for number in range(100):
            key = f'key-{number}'
            nursery.start_soon(_note, entry, key, number, told)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    await cluster.wait_until(lambda: not entry.claims.unfinished)
    check_truth(cluster, told)
    queue = entry.dispatcher.queue('desk')
    assert queue.busy.total() == 0
    assert queue.waiting.total() == 0


async def test_store_down_hides_an_earlier_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that ran must not be called not run while the store is down."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    told = [Told('key-1', await ask(first), trio.current_time())]
    cluster.store.down = True
    told.append(Told('key-1', await ask(second), trio.current_time()))
    check_truth(cluster, told)


async def test_store_slow_hides_an_earlier_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Neither while the store is too slow to tell."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    told = [Told('key-1', await ask(first), trio.current_time())]
    cluster.store.delay = 5_000
    told.append(Told('key-1', await ask(second), trio.current_time()))
    check_truth(cluster, told)


async def test_store_down_for_a_minute(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Lookups go on; a booking is settled when the store is back."""
    (entry,) = await cluster.start_all(1)
    cluster.store.down = True
    told = [Told('key-1', await ask(entry), trio.current_time())]
    await trio.sleep(60)
    cluster.store.down = False
    told.append(Told('key-1', await ask(entry), trio.current_time()))
    assert told[1].outcome == DONE
    check_truth(cluster, told)


@pytest.mark.parametrize('seed', SEEDS)
async def test_faults_mixed(
    cluster: RequestCluster,
    autojump_clock: MockClock,
    seed: int,
) -> None:
    """Asks and repeats at random entry VMs while faults come and go."""
    rng = random.Random(seed)
    entries = await cluster.start_all(3, {'desk': 3})
    cluster.workers.run_ms['booking'] = 150
    told: list[Told] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_disturb, cluster, rng, nursery.cancel_scope)
        for number in range(80):
            key = f'key-{rng.randrange(30)}'
            entry = rng.choice(entries)
            nursery.start_soon(_note, entry, key, number, told)
            await trio.sleep(rng.random() / 2)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    _mend(cluster)
    await cluster.wait_until(partial(_all_idle, entries))
    check_truth(cluster, told)


def _done_keys(told: list[Told]) -> set[str]:
    return {answer.key for answer in told if isinstance(answer.outcome, Done)}


async def _note(
    entry: RequestEntry, key: str, number: int, told: list[Told]
) -> None:
    outcome = await ask(entry, key, request_id=f'request-{number}')
    told.append(Told(key, outcome, trio.current_time()))


async def _disturb(
    cluster: RequestCluster,
    rng: random.Random,
    scope: trio.CancelScope,
) -> None:
    while not scope.cancel_called:
        _mend(cluster)
        fault = rng.randrange(6)
        if fault == 0:
            cluster.store.down = True
        if fault == 1:
            cluster.store.lose_answers = rng.randrange(1, 4)
        if fault == 2:
            cluster.store.delay = 1_500
        if fault == 3:
            cluster.network.disconnected.add(f'entry-{rng.randrange(1, 4)}')
        if fault == 4:
            mode = rng.choice(['gone', 'lost', 'silent', 'fail'])
            cluster.workers.modes[f'desk-{rng.randrange(1, 4)}'] = mode
        await trio.sleep(1 + rng.random() * 3)


def _mend(cluster: RequestCluster) -> None:
    cluster.store.down = False
    cluster.store.lose_answers = 0
    cluster.store.delay = 3
    cluster.network.disconnected.clear()
    cluster.workers.modes.clear()


def _all_idle(entries: list[RequestEntry]) -> bool:
    return not any(entry.claims.unfinished for entry in entries)
