"""
tests.test_connections
======================

Messages that a connection between entry VMs can't send.
"""

import pytest
import trio
from trio.testing import MockClock, memory_stream_pair

from cyclamenshift.clock import Clock
from cyclamenshift.jobmessages import CountAnswer, StateQuery
from cyclamenshift.metrics import Metrics
from cyclamenshift.peer import Notification, Payload
from cyclamenshift.peers.connection import Connection

from .builders import WALL_START, entry_settings


@pytest.mark.parametrize(
    'unsendable',
    [StateQuery('desk', 'x' * 2_000), CountAnswer(owned=True, waiting=2**64)],
)
async def test_message_that_can_not_be_sent_ends_the_connection(
    autojump_clock: MockClock, unsendable: Payload
) -> None:
    """The number was too large to be packed, or the frame to be accepted."""
    peer_settings = entry_settings(peers={'frame_limit': 1_000})['peers']
    clock = Clock(WALL_START)
    sender, receiver = (
        Connection(stream, clock, peer_settings, Metrics().load)
        for stream in memory_stream_pair()
    )
    sound = Notification(StateQuery('desk', 'job-1'))
    sender.enqueue(Notification(unsendable))
    sender.enqueue(sound)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.send_queued)
        assert await receiver.receive() == sound
        nursery.cancel_scope.cancel()
