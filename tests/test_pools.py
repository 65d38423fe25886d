"""
tests.test_pools
================

Drains and moves of VMs, on virtual time.
"""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.controls.pools import (
    LEAVE_PROPAGATION_MS,
    RESULT_UNKNOWN,
    VmChanged,
)
from cyclamenshift.decisions.budget import Refused
from cyclamenshift.model import VmState
from cyclamenshift.rows import budget_key
from cyclamenshift.store import CommitResult, Transaction, Uncertain

from .builders import request
from .standins.fakes import RequestCluster, RequestEntry

#: The time after which a leaving VM gets no new work, s.
LEAVE_PROPAGATION_S = 3
#: The time within which an operator must be told what is known, s.
ANSWER_S = 10
#: How long the store is down, s.
OUTAGE_S = 4.5


class LateCommits:
    """Applies the first transaction just before the second one."""

    def __init__(
        self, commit: Callable[[Transaction], Awaitable[CommitResult]]
    ) -> None:
        """Pass transactions to *commit*."""
        self.pass_on = commit
        self.delayed: Transaction | None = None

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit *transaction*, or delay it if it is the first one."""
        if self.delayed is None:
            self.delayed = transaction
            return Uncertain('no answer')
        await self.pass_on(self.delayed)
        return await self.pass_on(transaction)


def list_states(cluster: RequestCluster, vm_id: str) -> set[tuple[str, str]]:
    """Return each state and pool that the entry VMs know of a VM."""
    rows = [
        entry.configuration.vm_rows[vm_id] for entry in cluster.entries.values()
    ]
    return {(row['state'], row['pool']) for row in rows}


async def test_leaving_vm_gets_no_new_work(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """After the propagation time no entry VM sends to it; it gets drained."""
    entries = await cluster.start_all(4)
    async with trio.open_nursery() as nursery:
        for entry in entries:
            nursery.start_soon(_send_continuously, entry)
        await trio.sleep(2)
        assert isinstance(await entries[0].pools.drain_vm('desk-1'), VmChanged)
        accepted = trio.current_time()
        await cluster.wait_until(
            lambda: list_states(cluster, 'desk-1') == {('drained', 'desk')},
        )
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    late = [
        run
        for run in cluster.workers.runs
        if run.worker == 'desk-1'
        and run.started_at > accepted + LEAVE_PROPAGATION_S
    ]
    assert cluster.workers.runs
    assert not late
    assert LEAVE_PROPAGATION_S * 1_000 == LEAVE_PROPAGATION_MS


async def test_drain_waits_for_work_in_flight(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A VM stays in the state leaving while its worker runs requests."""
    (entry,) = await cluster.start_all(1, {'desk': 4})
    await entry.pools.drain_vm('desk-1')
    cluster.workers.running['desk-1'] = 1
    await trio.sleep(30)
    assert list_states(cluster, 'desk-1') == {('leaving', 'desk')}
    cluster.workers.running['desk-1'] = 0
    await cluster.wait_until(
        lambda: list_states(cluster, 'desk-1') == {('drained', 'desk')},
    )


async def test_concurrent_drains(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Of two drains one is refused, as the floor allows only one."""
    first, second = await cluster.start_all(2, {'desk': 4})
    changes: list[VmChanged | Refused] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain, first, 'desk-1', changes)
        nursery.start_soon(_drain, second, 'desk-2', changes)
    kinds = sorted(type(result).__name__ for result in changes)
    assert kinds == ['Refused', 'VmChanged']


async def test_lost_answer_of_a_change(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A drain whose answer was lost is read back, and counted once."""
    (entry,) = await cluster.start_all(1, {'desk': 4})
    cluster.store.lose_answers = 1
    assert isinstance(await entry.pools.drain_vm('desk-1'), VmChanged)
    row = cluster.store.table.row(budget_key('desk'))
    assert row.fields['unavailable'] == 1


async def test_change_that_may_be_applied_is_never_answered(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Its answer was lost, and the store was down from then on."""
    (entry,) = await cluster.start_all(1, {'desk': 4})
    cluster.store.lose_answers = 1
    changes: list[VmChanged | Refused] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain, entry, 'desk-1', changes)
        await cluster.wait_until(lambda: not cluster.store.lose_answers)
        cluster.store.down = True
        with trio.fail_after(ANSWER_S):
            await cluster.wait_until(lambda: changes)
    assert changes == [RESULT_UNKNOWN]


async def test_change_is_given_up_when_the_store_is_down_for_a_while(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Its answer was lost, and it is made once the store is back."""
    (entry,) = await cluster.start_all(1, {'desk': 4})
    cluster.store.lose_answers = 1
    changes: list[VmChanged | Refused] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain, entry, 'desk-1', changes)
        await cluster.wait_until(lambda: not cluster.store.lose_answers)
        cluster.store.down = True
        await trio.sleep(OUTAGE_S)
        cluster.store.down = False
    assert isinstance(changes[0], VmChanged)


async def test_change_that_is_applied_late_is_called_refused(
    cluster: RequestCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The second transaction found the row that the first one had written."""
    (entry,) = await cluster.start_all(1, {'desk': 4})
    store = entry.pools.store
    monkeypatch.setattr(store, 'commit', LateCommits(store.commit).commit)
    assert isinstance(await entry.pools.drain_vm('desk-1'), VmChanged)
    row = cluster.store.table.row(budget_key('desk'))
    assert row.fields['unavailable'] == 1


async def test_move_is_finished_by_another_entry_vm(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A move completes although the entry VM that accepted it dies."""
    first, second = await cluster.start_all(2)
    assert isinstance(await first.pools.move('spare-1', 'desk'), VmChanged)
    cluster.kill('entry-1')
    await cluster.wait_until(
        lambda: list_states(cluster, 'spare-1') == {('serving', 'desk')},
    )
    assert second.configuration.vms['spare-1'].state is VmState.serving


async def _drain(
    entry: RequestEntry,
    vm_id: str,
    changes: list[VmChanged | Refused],
) -> None:
    changes.append(await entry.pools.drain_vm(vm_id))


async def _send_continuously(entry: RequestEntry) -> None:
    while True:
        deadline = entry.kernel.clock.now() + 1_000
        await entry.dispatcher.handle(request(deadline=deadline))
        await trio.sleep(0.02)
