"""
tests.test_peers
================

Answers over peer streams: one's own, whole, and silence noticed.
"""

from itertools import chain

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.errors import ProtocolError
from cyclamenshift.forwarding import (
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    decode_outcome,
    encode_outcome,
)
from cyclamenshift.model import Done, NotRun, Outcome, Reason, Unknown
from cyclamenshift.peer import (
    PAYLOAD_TYPES,
    Call,
    CancelCall,
    Heartbeat,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Reply,
)
from cyclamenshift.peers.frames import TAGS, Decoder, encode

from .builders import request
from .examples import EXAMPLES
from .standins.fakes import RequestCluster, RequestEntry

#: The heartbeat of the default settings, ms.
HEARTBEAT_MS = 500

MESSAGES: tuple[Message, ...] = (
    Hello(1, 'entry-1', 'first'),
    Heartbeat(EXAMPLES),
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
def test_messages_survive_any_cut(size: int) -> None:
    """What goes out comes in, however the stream cuts it."""
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
def test_wrong_frames_are_refused(frame: bytes) -> None:
    """Bytes of no known shape raise the error with the remedy."""
    with pytest.raises(ProtocolError, match='version'):
        list(Decoder(1_000).feed(frame))


def test_frame_beyond_the_limit_is_refused() -> None:
    """A frame longer than the limit is never buffered whole."""
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
def test_outcomes_survive_the_answer(outcome: Outcome) -> None:
    """An outcome sent as an answer comes back the same."""
    body = encode_outcome(outcome)
    assert isinstance(body, AnswerDone | AnswerNotRun | AnswerUnknown)
    assert decode_outcome(body) == outcome


async def test_each_gets_its_own_answer(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Many forwards at once, answered out of order: none is mixed up."""
    entries = await cluster.start_all(3, {'desk': 2})
    cluster.workers.run_ms.update({'slow': 400, 'fast': 5})
    outcomes: dict[str, Outcome] = {}
    async with trio.open_nursery() as nursery:
        for number in range(90):
            entry = entries[number % 3]
            nursery.start_soon(_ask, entry, f'request-{number}', outcomes)
    assert outcomes == {
        name: Done(200, 'text/plain', name.encode()) for name in outcomes
    }
    assert len(outcomes) == 90


async def test_silent_connection_is_noticed(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """Open connections lose everything while new ones work."""
    first, second = await cluster.start_all(2)
    silence = second.kernel.settings['peers']['silence']
    cluster.network.silenced.add('entry-2')
    started = first.kernel.clock.now()
    lost = _lost(first, 'entry-2')
    await cluster.wait_until(lambda: _lost(first, 'entry-2') > lost)
    noticed = first.kernel.clock.now() - started
    await cluster.wait_until(lambda: cluster.all_connected(2))
    assert noticed <= silence + HEARTBEAT_MS
    outcomes: dict[str, Outcome] = {}
    for number in range(8):
        await _ask(first, f'request-{number}', outcomes)
    assert {type(outcome) for outcome in outcomes.values()} == {Done}


async def test_caller_that_left_gives_its_slot_back(
    cluster: RequestCluster,
    autojump_clock: MockClock,
) -> None:
    """A forwarded request whose caller left frees the owner's slot."""
    entries = await cluster.start_all(2, {'desk': 1})
    cluster.workers.run_ms['slow'] = 60_000
    async with trio.open_nursery() as nursery:
        for number in range(20):
            entry = entries[number % 2]
            nursery.start_soon(_ask, entry, f'request-{number}', {})
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    await trio.sleep(1)
    queues = [entry.dispatcher.queue('desk') for entry in entries]
    assert [queue.busy.total() for queue in queues] == [0, 0]
    assert [queue.waiting.total() for queue in queues] == [0, 0]


async def _ask(
    entry: RequestEntry,
    name: str,
    outcomes: dict[str, Outcome],
) -> None:
    work = 'slow' if name.endswith(('1', '4', '7')) else 'fast'
    outcomes[name] = await entry.dispatcher.handle(
        request(
            name,
            kind=work,
            body=name.encode(),
            deadline=entry.kernel.clock.now() + 30_000,
        ),
    )


def _lost(entry: RequestEntry, peer: str) -> int:
    peers = entry.dispatcher.peer.dump()['peers']
    return int(peers[peer]['lost_connections'])
