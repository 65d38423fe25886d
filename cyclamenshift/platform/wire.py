"""
cyclamenshift.platform.wire
===========================

What every part of the adapter needs to read the platform's messages.
"""

from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar

import msgspec

from ..http1 import Address
from ..job import Resources

#: The tables that the platform's own side writes, with JSON values.
OPERATOR_TABLE: Final = 'op'
WORKER_TABLE: Final = 'servers'
STATUS_TABLE: Final = 'status'

ShapeType = TypeVar('ShapeType')


class Unreadable(NamedTuple):
    """A value of another writer, or of no known shape; the reason."""

    reason: str


#: What a task asks for, or a worker has; zeros are left out.
RoomBody = TypedDict(
    'RoomBody',
    {
        'cpu': NotRequired[int],
        'memMb': NotRequired[int],
        'gpu': NotRequired[int],
    },
)


def convert(value: Any, shape: type[ShapeType]) -> ShapeType | Unreadable:
    """Return *value* as a *shape*, or why it is none."""
    try:
        return msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        return Unreadable(str(error))


def decode(raw: bytes, shape: type[ShapeType]) -> ShapeType | Unreadable:
    """Return the JSON in *raw* as a *shape*, or why it is none."""
    try:
        return msgspec.json.decode(raw, type=shape)
    except msgspec.MsgspecError as error:
        return Unreadable(str(error))


def address_of(text: str) -> Address:
    """Return the address in ``host:port``; raises ValueError for none."""
    host, _colon, port = text.rpartition(':')
    return Address(host, int(port))


def resources_of(body: RoomBody) -> Resources:
    """Return the resources in *body*."""
    return Resources(
        body.get('cpu', 0),
        body.get('memMb', 0),
        body.get('gpu', 0),
    )


def rack_of(labels: list[str]) -> str:
    """Return the rack: a worker's labels are its kind and its rack."""
    return labels[1] if len(labels) > 1 else ''
