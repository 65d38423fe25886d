"""
cyclamenshift.fleetmessages
===========================

The bodies between the schedulers of services and the manager of the fleet.
"""

from typing import NamedTuple

from .job import Resources
from .peer import register_payload


class VmLoad(NamedTuple):
    """
    What runs on one VM of a pool.

    ``runs`` counts everything; ``long_runs`` what lasts until it is moved.
    """

    vm_id: str
    used: Resources
    runs: int
    long_runs: int


@register_payload
class PoolReport(NamedTuple):
    """
    What a service's pool does.

    ``waiting`` is what its waiting tasks ask for, ``expected`` what its
    tasks will take if jobs go on coming as they do now; ``spread`` is how
    many VMs they want because few of them may share a worker.
    """

    service: str
    epoch: int
    vms: tuple[VmLoad, ...]
    waiting: Resources
    expected: Resources
    spread: int = 0


@register_payload
class Vacate(NamedTuple):
    """Let a VM become empty, within ``wait`` ms, and start nothing on it."""

    service: str
    vm_id: str
    wait: int


@register_payload
class Vacated(NamedTuple):
    """Whether the VM is empty now; if so it stays so for a while."""

    empty: bool
