"""
tests.test_peers
================

Messages between peers: encoding, matching of replies, silent connections.
"""

import socket
from functools import partial
from itertools import chain

import pytest
import trio
from trio.testing import MockClock, memory_stream_pair

from cyclamenshift.clock import MS_PER_SECOND, Clock
from cyclamenshift.errors import ProtocolError
from cyclamenshift.forwarding import (
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    decode_outcome,
    encode_outcome,
)
from cyclamenshift.jobmessages import CountQuery
from cyclamenshift.metrics import Metrics
from cyclamenshift.model import Done, NotRun, Outcome, Reason, Unknown
from cyclamenshift.peer import (
    PAYLOAD_TYPES,
    Call,
    CancelCall,
    Heartbeat,
    HeartbeatRequest,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    NoReply,
    Notification,
    Payload,
    Peer,
    Reply,
)
from cyclamenshift.peers.connection import Connection
from cyclamenshift.peers.frames import TAGS, Decoder, encode
from cyclamenshift.peers.stream import StreamPeer

from .builders import WALL_START, entry_settings, entry_vm, request
from .examples import EXAMPLES
from .standins.fakes import RequestCluster, RequestEntry, transfer_slowly
from .standins.jobs import JobCluster

#: The heartbeat of the default settings, ms.
HEARTBEAT_MS = 500
#: How much a slow connection transfers in a fifth of ``peers.silence``, bytes.
SLOW_BYTES = 10_000

MESSAGES: tuple[Message, ...] = (
    Hello(1, 'entry-1', 'first'),
    Heartbeat(EXAMPLES),
    HeartbeatRequest(8),
    Call(1, EXAMPLES[0]),
    *(Reply(1, example) for example in EXAMPLES),
    Notification(EXAMPLES[-1]),
    CancelCall(7),
    Leaving(),
    LeavingAck(),
)


def test_every_message_has_a_tag_and_an_example() -> None:
    """No message is left out of the encoding, or of these tests."""
    assert {type(message) for message in MESSAGES} == TAGS.keys()
    assert {type(example) for example in EXAMPLES} == set(
        PAYLOAD_TYPES.values(),
    )


@pytest.mark.parametrize('size', [1, 3, 1000])
def test_messages_are_decoded_from_any_fragments(size: int) -> None:
    """Messages are decoded whole, however the stream splits them."""
    decoder = Decoder(1_000)
    stream = b''.join(encode(message) for message in MESSAGES)
    pieces = [
        stream[start : start + size] for start in range(0, len(stream), size)
    ]
    received = chain.from_iterable(map(decoder.feed, pieces))
    assert tuple(received) == MESSAGES


@pytest.mark.parametrize(
    'frame',
    [b'\x01', b'\x92\x63\x01', b'\x92\x01\x01', b'\xc1', b'\xa5hello'],
)
def test_malformed_frames_are_refused(frame: bytes) -> None:
    """Malformed frames raise an error that names the remedy."""
    with pytest.raises(ProtocolError, match='version'):
        list(Decoder(1_000).feed(frame))


def test_frame_beyond_the_limit_is_refused() -> None:
    """A frame longer than the limit is refused before it is complete."""
    frame = encode(Reply(1, AnswerUnknown(Reason.deadline, 'x' * 2_000)))
    with pytest.raises(ProtocolError, match='frame_limit'):
        list(Decoder(1_000).feed(frame))


@pytest.mark.parametrize(
    'outcome',
    [
        Done(204, '', b''),
        NotRun(Reason.queue_full, 'remedy', 7),
        Unknown(Reason.deadline, 'remedy'),
    ],
)
def test_outcome_round_trip(outcome: Outcome) -> None:
    """An outcome is the same after encoding and decoding."""
    payload = encode_outcome(outcome)
    assert isinstance(payload, AnswerDone | AnswerNotRun | AnswerUnknown)
    assert decode_outcome(payload) == outcome


@pytest.mark.parametrize('size', [1, 3, 1000])
def test_size_of_a_fragmented_frame_is_its_whole_size(size: int) -> None:
    """A frame that arrives in several pieces was counted in part only."""
    decoder = Decoder(1_000)
    stream = b''.join(encode(message) for message in MESSAGES)
    sizes = [
        decoder.frame_bytes
        for start in range(0, len(stream), size)
        for _message in decoder.feed(stream[start : start + size])
    ]
    assert sizes == [len(encode(message)) for message in MESSAGES]


