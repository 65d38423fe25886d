"""
tests.test_claims
=================

Requests that may not be repeated, under failures, on virtual time.

The tests compare the workers' record of runs with the outcomes that callers
received: no key runs twice, and no key that ran is reported as not run.
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
#: Seeds of the runs with random faults.
SEEDS = range(12)


class ReceivedOutcome(NamedTuple):
    """The outcome that a caller received, and when on virtual time."""

    key: str
    outcome: Outcome
    received_at: float


async def send_booking(
    entry: RequestEntry,
    key: str = 'key-1',
    *,
    request_id: str = 'request-1',
    body: bytes = b'body',
) -> Outcome:
    """Send a booking to *entry* and return the outcome."""
    deadline = entry.kernel.clock.now() + TIMEOUT_MS
    request = booking(key, deadline=deadline, body=body)
    return await entry.claims.run_once(
        request._replace(request_id=request_id),
        entry.dispatcher.handle,
    )


def check_outcomes(
    cluster: RequestCluster, received: list[ReceivedOutcome]
) -> None:
    """Compare the workers' runs with the outcomes that callers received."""
    runs = Counter(run.key for run in cluster.workers.runs)
    assert max(runs.values(), default=1) == 1
    start_times = {run.key: run.started_at for run in cluster.workers.runs}
    false_not_run = [
        answer
        for answer in received
        if isinstance(answer.outcome, NotRun)
        and start_times.get(answer.key, trio.current_time())
        < answer.received_at
    ]
    assert not false_not_run
    assert _done_keys(received) <= runs.keys()


async def test_unreachable_worker_is_skipped(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """An unreachable worker is skipped; the request runs once elsewhere."""
    (entry,) = await cluster.start_all(1, {'desk': 2})
    cluster.workers.modes['desk-2'] = 'gone'
    assert await send_booking(entry) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_answer_lost_after_the_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Every entry VM returns unknown, and the booking runs once."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    outcomes = [
        await send_booking(first),
        await send_booking(second),
        await send_booking(first),
    ]
    assert [type(outcome) for outcome in outcomes] == [Unknown] * 3
    assert cluster.workers.count_runs('key-1') == 1


