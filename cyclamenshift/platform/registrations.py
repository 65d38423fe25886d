"""
cyclamenshift.platform.registrations
====================================

Decodes the registrations of workers.
"""

import re
from typing import Final, TypedDict

from ..worker import Worker
from .wire import (
    Amount,
    ResourcesBody,
    Unreadable,
    decode_resources,
    parse_address,
    rack_from_labels,
)

#: The state of a worker that is shutting down.
LEAVING_STATE: Final = 'draining'
#: An id, which each order names in a header.
WORKER_ID_PATTERN: Final = re.compile('[!-~]+')
#: The valid states.
KNOWN_STATES: Final = frozenset(('ready', LEAVING_STATE))

#: The registration of a worker.
WorkerBody = TypedDict(
    'WorkerBody',
    {
        'service': str,
        'address': str,
        'zone': str,
        'state': str,
        'born': Amount,
        'capacity': ResourcesBody,
        # The kind and the rack, in this order.
        'labels': list[str],
        'machine': str,
    },
)


def decode_worker(worker_id: str, body: WorkerBody) -> Worker | Unreadable:
    """Return the worker; Unreadable if its id, state or address is invalid."""
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        return Unreadable('the id is no value of a header')
    if body['state'] not in KNOWN_STATES:
        return Unreadable(f'unknown state: {body["state"]}')
    try:
        address = parse_address(body['address'])
    except ValueError:
        return Unreadable(f'invalid address: {body["address"]}')
    return Worker(
        worker_id=worker_id,
        service=body['service'],
        address=address,
        vm_id=body['machine'],
        data_centre=body['zone'],
        rack=rack_from_labels(body['labels']),
        labels=frozenset(body['labels']),
        resources=decode_resources(body['capacity']),
        started_at=body['born'],
        leaving=body['state'] == LEAVING_STATE,
    )
