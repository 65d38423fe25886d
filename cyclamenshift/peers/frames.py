"""
cyclamenshift.peers.frames
==========================

The encoding of peer messages: length-bounded frames of msgpack arrays.

A frame is a msgpack array: the tag of the message, then its fields.  A
payload within a message is an array too, tagged with its class name.
"""

from collections.abc import Iterator
from functools import singledispatch
from typing import Any, Final, cast

import msgpack
import msgspec

from ..errors import ProtocolError
from ..peer import (
    PAYLOAD_TYPES,
    Call,
    CancelCall,
    Heartbeat,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Payload,
    Reply,
)

#: The tag of each type of message; a number once given stays.
TAGS: Final[dict[type[Message], int]] = {
    Hello: 1,
    Heartbeat: 2,
    Call: 3,
    Reply: 4,
    Notification: 5,
    CancelCall: 7,
    Leaving: 8,
    LeavingAck: 9,
}

_TYPES: Final = {tag: shape for shape, tag in TAGS.items()}


def encode(message: Message) -> bytes:
    """Return the frame of *message*."""
    frame = msgpack.packb((TAGS[type(message)], *_fields(message)))
    return cast(bytes, frame)


class Decoder:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self, frame_limit: int) -> None:
        """Refuse frames of more than *frame_limit* bytes."""
        self.frame_limit = frame_limit
        self.unpacker = msgpack.Unpacker(max_buffer_size=2 * frame_limit)
        self.fed = 0

    def feed(self, received: bytes | bytearray) -> Iterator[Message]:
        """
        Yield the messages that *received* completes.

        Raises ProtocolError for a frame too long or of no known shape.
        """
        for start in range(0, len(received), self.frame_limit):
            piece = received[start : start + self.frame_limit]
            self.fed += len(piece)
            self.unpacker.feed(piece)
            try:
                for frame in self.unpacker:
                    yield _decode(frame)
            except (msgpack.UnpackException, ValueError) as broken:
                raise _unknown(broken) from broken
            self._check_rest()

    def _check_rest(self) -> None:
        """Refuse an unfinished frame that is already too long."""
        if self.fed - self.unpacker.tell() > self.frame_limit:
            raise ProtocolError(
                'A peer sent a frame that is too long.',
                'Set the same peers.frame_limit at every entry VM.',
            )


@singledispatch
def _fields(message: Message) -> tuple[Any, ...]:
    return tuple(message)


@_fields.register(Call)
@_fields.register(Reply)
def _numbered_fields(message: Call | Reply) -> tuple[Any, ...]:
    return (message.number, _pack(message.payload))


@_fields.register
def _notification_fields(message: Notification) -> tuple[Any, ...]:
    return (_pack(message.payload),)


@_fields.register
def _heartbeat_fields(message: Heartbeat) -> tuple[Any, ...]:
    return (tuple(map(_pack, message.updates)),)


def _pack(payload: Payload) -> tuple[Any, ...]:
    return (type(payload).__name__, *payload)


def _decode(frame: Any) -> Message:
    try:
        tag, *fields = frame
        return cast(Message, _build(_TYPES[tag], fields))
    except (TypeError, ValueError, KeyError) as error:
        raise _unknown(error) from error


def _build(shape: type[Message], fields: list[Any]) -> Any:
    if shape is Heartbeat:
        return Heartbeat(tuple(map(_unpack, *fields)))
    if shape in {Call, Reply, Notification}:
        *number, packed = fields
        numbered = msgspec.convert(number, list[int])
        return cast(Any, shape)(*numbered, _unpack(packed))
    return msgspec.convert(tuple(fields), shape)


def _unpack(packed: Any) -> Payload:
    name, *fields = packed
    return msgspec.convert(tuple(fields), PAYLOAD_TYPES[name])


def _unknown(error: Exception) -> ProtocolError:
    return ProtocolError(
        f'A peer sent a message of no known shape: {error!r}.',
        'Run the same version at every entry VM.',
    )
