"""
tests.test_watching
===================

Which peers an entry VM watches, and that their number stays the same.
"""

from collections.abc import Collection, Iterator

import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from cyclamenshift.clock import MS_PER_SECOND, Clock
from cyclamenshift.decisions.heartbeats import (
    IDLE_MS,
    KEEPALIVE_MS,
    Intervals,
    Pulse,
    Timing,
    Watch,
    next_idle_pulse,
    next_pulse,
)
from cyclamenshift.decisions.owners import WITNESS_COUNT
from cyclamenshift.decisions.watching import (
    RING_WATCHES,
    WATCHING_CANDIDATES,
    PeerView,
    candidates_for,
    informed_witnesses,
    ring_order,
    watched_peers,
)
from cyclamenshift.duties.fleet import FLEET_DOMAIN
from cyclamenshift.ownerrows import owner_key
from cyclamenshift.peers.keepalive import send_heartbeats
from cyclamenshift.peers.stream import StreamPeer

from .builders import WALL_START, entry_settings, peer_view
from .standins.jobs import JobCluster

#: The intervals on the users' platform.
INTERVALS = Intervals(250, 800)
#: The time within which a lost owner must be replaced, s: that of a lease.
TAKE_OVER_TIMEOUT_S = 4
#: The number of entry VMs of a large fleet.
LARGE = 100


def views(count: int, down: Collection[str] = ()) -> Iterator[PeerView]:
    """Yield what each live one of *count* entry VMs sees."""
    for number in range(count):
        view = peer_view(count, own=number, down=down)
        if view.own.entry_id not in down:
            yield view


@pytest.mark.parametrize('count', [8, 30, LARGE])
def test_number_of_watched_peers_does_not_grow(count: int) -> None:
    """Each watches some on the ring, and the holders that it would replace."""
    counts = [len(watched_peers(view)) for view in views(count)]
    assert min(counts) >= RING_WATCHES
    assert max(counts) <= RING_WATCHES + 2 * WATCHING_CANDIDATES
    watching = [
        view.own.entry_id
        for view in views(count)
        if watched_peers(view).get('entry-0') is Watch.close
    ]
    assert watching
    assert len(watching) <= 2 * WATCHING_CANDIDATES


@pytest.mark.parametrize('seed', range(10))
def test_each_dead_peer_is_watched_by_a_live_one(seed: int) -> None:
    """Whichever die together, the nearest live predecessor notices."""
    order = ring_order(f'entry-{number}' for number in range(LARGE))
    neighbours = order[seed : seed + 30]
    down = {*neighbours, *order[seed::4]}
    watched: set[str] = set()
    for view in views(LARGE, down):
        watched.update(watched_peers(view))
    assert down <= watched


def test_all_candidates_agree_on_their_order() -> None:
    """Otherwise several would take a domain at the same moment."""
    orders = {
        tuple(candidates_for(view, 'desk', 'entry-0'))
        for view in views(LARGE, {'entry-1'})
    }
    (order,) = orders
    assert len(order) == LARGE - 2


def test_vacant_domain_is_watched_by_those_in_line() -> None:
    """They find out who of those before them is gone as well."""
    view = peer_view(LARGE, down={'entry-0'}, vacant={'desk'})
    order = candidates_for(view, 'desk', 'entry-0')
    third = view._replace(own=view.members[order[2]])
    watched = watched_peers(third)
    assert {watched[entry_id] for entry_id in order[:2]} == {Watch.close}
    assert watched['entry-0'] is Watch.close


def test_witnesses_that_watch_the_holder_come_first() -> None:
    """Others would have to connect to it, which a slow holder delays."""
    view = peer_view(LARGE, own=50)
    witnesses = informed_witnesses(view, 'desk', 'entry-0')
    assert 0 < len(witnesses) <= WITNESS_COUNT
    for witness in witnesses:
        seen = watched_peers(view._replace(own=view.members[witness]))
        assert 'entry-0' in seen


def test_holder_that_is_not_registered_any_more() -> None:
    """Its row outlives its registration."""
    view = peer_view(3)._replace(holders={'desk': 'entry-gone'})
    assert informed_witnesses(view, 'desk', 'entry-gone')
    assert watched_peers(view)


@pytest.mark.parametrize(
    ('now', 'pulse'),
    [
        (100, Pulse.nothing),
        (250, Pulse.heartbeat),
        (799, Pulse.heartbeat),
        (800, Pulse.lost),
    ],
)
def test_silent_connection_is_lost(now: int, pulse: Pulse) -> None:
    """It gets heartbeats until then."""
    heartbeat, silence = INTERVALS
    timing = Timing(0, 0, 0, 0)
    assert next_pulse(timing, silence, heartbeat, now).pulse is pulse


def test_silence_before_data_is_expected_does_not_count() -> None:
    """An idle connection that is used again is not lost at once."""
    timing = Timing(0, 0, 5_000, 5_000)
    pulse = next_pulse(timing, INTERVALS.silence, KEEPALIVE_MS, 5_799)
    assert pulse == (Pulse.nothing, 5_800)


def test_unused_connection_is_closed() -> None:
    """Unless it is watched."""
    timing = Timing(1_000, 1_000, 1_000, 1_000)
    assert next_idle_pulse(timing, 1_000).at == 1_000 + IDLE_MS
    assert next_idle_pulse(timing, 1_000 + IDLE_MS).pulse is Pulse.idle


