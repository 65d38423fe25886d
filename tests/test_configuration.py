"""
tests.test_configuration
========================

Accepted configurations become active everywhere, and never revert.
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

#: The time within which a change must be active everywhere, seconds.
ACTIVATION_TIMEOUT_S = 19


def proposal(base: int, name: str, **changes: Any) -> Proposal:
    """Return a proposal by the operator *name* against *base*."""
    return Proposal(fleet_texts(**changes), base, f'change-{name}', name)


def active_numbers(cluster: RequestCluster) -> set[int]:
    """Return the configuration numbers that are active at the entry VMs."""
    return {entry.configuration.number for entry in cluster.entries.values()}


async def wait_until_active(cluster: RequestCluster, number: int) -> None:
    """Wait until *number* is active everywhere, or fail at the timeout."""
    with trio.fail_after(ACTIVATION_TIMEOUT_S):
        await cluster.wait_until(lambda: active_numbers(cluster) == {number})


async def test_change_reaches_every_entry_vm(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A change that one entry VM accepts becomes active at all in time."""
    entries = await cluster.start_all(4)
    result = await entries[2].configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, AppliedChange)
    await wait_until_active(cluster, 2)


async def test_concurrent_changes(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Of two changes to one base the second is refused and names the first."""
    first, second = await cluster.start_all(2)
    applied: list[AppliedChange | Refused] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_apply, first, proposal(1, 'ann'), applied)
        nursery.start_soon(_apply, second, proposal(1, 'bob'), applied)
    (accepted,) = [
        result for result in applied if isinstance(result, AppliedChange)
    ]
    (refused,) = [result for result in applied if isinstance(result, Refused)]
    assert accepted.number == 2
    assert 'ann' in refused.reason or 'bob' in refused.reason
    assert 'config diff' in refused.remedy
    await wait_until_active(cluster, 2)


async def test_lost_answer_of_an_apply(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A change is found by its id after the store's answer was lost."""
    first, second = await cluster.start_all(2)
    cluster.store.lose_answers = 2
    result = await first.configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, AppliedChange)
    assert result.number == 2
    await wait_until_active(cluster, 2)


async def test_store_down_during_an_apply(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Nothing is applied, and the active configuration stays."""
    first, second = await cluster.start_all(2)
    cluster.store.down = True
    result = await first.configuration.apply(proposal(1, 'ann'))
    assert isinstance(result, Refused)
    assert 'nothing was changed' in result.remedy
    cluster.store.down = False
    await trio.sleep(ACTIVATION_TIMEOUT_S)
    assert active_numbers(cluster) == {1}


async def test_disconnected_entry_vm_catches_up(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """An entry VM keeps its configuration until it can read a newer one."""
    entries = await cluster.start_all(3)
    cluster.store.cut_off.add('entry-3')
    await entries[0].configuration.apply(proposal(1, 'ann'))
    await cluster.wait_until(lambda: active_numbers(cluster) == {1, 2})
    await trio.sleep(ACTIVATION_TIMEOUT_S)
    assert entries[2].configuration.number == 1
    cluster.store.cut_off.clear()
    await wait_until_active(cluster, 2)


async def test_serving_vm_cannot_be_removed(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A configuration that removes a serving VM is refused and names the VM."""
    (entry,) = await cluster.start_all(1)
    result = await entry.configuration.apply(
        proposal(1, 'ann', vms={'desk-1': None}),
    )
    assert isinstance(result, Refused)
    assert 'desk-1 is still serving' in result.reason
    assert entry.configuration.number == 1


async def test_malformed_rows_are_ignored(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A row that cannot be decoded is ignored; the known state stays."""
    first, second = await cluster.start_all(2)
    malformed_rows = (
        Write(entry_key('entry-9'), {'malformed': 1}),
        Write(vm_key('desk-1'), {'malformed': 1}),
        Write(CHANGES_KEY, {'vms': ['desk-1']}),
    )
    cluster.store.table.commit(Transaction((), malformed_rows))
    await trio.sleep(5)
    assert len(first.configuration.vms) == 8
    assert cluster.all_connected(2)


async def _apply(
    entry: RequestEntry,
    requested: Proposal,
    applied: list[AppliedChange | Refused],
) -> None:
    applied.append(await entry.configuration.apply(requested))
