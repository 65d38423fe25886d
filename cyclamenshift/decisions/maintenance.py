"""
cyclamenshift.decisions.maintenance
===================================

Selects the VMs to maintain next.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..directory import Maintenance
from ..provider import ProvidedVm, VmPhase


class MaintenanceStatus(NamedTuple):
    """
    The status of one maintenance.

    ``started`` are the VMs whose maintenance has started; ``down`` those
    that may be down for it now.
    """

    maintenance: Maintenance
    started: Collection[str]
    down: Collection[str]


def next_vms(
    status: MaintenanceStatus,
    vms: Mapping[str, ProvidedVm],
    run_counts: Mapping[str, int],
    busy: Collection[str],
) -> list[str]:
    """
    Return the VMs to maintain now, within the limit of the maintenance.

    The VMs with the fewest runs come first.  *busy* VMs have another order
    in progress and are left out.
    """
    capacity = status.maintenance.limit - len(status.down)
    remaining = [
        vm_id
        for vm_id in status.maintenance.vm_ids
        if vm_id in vms
        and vm_id not in status.started
        and vm_id not in busy
        and vms[vm_id].phase is VmPhase.up
    ]
    ranked = sorted((run_counts.get(vm_id, 0), vm_id) for vm_id in remaining)
    return [vm_id for _runs, vm_id in ranked[: max(0, capacity)]]


def is_complete(
    status: MaintenanceStatus,
    vms: Mapping[str, ProvidedVm],
) -> bool:
    """Return whether every VM that still exists was maintained and is up."""
    all_started = all(
        vm_id in status.started
        for vm_id in status.maintenance.vm_ids
        if vm_id in vms
    )
    return all_started and not status.down