async def test_replies_match_their_calls(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Concurrent forwards get their own replies, even out of order."""
    entries = await cluster.start_all(3, {'desk': 2})
    cluster.workers.run_ms.update({'slow': 400, 'fast': 5})
    outcomes: dict[str, Outcome] = {}
    async with trio.open_nursery() as nursery:
        for number in range(90):
            entry = entries[number % 3]
            nursery.start_soon(_send, entry, f'request-{number}', outcomes)
    assert outcomes == {
        name: Done(200, 'text/plain', name.encode()) for name in outcomes
    }
    assert len(outcomes) == 90


async def test_silent_connection_is_detected(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Connections that lose all messages are replaced by new ones."""
    first, second = await cluster.start_all(2)
    silence = second.kernel.settings['peers']['silence']
    cluster.network.silenced.add('entry-2')
    started = first.kernel.clock.now()
    lost_before = _count_lost_connections(first, 'entry-2')
    await cluster.wait_until(
        lambda: _count_lost_connections(first, 'entry-2') > lost_before
    )
    detected_after = first.kernel.clock.now() - started
    await cluster.wait_until(lambda: cluster.all_connected(2))
    assert detected_after <= silence + HEARTBEAT_MS
    outcomes: dict[str, Outcome] = {}
    for number in range(8):
        await _send(first, f'request-{number}', outcomes)
    assert {type(outcome) for outcome in outcomes.values()} == {Done}


async def test_peer_that_is_heard_on_its_own_connection_is_alive(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """It is not lost because it accepts connections too slowly."""
    first, _second = await cluster.start_all(2)
    peer = first.kernel.get(StreamPeer)
    cluster.network.overloaded.add('entry-2')
    connection = peer.links['entry-2'].connection
    assert connection
    await trio.aclose_forcefully(connection.stream)
    await trio.sleep(5)
    assert not peer.reachable()
    assert peer.alive() == {'entry-2'}
    cluster.kill('entry-2')
    await trio.sleep(1)
    assert not peer.alive()


async def test_ended_process_refuses_connections(
    cluster: RequestCluster,
) -> None:
    """The error tells an ended process from a host that does not answer."""
    first = await cluster.start('entry-1')
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        ended = entry_vm('entry-2', port=unused.getsockname()[1])
        with pytest.raises(ConnectionRefusedError):
            await StreamPeer.open_stream(first.kernel.get(StreamPeer), ended)


async def test_incoming_connection_outlasts_a_pause_of_its_peer(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A peer that is slow to send does not lose an entry VM that it hears."""
    await cluster.start('entry-1')
    silence = entry_settings()['peers']['silence']
    slow = await cluster.start('entry-2', peers={'heartbeat': silence + 500})
    await trio.sleep(20)
    assert slow.kernel.get(StreamPeer).reachable() == {'entry-1'}
    assert _count_lost_connections(slow, 'entry-1') == 0


async def test_large_frame_on_a_slow_connection(
    autojump_clock: MockClock,
) -> None:
    """A frame that takes longer than the time of silence arrives whole."""
    peer_settings = entry_settings()['peers']
    near, far = memory_stream_pair()
    clock = Clock(WALL_START)
    sender = Connection(near, clock, peer_settings, Metrics().load)
    receiver = Connection(far, clock, peer_settings, Metrics().load)

    near.send_stream.send_all_hook = partial(
        transfer_slowly,
        near.send_stream,
        far.receive_stream,
        SLOW_BYTES,
        peer_settings['silence'] / 5 / MS_PER_SECOND,
    )
    large = Notification(AnswerUnknown(Reason.deadline, 'x' * 20 * SLOW_BYTES))
    sender.enqueue(large)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.send_queued)
        assert await receiver.receive() == large
        nursery.cancel_scope.cancel()


async def test_cancelled_forward_frees_its_slot(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A forwarded request that its caller cancelled frees the owner's slot."""
    entries = await cluster.start_all(2, {'desk': 1})
    cluster.workers.run_ms['slow'] = 60_000
    async with trio.open_nursery() as nursery:
        for number in range(20):
            entry = entries[number % 2]
            nursery.start_soon(_send, entry, f'request-{number}', {})
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    await trio.sleep(1)
    queues = [entry.dispatcher.queue('desk') for entry in entries]
    assert [queue.busy.total() for queue in queues] == [0, 0]
    assert [queue.waiting.total() for queue in queues] == [0, 0]


async def _send(
    entry: RequestEntry,
    name: str,
    outcomes: dict[str, Outcome],
) -> None:
    kind = 'slow' if name.endswith(('1', '4', '7')) else 'fast'
    outcomes[name] = await entry.dispatcher.handle(
        request(
            name,
            kind=kind,
            body=name.encode(),
            deadline=entry.kernel.clock.now() + 30_000,
        ),
    )


def _count_lost_connections(entry: RequestEntry, peer: str) -> int:
    peers = entry.dispatcher.peer.dump()['peers']
    return int(peers[peer]['lost_connections'])


async def fail(entry_id: str, call: CountQuery) -> Payload:
    """Fail to answer a call, as no handler should."""
    raise RuntimeError('unexpected')


async def test_unexpected_error_ends_one_connection_only(
    job_cluster: JobCluster,
    autojump_clock: MockClock,
) -> None:
    """An error in the handler of one call ended the whole process."""
    first, second = await job_cluster.start_all(2)
    second.kernel.get(Peer).add_call_handler(CountQuery, fail)
    peer = first.kernel.get(Peer)
    reply = await peer.call('entry-2', CountQuery('desk', 'checks'), 1_000)
    assert isinstance(reply, NoReply)
    await job_cluster.wait_until(lambda: 'entry-2' in peer.reachable())
