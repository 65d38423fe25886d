"""
tests.test_configuration
========================

Accepted configurations: in force everywhere, and never going back.
"""

from typing import Any

import trio
from trio.testing import MockClock

from cyclamenshift.controls.configuration import AppliedChange, Proposal
from cyclamenshift.decisions.budget import Refused
from cyclamenshift.rows import CHANGES_KEY, entry_key, vm_key
from cyclamenshift.store import Transaction, Write

from .builders import fleet_texts
from .standins.fakes import RequestCluster, RequestEntry

#: The time within which a change must be in force everywhere, seconds.
TARGET_S = 19


def proposal(base: int, name: str, **changes: Any) -> Proposal:
    """Return a proposal by the operator *name* against *base*."""
    return Proposal(fleet_texts(**changes), base, f'change-{name}', name)


def numbers(cluster: RequestCluster) -> set[int]:
    """Return the numbers in force at all entry VMs."""
    return {entry.configuration.number for entry in cluster.entries.values()}


async def in_force_within_target(cluster: RequestCluster, number: int) -> None:
    """Wait until *number* is in force everywhere, at most the target."""
    with trio.fail_after(TARGET_S):
        await cluster.wait_until(lambda: numbers(cluster) == {number})


async def test_change_reaches_everybody(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A change at one entry VM is in force at all, within the target."""
    entries = await cluster.start_all(4)
    result = await entries[2].configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, AppliedChange)
    await in_force_within_target(cluster, 2)


async def test_two_operators_apply(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Of two changes against one base one wins; the other names it."""
    first, second = await cluster.start_all(2)
    applied: list[AppliedChange | Refused] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_apply, first, proposal(1, 'ann'), applied)
        nursery.start_soon(_apply, second, proposal(1, 'bob'), applied)
    (won,) = [result for result in applied if isinstance(result, AppliedChange)]
    (lost,) = [result for result in applied if isinstance(result, Refused)]
    assert won.number == 2
    assert 'ann' in lost.reason or 'bob' in lost.reason
    assert 'config diff' in lost.remedy
    await in_force_within_target(cluster, 2)


async def test_lost_answer_of_an_apply(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A change whose answer was lost is found by its change id, once."""
    first, second = await cluster.start_all(2)
    cluster.store.lose_answers = 2
    result = await first.configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, AppliedChange)
    assert result.number == 2
    await in_force_within_target(cluster, 2)


async def test_store_down_during_an_apply(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Nothing is applied, and what is in force stays so."""
    first, second = await cluster.start_all(2)
    cluster.store.down = True
    result = await first.configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, Refused)
    assert 'nothing was changed' in result.remedy
    cluster.store.down = False
    await trio.sleep(TARGET_S)
    assert numbers(cluster) == {1}


async def test_cut_off_entry_vm_returns(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """It keeps what it had, and goes up when it can read again."""
    entries = await cluster.start_all(3)
    cluster.store.cut_off.add('entry-3')
    await entries[0].configuration.apply(proposal(1, 'ann'))
    await cluster.wait_until(lambda: numbers(cluster) == {1, 2})
    await trio.sleep(TARGET_S)
    assert entries[2].configuration.number == 1
    cluster.store.cut_off.clear()
    await in_force_within_target(cluster, 2)


async def test_vm_that_serves_may_not_vanish(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A configuration without a serving VM is refused, by its name."""
    (entry,) = await cluster.start_all(1)
    result = await entry.configuration.apply(
        proposal(1, 'ann', vms={'desk-1': None}),
    )
    assert isinstance(result, Refused)
    assert 'desk-1 is still serving' in result.reason
    assert entry.configuration.number == 1


async def test_rows_of_another_shape(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A row that can't be read is left alone; what was known stays."""
    first, second = await cluster.start_all(2)
    strange = (
        Write(entry_key('entry-9'), {'strange': 1}),
        Write(vm_key('desk-1'), {'strange': 1}),
        Write(CHANGES_KEY, {'vms': ['desk-1']}),
    )
    cluster.store.table.commit(Transaction((), strange))
    await trio.sleep(5)
    assert len(first.configuration.vms) == 8
    assert cluster.all_connected(2)


async def _apply(
    entry: RequestEntry,
    asked: Proposal,
    applied: list[AppliedChange | Refused],
) -> None:
    applied.append(await entry.configuration.apply(asked))
