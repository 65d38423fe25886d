"""
cyclamenshift.decisions.maintenance
===================================

Which VMs go down for their maintenance next.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..directory import Maintenance
from ..provider import ProvidedVm, VmPhase


class MaintenanceStatus(NamedTuple):
    """
    How one maintenance stands.

    ``done`` are the VMs that have begun theirs; ``down`` those that may be
    down for it now.
    """

    maintenance: Maintenance
    done: Collection[str]
    down: Collection[str]


def next_vms(
    status: MaintenanceStatus,
    vms: Mapping[str, ProvidedVm],
    loads: Mapping[str, int],
    busy: Collection[str],
) -> list[str]:
    """
    Return the VMs to maintain now, within the limit.

    VMs that run nothing come first, then those that run least; *busy* ones
    are in an order already.
    """
    free = status.maintenance.limit - len(status.down)
    left = [
        vm_id
        for vm_id in status.maintenance.vm_ids
        if vm_id in vms
        and vm_id not in status.done
        and vm_id not in busy
        and vms[vm_id].phase is VmPhase.up
    ]
    order = sorted((loads.get(vm_id, 0), vm_id) for vm_id in left)
    return [vm_id for _runs, vm_id in order[: max(0, free)]]


def is_complete(
    status: MaintenanceStatus,
    vms: Mapping[str, ProvidedVm],
) -> bool:
    """Return whether every VM that is still there has begun, and is back."""
    begun = all(
        vm_id in status.done
        for vm_id in status.maintenance.vm_ids
        if vm_id in vms
    )
    return begun and not status.down