async def test_worker_silent_after_the_run(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """If the worker never answers, the outcome is unknown at the deadline."""
    (entry,) = await cluster.start_all(1, {'desk': 1})
    cluster.workers.modes['desk-1'] = 'silent'
    outcome = await send_booking(entry)
    assert isinstance(outcome, Unknown)
    assert cluster.workers.count_runs('key-1') == 1


async def test_claim_answer_lost(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """An entry VM recognises its own claim after the store's answer is lost."""
    (entry,) = await cluster.start_all(1, {'desk': 2})
    cluster.store.lose_answers = 1
    assert await send_booking(entry) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_record_answer_lost(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """An outcome whose recording was not answered is returned to a repeat."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.run_ms['booking'] = 500
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_booking, first)
        await cluster.wait_until(lambda: cluster.workers.count_runs('key-1'))
        cluster.store.lose_answers = 1
    assert await send_booking(second) == DONE
    assert cluster.workers.count_runs('key-1') == 1


async def test_entry_vm_killed_after_dispatch(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """No entry VM takes the claim over; a repeat returns unknown."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.run_ms['booking'] = 1_000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_booking, first)
        await cluster.wait_until(lambda: cluster.workers.count_runs('key-1'))
        cluster.kill('entry-1')
        nursery.cancel_scope.cancel()
    assert isinstance(await send_booking(second), Unknown)
    assert cluster.workers.count_runs('key-1') == 1


async def test_malformed_claim_row(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A row that cannot be decoded gives unknown; other keys still work."""
    (entry,) = await cluster.start_all(1)
    malformed_row = Write(claim_key('key-1'), {'state': 'invalid'})
    cluster.store.table.commit(Transaction((), (malformed_row,)))
    assert isinstance(await send_booking(entry), Unknown)
    assert await send_booking(entry, 'key-2') == DONE


async def test_two_callers_race(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """One key sent to two entry VMs at the same time runs once."""
    entries = await cluster.start_all(2)
    received: list[ReceivedOutcome] = []
    async with trio.open_nursery() as nursery:
        for number, entry in enumerate(entries * 3):
            nursery.start_soon(
                _send_and_record, entry, 'key-1', number, received
            )
    assert [answer.outcome for answer in received] == [DONE] * 6
    assert cluster.workers.count_runs('key-1') == 1


async def test_key_reused_with_another_body(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that was used for another body is refused at every entry VM."""
    first, second = await cluster.start_all(2)
    assert await send_booking(first) == DONE
    for entry in (first, second):
        outcome = await send_booking(entry, body=b'other')
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.key_reused


async def test_mass_cancellation(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Cancelled requests free their slots, and no key runs twice."""
    (entry,) = await cluster.start_all(1, {'desk': 1})
    cluster.workers.run_ms['booking'] = 200
    received: list[ReceivedOutcome] = []
    async with trio.open_nursery() as nursery:
        for number in range(100):
            key = f'key-{number}'
            nursery.start_soon(_send_and_record, entry, key, number, received)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    await cluster.wait_until(lambda: not entry.claims.unfinished)
    check_outcomes(cluster, received)
    queue = entry.dispatcher.queue('desk')
    assert queue.busy.total() == 0
    assert queue.waiting.total() == 0


async def test_no_false_not_run_while_the_store_is_down(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that ran is not reported as not run while the store is down."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    received = [
        ReceivedOutcome('key-1', await send_booking(first), trio.current_time())
    ]
    cluster.store.down = True
    received.append(
        ReceivedOutcome(
            'key-1', await send_booking(second), trio.current_time()
        )
    )
    check_outcomes(cluster, received)


async def test_no_false_not_run_while_the_store_is_slow(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that ran is not reported as not run while the store times out."""
    first, second = await cluster.start_all(2, {'desk': 2})
    cluster.workers.modes.update({'desk-1': 'lost', 'desk-2': 'lost'})
    received = [
        ReceivedOutcome('key-1', await send_booking(first), trio.current_time())
    ]
    cluster.store.delay = 5_000
    received.append(
        ReceivedOutcome(
            'key-1', await send_booking(second), trio.current_time()
        )
    )
    check_outcomes(cluster, received)


async def test_booking_after_a_store_outage(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A key that failed during an outage is done when it is sent again."""
    (entry,) = await cluster.start_all(1)
    cluster.store.down = True
    received = [
        ReceivedOutcome('key-1', await send_booking(entry), trio.current_time())
    ]
    await trio.sleep(60)
    cluster.store.down = False
    received.append(
        ReceivedOutcome('key-1', await send_booking(entry), trio.current_time())
    )
    assert received[1].outcome == DONE
    check_outcomes(cluster, received)


@pytest.mark.parametrize('seed', SEEDS)
async def test_random_faults(
    cluster: RequestCluster,
    autojump_clock: MockClock,
    seed: int,
) -> None:
    """Bookings are sent and repeated at random entry VMs during faults."""
    rng = random.Random(seed)
    entries = await cluster.start_all(3, {'desk': 3})
    cluster.workers.run_ms['booking'] = 150
    received: list[ReceivedOutcome] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_inject_faults, cluster, rng, nursery.cancel_scope)
        for number in range(80):
            key = f'key-{rng.randrange(30)}'
            entry = rng.choice(entries)
            nursery.start_soon(_send_and_record, entry, key, number, received)
            await trio.sleep(rng.random() / 2)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    _clear_faults(cluster)
    await cluster.wait_until(partial(_all_idle, entries))
    check_outcomes(cluster, received)


def _done_keys(received: list[ReceivedOutcome]) -> set[str]:
    return {
        answer.key for answer in received if isinstance(answer.outcome, Done)
    }


async def _send_and_record(
    entry: RequestEntry, key: str, number: int, received: list[ReceivedOutcome]
) -> None:
    outcome = await send_booking(entry, key, request_id=f'request-{number}')
    received.append(ReceivedOutcome(key, outcome, trio.current_time()))


async def _inject_faults(
    cluster: RequestCluster,
    rng: random.Random,
    scope: trio.CancelScope,
) -> None:
    while not scope.cancel_called:
        _clear_faults(cluster)
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


def _clear_faults(cluster: RequestCluster) -> None:
    cluster.store.down = False
    cluster.store.lose_answers = 0
    cluster.store.delay = 3
    cluster.network.disconnected.clear()
    cluster.workers.modes.clear()


def _all_idle(entries: list[RequestEntry]) -> bool:
    return not any(entry.claims.unfinished for entry in entries)
