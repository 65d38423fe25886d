"""
tests.standins.peer_traffic
===========================

Counts the messages between entry VMs, and emulates builds without
``HeartbeatRequest``.
"""

from collections import Counter
from collections.abc import Collection

import pytest
import trio

from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.component import Host
from cyclamenshift.controls.membership import Membership
from cyclamenshift.peer import Message
from cyclamenshift.peers.connection import Connection
from cyclamenshift.peers.rates import HeartbeatRates
from cyclamenshift.peers.stream import StreamPeer

from .jobs import JobCluster


class PeerTraffic:
    """The number of messages that each entry VM of a cluster sends."""

    def __init__(
        self, cluster: JobCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Count from now on."""
        self.cluster = cluster
        self.sent: Counter[object] = Counter()
        enqueue = Connection.enqueue

        def count(connection: Connection, message: Message) -> None:
            self.sent[connection.load] += 1
            enqueue(connection, message)

        monkeypatch.setattr(Connection, 'enqueue', count)

    async def measure(self, duration: int) -> dict[str, float]:
        """Return the messages per second of each entry VM."""
        self.sent.clear()
        await trio.sleep(duration / MS_PER_SECOND)
        return {
            entry_id: self.sent[entry.kernel.metrics.load]
            * MS_PER_SECOND
            / duration
            for entry_id, entry in self.cluster.entries.items()
        }


def use_earlier_build(
    monkeypatch: pytest.MonkeyPatch, entry_ids: Collection[str]
) -> None:
    """Start these entry VMs without knowledge of ``HeartbeatRequest``."""
    initialize = StreamPeer.__init__

    def start(peer: StreamPeer, host: Host) -> None:
        membership = host.get(Membership)
        is_earlier = membership.own.entry_id in entry_ids
        if is_earlier:
            membership.own = membership.own._replace(adjusts_heartbeats=False)
        initialize(peer, host)
        if is_earlier:
            peer.context.rates = FullRates(peer.context.inbound)

    monkeypatch.setattr(StreamPeer, '__init__', start)


class FullRates(HeartbeatRates):
    """Requests no heartbeats, since all come at the full rate."""

    def resize(self, peer_count: int) -> None:
        """Keep the full rate."""
