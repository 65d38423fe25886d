"""
cyclamenshift.fleetmessages
===========================

The peer messages between the schedulers and the fleet manager.
"""

from typing import Final, NamedTuple

from .job import NO_RESOURCES, Resources
from .peer import register_payload

#: How long a VM that was found empty stays reserved for an order, ms, unless
#: it is asked for again.
RESERVATION_MS: Final = 3_000


class VmLoad(NamedTuple):
    """
    The load of one VM of a pool.

    ``runs`` counts all runs; ``long_runs`` counts those of long-running
    tasks, which last until they are moved.
    """

    vm_id: str
    used: Resources
    runs: int
    long_runs: int


@register_payload
class PoolReport(NamedTuple):
    """
    The load and demand of a service's pool.

    ``waiting`` is the total of the resources that the waiting tasks request.
    ``expected`` is what all tasks will use if jobs keep arriving at the
    current rate.
    ``spread`` is the number of VMs that the tasks need because only a few
    of them may share a worker.  ``deferred`` is the part of ``waiting`` of jobs
    that can't be in time any more; earlier builds lack it.
    """

    service: str
    epoch: int
    vms: tuple[VmLoad, ...]
    waiting: Resources
    expected: Resources
    spread: int = 0
    deferred: Resources = NO_RESOURCES


@register_payload
class Vacate(NamedTuple):
    """
    Asks a scheduler to empty a VM within ``wait`` ms and keep it empty.

    With 0 ms nothing is stopped; an empty VM is reserved further.
    """

    service: str
    vm_id: str
    wait: int


@register_payload
class Vacated(NamedTuple):
    """Whether the VM is empty, and is to stay so for ``RESERVATION_MS``."""

    empty: bool
