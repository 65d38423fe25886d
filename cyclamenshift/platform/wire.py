"""
cyclamenshift.platform.wire
===========================

Tables, JSON objects and decoders that several modules of the adapter use.
"""

from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar

import msgspec

from ..http1 import Address
from ..job import Resources

#: The tables shared with the platform's own programs; their values are JSON.
OPERATOR_TABLE: Final = 'op'
WORKER_TABLE: Final = 'servers'
STATUS_TABLE: Final = 'status'

TargetType = TypeVar('TargetType')


class Unreadable(NamedTuple):
    """A value that can't be decoded or is invalid; ``reason`` says why."""

    reason: str


#: The resources that a task requests or a worker has; zeros are omitted.
ResourcesBody = TypedDict(
    'ResourcesBody',
    {
        'cpu': NotRequired[int],
        'memMb': NotRequired[int],
        'gpu': NotRequired[int],
    },
)


def convert(
    value: Any, target_type: type[TargetType]
) -> TargetType | Unreadable:
    """Convert the decoded *value* to *target_type*."""
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        return Unreadable(str(error))


def decode_json(
    raw: bytes, target_type: type[TargetType]
) -> TargetType | Unreadable:
    """Decode the JSON in *raw* to *target_type*."""
    try:
        return msgspec.json.decode(raw, type=target_type)
    except msgspec.MsgspecError as error:
        return Unreadable(str(error))


def parse_address(text: str) -> Address:
    """Parse ``host:port``; raises ValueError if *text* is no address."""
    host, _colon, port = text.rpartition(':')
    return Address(host, int(port))


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
