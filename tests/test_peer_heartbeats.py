"""
tests.test_peer_heartbeats
==========================

The cost of heartbeats between entry VMs, and how soon they find a loss.
"""

from collections.abc import Callable

import pytest
import trio
from trio.abc import Stream
from trio.testing import MockClock

from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.decisions.heartbeats import (
    HEARTBEATS_HEARD,
    interval_factor,
)
from cyclamenshift.errors import ProtocolError
from cyclamenshift.model import EntryVm
from cyclamenshift.peer import HeartbeatRequest, NoReply
from cyclamenshift.peers.connection import Connection
from cyclamenshift.peers.frames import Decoder, encode
from cyclamenshift.peers.inbound import SILENCE_FACTOR
from cyclamenshift.peers.link import (
    CONNECT_TIMEOUT_MS,
    RECONNECT_DELAY_MS,
    OpenStream,
)
from cyclamenshift.peers.stream import StreamPeer
from cyclamenshift.storemessages import ReadCall

from .builders import entry_settings
from .standins.jobs import JobCluster
from .standins.peer_traffic import PeerTraffic, use_earlier_build
from .test_ownership import TAKE_OVER_TIMEOUT_S, find_idle, owned_domains

SETTINGS = entry_settings()['peers']
HEARTBEAT_MS = SETTINGS['heartbeat']
SILENCE_MS = SETTINGS['silence']
#: The time until a silent peer that sends at the full rate is known to be
#: gone: connecting to it again has failed.
LOSS_MS = SILENCE_MS + CONNECT_TIMEOUT_MS
#: The same for a peer that is checked once another one is quiet.
CHECKED_LOSS_MS = HEARTBEATS_HEARD * HEARTBEAT_MS + LOSS_MS
#: The time for messages and tasks beside the limits, ms.
MARGIN_MS = 50
#: The heartbeats per second to one peer at the full rate, on one connection.
FULL_RATE = MS_PER_SECOND / HEARTBEAT_MS
#: The time in which an entry VM is connected to all others, s.
START_S = 5


def _peer(cluster: JobCluster, entry_id: str) -> StreamPeer:
    return cluster.entries[entry_id].kernel.get(StreamPeer)


def _idle_ids(cluster: JobCluster) -> list[str]:
    return [
        entry_id
        for entry_id, owned in owned_domains(cluster).items()
        if not owned
    ]


async def _start(cluster: JobCluster, count: int) -> None:
    await cluster.start_all(count)
    await trio.sleep(START_S)


async def _measure_until(condition: Callable[[], object]) -> float:
    """Return after how many ms *condition* is true."""
    started = trio.current_time()
    while not condition():
        await trio.sleep(0.01)
    return (trio.current_time() - started) * MS_PER_SECOND


def _is_alive_nowhere(cluster: JobCluster, gone: set[str]) -> bool:
    return not any(
        gone & _peer(cluster, entry_id).alive() for entry_id in cluster.entries
    )


def test_interval_grows_with_the_number_of_peers() -> None:
    """All peers together cost at most what one does at the full rate."""
    for peer_count in range(1, 400):
        assert peer_count <= interval_factor(peer_count) < 2 * peer_count
    assert interval_factor(0) == 1


def test_invalid_heartbeat_request_is_refused() -> None:
    """A peer that asks for no interval is not obeyed in a busy loop."""
    with pytest.raises(ProtocolError):
        list(Decoder(1_000).feed(encode(HeartbeatRequest(0))))


