"""
cyclamenshift.platform.registrations
====================================

What workers register of themselves.
"""

from typing import Final, TypedDict

from ..worker import Worker
from .wire import (
    ResourcesBody,
    Unreadable,
    decode_resources,
    parse_address,
    rack_from_labels,
)

#: The state of a worker that is about to end.
LEAVING: Final = 'draining'
STATES: Final = frozenset(('ready', LEAVING))

#: A registration.
WorkerBody = TypedDict(
    'WorkerBody',
    {
        'service': str,
        'address': str,
        'zone': str,
        'state': str,
        'born': int,
        'capacity': ResourcesBody,
        # The kind, then the rack.
        'labels': list[str],
        'machine': str,
    },
)


def worker_of(worker_id: str, body: WorkerBody) -> Worker | Unreadable:
    """Return a registered worker; Unreadable for a state of no known name."""
    if body['state'] not in STATES:
        return Unreadable(f'no such state: {body["state"]}')
    try:
        address = parse_address(body['address'])
    except ValueError:
        return Unreadable(f'no such address: {body["address"]}')
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
        leaving=body['state'] == LEAVING,
    )
