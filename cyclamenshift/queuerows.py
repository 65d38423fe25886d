"""
cyclamenshift.queuerows
=======================

The rows that tell which services the queues have had, and their keys.
"""

import hashlib
from typing import Final, NamedTuple, NotRequired, TypedDict

from .rows import decode_row
from .store import Key, Row

#: The services that each queue had; written by every entry VM.
QUEUE_TABLE: Final = 'queue'
#: The longest name of a queue that is a key, bytes; the store takes 200.
MAX_NAME_SIZE: Final = 200


class QueueRules(NamedTuple):
    """
    What a queue allows its jobs, as configured in ``version``.

    The other fields are those of a ``Queue``.
    """

    version: int
    priority: int
    attempts: int
    stretch: float
    allowance: int


class QueueRow(TypedDict):
    """
    ``queue/NAME``: the services that a queue had, the first one first.

    The jobs of the queue are at one of them.  ``rules`` are the latest ones,
    under which they go on once the queue is removed.
    """

    services: list[str]
    rules: NotRequired[QueueRules]


class JobReference(TypedDict):
    """
    ``job/SERVICE/ID``: another service keeps the job with this id.

    It stands at the first service of the job's queue, so that two entry VMs
    with different configurations can't both accept the job.
    """

    service: str


def queue_key(name: str) -> Key:
    """Return the key of the row of a queue; that of a long name is a digest."""
    encoded = name.encode()
    if len(encoded) > MAX_NAME_SIZE:
        return Key(QUEUE_TABLE, hashlib.sha256(encoded).hexdigest())
    return Key(QUEUE_TABLE, name)


def is_reference(row: Row) -> bool:
    """Return whether a row of the job table only refers to a service."""
    return 'service' in row.fields


def referenced_service(row: Row) -> str:
    """Return the service that the job of a reference is stored at."""
    return decode_row(row, JobReference)['service']
