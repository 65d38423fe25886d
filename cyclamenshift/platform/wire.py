"""
cyclamenshift.platform.wire
===========================

Tables, JSON objects and decoders that several modules of the adapter use.
"""

import ipaddress
from typing import (
    Annotated,
    Any,
    Final,
    NamedTuple,
    NotRequired,
    TypeAlias,
    TypedDict,
    TypeVar,
)

import msgspec
from msgspec import Meta

from ..decoding import DECODING_ERRORS
from ..http1 import Address
from ..job import Resources

#: The tables shared with the platform's own programs; their values are JSON.
OPERATOR_TABLE: Final = 'op'
WORKER_TABLE: Final = 'servers'
STATUS_TABLE: Final = 'status'

#: The end of the range of integers that all readers of JSON agree on, which
#: rows and frames can hold as well.
MAX_INTEGER: Final = 9_007_199_254_740_991
#: A count, a number of resources or a time.
Amount: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
#: The end of the range of TCP ports.
PORTS_END: Final = 65_536

TargetType = TypeVar('TargetType')

#: The decoders of the types that were decoded before; the program has few.
DECODERS: Final[dict[type, msgspec.json.Decoder[Any]]] = {}


class Unreadable(NamedTuple):
    """A value that can't be decoded or is invalid; ``reason`` says why."""

    reason: str


class ConflictBody(TypedDict):
    """The response to an order that was refused with a reason."""

    reason: str


#: The resources that a task requests or a worker has; zeros are omitted.
ResourcesBody = TypedDict(
    'ResourcesBody',
    {
        'cpu': NotRequired[Amount],
        'memMb': NotRequired[Amount],
        'gpu': NotRequired[Amount],
    },
)


def convert(
    value: Any, target_type: type[TargetType]
) -> TargetType | Unreadable:
    """Convert the decoded *value* to *target_type*."""
    try:
        return msgspec.convert(value, target_type)
    except DECODING_ERRORS as error:
        return Unreadable(str(error))


def decode_json(
    raw: bytes, target_type: type[TargetType]
) -> TargetType | Unreadable:
    """Decode the JSON in *raw* to *target_type*."""
    decoder = DECODERS.get(target_type)
    if decoder is None:
        # Without a decoder of its own, a type is analysed with each call.
        decoder = msgspec.json.Decoder(target_type)
        DECODERS[target_type] = decoder
    try:
        decoded: TargetType = decoder.decode(raw)
    except DECODING_ERRORS as error:
        return Unreadable(str(error))
    return decoded


def parse_address(text: str) -> Address:
    """
    Parse the IP address and the port in ``host:port``.

    Raises ValueError if *text* is no address to connect to.
    """
    host, _colon, port = text.rpartition(':')
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f'no port: {port}')
    number = int(port)
    if not 0 < number < PORTS_END:
        raise ValueError(f'port out of range: {port}')
    return Address(host, number)


def decode_resources(body: ResourcesBody) -> Resources:
    """Return the resources in *body*; those omitted are 0."""
    return Resources(
        body.get('cpu', 0),
        body.get('memMb', 0),
        body.get('gpu', 0),
    )


def rack_from_labels(labels: list[str]) -> str:
    """
    Return the rack of a worker, empty if unknown.

    The labels of a worker are its kind and its rack, in this order.
    """
    return labels[1] if len(labels) > 1 else ''
