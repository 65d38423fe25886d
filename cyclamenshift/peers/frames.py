"""
cyclamenshift.peers.frames
==========================

The encoding of peer messages: length-bounded frames of msgpack arrays.

A frame is a msgpack array: the tag of the message, then its fields.
"""

from collections.abc import Iterator
from typing import Any, cast

import msgpack
import msgspec

from ..errors import ProtocolError
from ..peer import (
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    Forward,
    Greeting,
    Heartbeat,
    Leaving,
    LeavingSeen,
    Message,
    Withdraw,
)

#: The tag of each type of message; a number once given stays.
TAGS: dict[type[Message], int] = {
    Greeting: 1,
    Heartbeat: 2,
    Forward: 3,
    AnswerDone: 4,
    AnswerNotRun: 5,
    AnswerUnknown: 6,
    Withdraw: 7,
    Leaving: 8,
    LeavingSeen: 9,
}

_TYPES = {tag: shape for shape, tag in TAGS.items()}


def encode(message: Message) -> bytes:
    """Return the frame of *message*."""
    frame = msgpack.packb((TAGS[type(message)], *message))
    return cast(bytes, frame)


class Decoder:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self, frame_limit: int) -> None:
        """Refuse frames of more than *frame_limit* bytes."""
        self.unpacker = msgpack.Unpacker(max_buffer_size=frame_limit)

    def feed(self, received: bytes | bytearray) -> Iterator[Message]:
        """
        Yield the messages that *received* completes.

        Raises ProtocolError for a frame too long or of no known shape.
        """
        try:
            self.unpacker.feed(received)
        except msgpack.BufferFull as error:
            raise ProtocolError(
                'A peer sent a frame that is too long.',
                'Set the same peers.frame_limit at every entry VM.',
            ) from error
        try:
            for frame in self.unpacker:
                yield _decode(frame)
        except (msgpack.UnpackException, ValueError) as broken:
            raise _unknown(broken) from broken


def _decode(frame: Any) -> Message:
    try:
        tag, *fields = frame
        return msgspec.convert(tuple(fields), _TYPES[tag])
    except (TypeError, ValueError, KeyError) as error:
        raise _unknown(error) from error


def _unknown(error: Exception) -> ProtocolError:
    return ProtocolError(
        f'A peer sent a message of no known shape: {error!r}.',
        'Run the same version at every entry VM.',
    )
