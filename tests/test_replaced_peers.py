"""
tests.test_replaced_peers
=========================

Connections to processes whose place another one has taken.
"""

from functools import partial

import trio
from trio.abc import Stream
from trio.testing import MockClock, memory_stream_pair

from cyclamenshift.jobmessages import Holdings, OwnedDomain
from cyclamenshift.model import EntryVm
from cyclamenshift.peer import PROTOCOL_VERSION, Heartbeat, Hello
from cyclamenshift.peers.link import Link
from cyclamenshift.peers.stream import StreamPeer

from .builders import entry_vm
from .standins.jobs import JobCluster


async def test_update_of_a_replaced_process_counts_for_its_successor(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """Its connection outlasts its registration, and both have one id."""
    first = await job_cluster.start('entry-1')
    peer = first.kernel.get(StreamPeer)
    replaced = entry_vm('entry-2')
    own_end, peer_end = memory_stream_pair()
    link = Link(peer.context, replaced, partial(open_pair, own_end))
    sender = peer.context.make_connection(peer_end)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        nursery.start_soon(sender.send_queued)
        sender.enqueue(
            Hello(PROTOCOL_VERSION, replaced.entry_id, replaced.incarnation)
        )
        await job_cluster.wait_until(lambda: link.usable)
        link.retire()
        holdings = Holdings((OwnedDomain('desk', 1),))
        sender.enqueue(Heartbeat((holdings,)))
        await trio.sleep(0.1)
        assert 'entry-2' not in first.ownership.peer_domains
        nursery.cancel_scope.cancel()


async def open_pair(stream: Stream, entry: EntryVm) -> Stream:
    """Return *stream* as the connection to a peer."""
    return stream
