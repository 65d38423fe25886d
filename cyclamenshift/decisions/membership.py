"""
cyclamenshift.decisions.membership
==================================

Determines the live entry VMs and which of them owns each worker.
"""

from collections.abc import Collection, Iterable, Mapping

import xxhash

from ..model import EntryVm, Vm


def live_members(
    registered: Mapping[str, EntryVm],
    reachable: Collection[str],
    own: EntryVm,
) -> list[EntryVm]:
    """Return this entry VM and the reachable registered ones, by id."""
    members = {
        entry_id: entry
        for entry_id, entry in registered.items()
        if entry_id in reachable
    }
    members[own.entry_id] = own
    return [members[entry_id] for entry_id in sorted(members)]


def owner_of(vm: Vm, members: Collection[EntryVm]) -> str:
    """
    Return the id of the entry VM that owns the worker on *vm*.

    An entry VM of another data centre owns it only if there is none in the
    worker's own.  With rendezvous hashing, a member that joins or leaves
    changes the owner of its own workers only.
    """
    local = [entry for entry in members if entry.data_centre == vm.data_centre]
    return max(
        (entry.entry_id for entry in local or members),
        key=lambda entry_id: _rendezvous_weight(entry_id, vm.vm_id),
    )


def slots_by_owner(
    vms: Iterable[Vm],
    owners: Mapping[str, str],
) -> dict[str, dict[str, int]]:
    """Return the number of owned slots by pool and entry VM id."""
    slots: dict[str, dict[str, int]] = {}
    for vm in vms:
        owned = slots.setdefault(vm.pool, {})
        owner = owners[vm.vm_id]
        owned[owner] = owned.get(owner, 0) + vm.slots
    return slots


def _rendezvous_weight(entry_id: str, vm_id: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry_id}|{vm_id}'.encode())