@pytest.mark.parametrize('count', [8, 15, 30])
async def test_messages_of_an_idle_entry_vm_do_not_grow_with_the_fleet(
    count: int,
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of 15 sent 112 heartbeats a second, whether it owned or not."""
    traffic = PeerTraffic(job_cluster, monkeypatch)
    await _start(job_cluster, count)
    peers = count - 1
    period = 2 * interval_factor(peers) * HEARTBEAT_MS
    sent = await traffic.measure(period)
    idle = _idle_ids(job_cluster)
    assert len(idle) == count - 3
    for entry_id, rate in sent.items():
        # On the connections that it opened, and that others opened.
        seldom = FULL_RATE
        often = FULL_RATE if entry_id in idle else peers * FULL_RATE
        assert rate <= seldom + often + peers * MS_PER_SECOND / period


async def test_earlier_build_gets_todays_rate(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It would close a connection at the new message, or without data."""
    earlier = {'entry-1', 'entry-2', 'entry-3', 'entry-4'}
    use_earlier_build(monkeypatch, earlier)
    await _start(job_cluster, 8)
    await trio.sleep(interval_factor(7) * SILENCE_MS / MS_PER_SECOND)
    for entry_id in job_cluster.entries:
        peer = _peer(job_cluster, entry_id)
        received = peer.kernel.metrics.load.received_bytes
        has_requests = 'peer.HeartbeatRequest' in received.totals
        assert has_requests == (entry_id not in earlier)
        assert not any(link.lost_connections for link in peer.links.values())
        for connection in _connections(peer, earlier):
            assert connection.timer.factor == connection.silence.factor == 1


def _connections(peer: StreamPeer, entry_ids: set[str]) -> list[Connection]:
    """Return the connections to and from peers in *entry_ids*."""
    outbound = (
        link.connection
        for entry_id, link in peer.links.items()
        if link.connection and entry_id in entry_ids
    )
    inbound = (
        session.connection
        for session in peer.sessions
        if session.entry_id in entry_ids
    )
    return [*outbound, *inbound]


async def test_all_know_of_the_silent_death_of_an_owner(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """An owner sends at the full rate to every possible successor."""
    await _start(job_cluster, 8)
    owner = job_cluster.owner('desk')
    job_cluster.crash_host(owner)
    elapsed = await _measure_until(
        lambda: _is_alive_nowhere(job_cluster, {owner})
    )
    # A connection that is requested to show life may delay the finding.
    assert elapsed <= LOSS_MS + RECONNECT_DELAY_MS + MARGIN_MS
    with trio.fail_after(TAKE_OVER_TIMEOUT_S):
        await job_cluster.wait_until(job_cluster.all_owned)


async def test_lost_connection_is_found_by_sending(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A peer that seldom sends does not notice that its data is refused."""
    await _start(job_cluster, 8)
    owner = job_cluster.owner('desk')
    job_cluster.network.disconnected.add(owner)
    elapsed = await _measure_until(
        lambda: all(
            owner not in _peer(job_cluster, entry_id).reachable()
            for entry_id in job_cluster.entries.keys() - {owner}
        )
    )
    assert elapsed <= HEARTBEATS_HEARD * HEARTBEAT_MS + MARGIN_MS


async def test_idle_entry_vms_that_die_with_an_owner_are_found(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """They delayed the take-over, as candidates and as witnesses."""
    await _start(job_cluster, 12)
    owner = job_cluster.owner('desk')
    gone = {owner, *_idle_ids(job_cluster)[:6]}
    for entry_id in gone:
        job_cluster.crash_host(entry_id)
    elapsed = await _measure_until(lambda: _is_alive_nowhere(job_cluster, gone))
    assert elapsed <= CHECKED_LOSS_MS + RECONNECT_DELAY_MS + MARGIN_MS
    with trio.fail_after(TAKE_OVER_TIMEOUT_S):
        await job_cluster.wait_until(job_cluster.all_owned)


async def test_idle_entry_vm_that_died_is_found_by_a_call(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A caller without an answer waits no longer than at the full rate."""
    await _start(job_cluster, 8)
    gone, caller = _idle_ids(job_cluster)[:2]
    job_cluster.crash_host(gone)
    peer = _peer(job_cluster, caller)
    await trio.sleep(LOSS_MS / MS_PER_SECOND)
    assert gone in peer.reachable()
    started = trio.current_time()
    reply = await peer.call(gone, ReadCall(()), 10 * SILENCE_MS)
    elapsed = (trio.current_time() - started) * MS_PER_SECOND
    assert isinstance(reply, NoReply)
    assert elapsed <= SILENCE_MS + MARGIN_MS


async def test_idle_entry_vm_that_died_is_found_in_the_end(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The limit of silence grows in proportion to the interval only."""
    await _start(job_cluster, 8)
    gone = _idle_ids(job_cluster)[0]
    job_cluster.crash_host(gone)
    elapsed = await _measure_until(
        lambda: _is_alive_nowhere(job_cluster, {gone})
    )
    limit = interval_factor(7) * SILENCE_MS + CONNECT_TIMEOUT_MS
    assert elapsed <= limit + RECONNECT_DELAY_MS + MARGIN_MS


def _count_losses(cluster: JobCluster, entry_id: str) -> int:
    return sum(
        _peer(cluster, other).links[entry_id].lost_connections
        for other in cluster.entries.keys() - {entry_id}
    )


async def test_frozen_entry_vms_cause_no_wrong_take_over(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A freeze of an idle one is no loss, nor is a short one of an owner."""
    await _start(job_cluster, 8)
    owned = owned_domains(job_cluster)
    owner = job_cluster.owner('desk')
    for frozen, duration in (
        (_idle_ids(job_cluster)[0], 2 * SILENCE_MS),
        (owner, SILENCE_MS - 2 * HEARTBEAT_MS),
    ):
        losses = _count_losses(job_cluster, frozen)
        job_cluster.network.silenced.add(frozen)
        await trio.sleep(duration / MS_PER_SECOND)
        job_cluster.network.silenced.clear()
        await trio.sleep(LOSS_MS / MS_PER_SECOND)
        assert owned_domains(job_cluster) == owned
        assert _count_losses(job_cluster, frozen) == losses


async def test_new_owner_sends_at_the_full_rate_at_once(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """A successor that dies as well must be found as soon."""
    await _start(job_cluster, 8)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    await trio.sleep(MARGIN_MS / MS_PER_SECOND)
    owned = owned_domains(job_cluster)
    for entry_id in job_cluster.entries:
        links = _peer(job_cluster, entry_id).links
        for other in job_cluster.entries.keys() - {entry_id}:
            connection = links[other].connection
            assert connection
            is_full = connection.silence.factor == 1
            assert is_full == bool(owned[other])


async def test_joining_entry_vm_is_connected_and_then_sends_seldom(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Its first status updates come with its first heartbeat."""
    await _start(job_cluster, 8)
    await job_cluster.start('entry-9')
    elapsed = await _measure_until(
        lambda: all(
            entry_id == 'entry-9' or 'entry-9' in entry.ownership.peer_domains
            for entry_id, entry in job_cluster.entries.items()
        )
    )
    assert elapsed <= HEARTBEAT_MS
    await trio.sleep(MARGIN_MS / MS_PER_SECOND)
    sessions = _peer(job_cluster, 'entry-9').sessions
    factors = {session.connection.timer.factor for session in sessions}
    assert (len(sessions), factors) == (8, {interval_factor(8)})


async def _time_out(entry: EntryVm) -> Stream:
    await trio.sleep_forever()
    raise AssertionError


async def _fail_at_once(entry: EntryVm) -> Stream:
    raise OSError('no route')


@pytest.mark.parametrize('open_stream', [_time_out, _fail_at_once])
async def test_owner_is_heard_on_its_own_connection(
    open_stream: OpenStream,
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """It sends seldom there while the connection to it works."""
    await _start(job_cluster, 8)
    owner = job_cluster.owner('desk')
    idle = find_idle(job_cluster).ownership.membership.own.entry_id
    peer = _peer(job_cluster, idle)
    link = peer.links[owner]
    link.open_stream = open_stream
    assert link.connection
    await trio.aclose_forcefully(link.connection.stream)
    await trio.sleep(MARGIN_MS / MS_PER_SECOND)
    for _check in range(100):
        heard_at = peer.last_heard(owner)
        assert heard_at
        assert peer.clock.now() - heard_at <= HEARTBEATS_HEARD * HEARTBEAT_MS
        assert owner in peer.alive()
        await trio.sleep(0.1)
    job_cluster.kill(owner)
    elapsed = await _measure_until(lambda: owner not in peer.alive())
    assert elapsed <= LOSS_MS + RECONNECT_DELAY_MS


async def test_leaving_owner_sends_at_the_full_rate(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """Calls that it still answers must not wait long for a dead host."""
    await _start(job_cluster, 8)
    owner = job_cluster.owner('desk')
    others = job_cluster.entries.keys() - {owner}
    kernel = job_cluster.entries[owner].kernel
    kernel.draining = True
    await _peer(job_cluster, owner).announce_leaving()
    await job_cluster.entries[owner].ownership.announce_leaving()
    await trio.sleep(HEARTBEAT_MS / MS_PER_SECOND)
    assert not owned_domains(job_cluster)[owner]
    for entry_id in others:
        connection = _peer(job_cluster, entry_id).links[owner].connection
        assert connection
        assert connection.silence.factor == 1


async def test_stop_does_not_wait_for_a_silent_idle_peer(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The limit of silence on its connection is that of the full rate."""
    await _start(job_cluster, 8)
    gone, stopping = _idle_ids(job_cluster)[:2]
    job_cluster.crash_host(gone)
    kernel = job_cluster.entries[stopping].kernel
    peer = _peer(job_cluster, stopping)
    kernel.draining = True
    await peer.announce_leaving()
    with trio.fail_after(
        (SILENCE_FACTOR * SILENCE_MS + MARGIN_MS) / MS_PER_SECOND
    ):
        await peer.drain()
