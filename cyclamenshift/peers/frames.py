"""
cyclamenshift.peers.frames
==========================

The encoding of peer messages as msgpack arrays of limited size.

A frame is a msgpack array of the message tag and the message fields.  A
payload in a message is an array of its class name and its fields.
"""

from collections.abc import Iterator
from functools import singledispatch
from typing import Any, Final, cast

import msgpack
import msgspec

from ..compatibility import trim_defaults
from ..errors import ProtocolError
from ..peer import (
    PAYLOAD_TYPES,
    Call,
    CancelCall,
    Heartbeat,
    HeartbeatRequest,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Payload,
    Reply,
)

#: The tag of each message type.  Tags are never changed or reused.
TAGS: Final[dict[type[Message], int]] = {
    Hello: 1,
    Heartbeat: 2,
    Call: 3,
    Reply: 4,
    Notification: 5,
    CancelCall: 7,
    Leaving: 8,
    LeavingAck: 9,
    HeartbeatRequest: 10,
}

#: The exceptions raised for a frame that is no valid message.
MESSAGE_ERRORS: Final = (TypeError, ValueError, KeyError, RecursionError)

_TYPES: Final = {tag: message_type for message_type, tag in TAGS.items()}


def encode(message: Message) -> bytes:
    """Return *message* encoded as a frame."""
    frame = msgpack.packb((TAGS[type(message)], *_fields(message)))
    return cast(bytes, frame)


class Decoder:
    """An incremental decoder of the received bytes."""

    def __init__(self, frame_limit: int) -> None:
        """Reject frames of more than *frame_limit* bytes."""
        self.frame_limit = frame_limit
        self.unpacker = msgpack.Unpacker(max_buffer_size=2 * frame_limit)
        self.bytes_fed = 0
        self.frame_bytes = 0
        self.frame_start = 0

    def feed(self, received: bytes | bytearray) -> Iterator[Message]:
        """
        Yield the messages that *received* completes.

        Meanwhile ``frame_bytes`` is the size of the latest one.

        Raises ProtocolError for a frame that is too long or invalid.
        """
        for start in range(0, len(received), self.frame_limit):
            chunk = received[start : start + self.frame_limit]
            self.bytes_fed += len(chunk)
            self.unpacker.feed(chunk)
            try:
                for frame in self._frames():
                    yield _decode(frame)
            except (msgpack.UnpackException, ValueError) as error:
                raise _malformed_message(error) from error
            self._check_buffered()

    def _frames(self) -> Iterator[Any]:
        for frame in self.unpacker:
            end = self.unpacker.tell()
            self.frame_bytes = end - self.frame_start
            self.frame_start = end
            yield frame

    def _check_buffered(self) -> None:
        """Reject an incomplete frame that is already too long."""
        if self.bytes_fed - self.unpacker.tell() > self.frame_limit:
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
    fields = map(_trim_nested, trim_defaults(payload))
    return (type(payload).__name__, *fields)


def _trim_nested(field: Any) -> Any:
    return trim_defaults(field) if isinstance(field, tuple) else field


def _decode(frame: Any) -> Message:
    try:
        tag, *fields = frame
        return cast(Message, _build(_TYPES[tag], fields))
    except MESSAGE_ERRORS as error:
        raise _malformed_message(error) from error


def _build(message_type: type[Message], fields: list[Any]) -> Any:
    if message_type is Heartbeat:
        return Heartbeat(tuple(map(_unpack, *fields)))
    if message_type in {Call, Reply, Notification}:
        *number, packed = fields
        numbered = msgspec.convert(number, list[int])
        return cast(Any, message_type)(*numbered, _unpack(packed))
    return msgspec.convert(tuple(fields), message_type)


def _unpack(packed: Any) -> Payload:
    name, *fields = packed
    return msgspec.convert(tuple(fields), PAYLOAD_TYPES[name])


def _malformed_message(error: Exception) -> ProtocolError:
    return ProtocolError(
        f'A peer sent an invalid message: {error!r}.',
        'Run the same version at every entry VM.',
    )