async def test_idle_traffic_between_many_entry_vms(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """All were connected to all, so idle entry VMs took a third of a core."""
    await job_cluster.start_all(LARGE)
    await trio.sleep(2 * IDLE_MS / MS_PER_SECOND)
    sent_before = _count_heartbeat_bytes(job_cluster)
    await trio.sleep(5)
    per_second = (_count_heartbeat_bytes(job_cluster) - sent_before) / 5
    # Each heartbeat is 3 bytes; a full mesh sent eight a second to each peer.
    assert per_second / 3 < LARGE * RING_WATCHES * 4
    connections = [len(peer.reachable()) for peer in _peers(job_cluster)]
    assert max(connections) <= RING_WATCHES + 3 * WATCHING_CANDIDATES


async def test_owner_and_its_watchers_die_together(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Nobody else watched the owner, but the ring has a live predecessor."""
    await job_cluster.start_all(30)
    await trio.sleep(2 * IDLE_MS / MS_PER_SECOND)
    owner = job_cluster.owner('desk')
    ownership = job_cluster.entries[owner].ownership
    view = ownership.holders.view(())
    lost = {owner, *candidates_for(view, 'desk', owner)[:WATCHING_CANDIDATES]}
    for entry_id in lost:
        job_cluster.crash_host(entry_id)
    with trio.fail_after(2 * TAKE_OVER_TIMEOUT_S):
        await job_cluster.wait_until(job_cluster.all_owned)


async def test_half_of_many_hosts_are_lost(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """The survivors take all domains, and only they."""
    await job_cluster.start_all(40)
    await trio.sleep(5)
    lost = set(sorted(job_cluster.entries)[::2])
    lost |= {job_cluster.owner('desk'), job_cluster.manager()}
    for entry_id in lost:
        job_cluster.crash_host(entry_id)
    with trio.fail_after(2 * TAKE_OVER_TIMEOUT_S):
        await job_cluster.wait_until(job_cluster.all_owned)


async def test_halves_of_a_network_keep_the_owners(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Each half hears only itself; the rows change once at most."""
    await job_cluster.start_all(20)
    await trio.sleep(5)
    first = sorted(job_cluster.entries)[:10]
    second = sorted(job_cluster.entries.keys() - set(first))
    for entry_id in first:
        job_cluster.network.break_links(entry_id, second)
    await trio.sleep(20)
    assert max(_owner_epochs(job_cluster)) <= 4
    job_cluster.network.broken_links.clear()
    await trio.sleep(TAKE_OVER_TIMEOUT_S)
    await job_cluster.wait_until(job_cluster.all_owned)


async def test_full_link_of_an_owner_is_not_taken_for_its_loss(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """What it sends is late, but comes."""
    await job_cluster.start_all(12)
    await trio.sleep(5)
    owner = job_cluster.owner('desk')
    epochs = _owner_epochs(job_cluster)
    silence = entry_settings()['peers']['silence']
    job_cluster.network.send_delays[owner] = silence - 200
    await trio.sleep(20)
    assert _owner_epochs(job_cluster) == epochs


class RecordingEnd:
    """One end of a connection that records what is asked of it."""

    def __init__(self) -> None:
        """Start without a call."""
        self.calls: list[str] = []

    def pulse(self) -> int:
        """Record the call; look again at once."""
        self.calls.append('pulse')
        return 0

    def forgive_silence(self) -> None:
        """Record the call."""
        self.calls.append('forgive')


async def test_paused_process_does_not_lose_its_peers(
    mock_clock: MockClock, nursery: trio.Nursery
) -> None:
    """What they have sent meanwhile is not read yet when it goes on."""
    end = RecordingEnd()
    clock = Clock(WALL_START)
    nursery.start_soon(
        send_heartbeats, clock, INTERVALS.heartbeat, {'peer': end}, ()
    )
    await wait_all_tasks_blocked()
    mock_clock.jump(INTERVALS.heartbeat / MS_PER_SECOND)
    await wait_all_tasks_blocked()
    assert end.calls == ['pulse', 'pulse']
    mock_clock.jump(5)
    await wait_all_tasks_blocked()
    assert end.calls[2:] == ['forgive', 'pulse']
    nursery.cancel_scope.cancel()


async def test_peer_of_an_earlier_version_gets_heartbeats(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It connects to all, and takes a silent connection for a lost one."""
    await job_cluster.start_all(2)
    earlier = await job_cluster.start('entry-3')
    peer = earlier.kernel.get(StreamPeer)
    peer.membership.registered = {
        name: entry._replace(takes_pace=False)
        for name, entry in peer.membership.registered.items()
    }
    peer.membership.changed.set()
    peer.membership.changed = trio.Event()
    peer.table.watch({'entry-1': Watch.close, 'entry-2': Watch.close})
    await trio.sleep(10)
    lost = [link.attempts.lost_connections for link in peer.links.values()]
    assert lost == [0, 0]


def _owner_epochs(cluster: JobCluster) -> list[int]:
    keys = [owner_key(name) for name in ('desk', 'billing', FLEET_DOMAIN)]
    return [row.fields['epoch'] for row in cluster.store.table.read(keys)]


def _peers(cluster: JobCluster) -> list[StreamPeer]:
    return [entry.kernel.get(StreamPeer) for entry in cluster.entries.values()]


def _count_heartbeat_bytes(cluster: JobCluster) -> int:
    loads = [entry.kernel.metrics.load for entry in cluster.entries.values()]
    return sum(load.sent_bytes.totals['peer.Heartbeat'] for load in loads)
