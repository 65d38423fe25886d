"""
cyclamenshift.decisions.vm_changes
==================================

Keeps track of the moves and the maintenance of VMs.
"""

from collections.abc import Iterable
from typing import Final

from ..provider import ProvidedVm, VmPhase

#: How long a VM gets no new order after it could not be vacated or refused
#: one, ms.  Longer than the interval between two listings of the VMs, so
#: that the next order is based on a newer state.
FAILURE_BACKOFF_MS: Final = 1_000


class VmChanges:
    """
    The changes of VMs in progress, and those that ended recently.

    ``busy`` maps each VM with a change in progress to its target pool,
    ``down`` each VM being taken down for maintenance to the time of its
    order, ``moved`` each VM to the time when its move was accepted,
    and ``backoff_until`` each VM whose last change failed to the end of its
    backoff.  All times are monotonic, in ms.  ``impossible`` holds the moves
    that the provider refused as impossible.
    """

    def __init__(self) -> None:
        """Start without a change."""
        self.busy: dict[str, str] = {}
        self.down: dict[str, int] = {}
        self.moved: dict[str, int] = {}
        self.backoff_until: dict[str, int] = {}
        self.impossible: set[tuple[str, str]] = set()

    def begin(self, vm_id: str, pool: str) -> None:
        """Reserve a VM for a change that leaves it in *pool*."""
        self.busy[vm_id] = pool

    def end(self, vm_id: str) -> None:
        """Release a VM after its order was accepted."""
        self.busy.pop(vm_id, None)

    def fail(self, vm_id: str, now: int, unsettled_until: int) -> None:
        """
        Release a VM that gets its next change after a while.

        While its order may still be carried out, it counts as down.
        """
        self.busy.pop(vm_id, None)
        was_down = self.down.pop(vm_id, None) is not None
        if was_down and unsettled_until > now:
            self.down[vm_id] = unsettled_until
        self.backoff_until[vm_id] = max(
            now + FAILURE_BACKOFF_MS, unsettled_until
        )

    def unavailable(self, now: int) -> set[str]:
        """Return the VMs that no change may be started for."""
        backing_off = {
            vm_id for vm_id, until in self.backoff_until.items() if until > now
        }
        return backing_off.union(self.busy, self.down)

    def update(
        self,
        known: dict[str, ProvidedVm],
        listed: Iterable[ProvidedVm],
        sent_at: int,
    ) -> dict[str, ProvidedVm]:
        """
        Return the VMs as listed by a call that was sent at *sent_at*.

        Those moved since then are returned as *known*; maintenance has ended
        where the VM is up or gone.
        """
        vms = {
            vm.vm_id: known.get(vm.vm_id, vm)
            if self.moved.get(vm.vm_id, sent_at - 1) >= sent_at
            else vm
            for vm in listed
        }
        for vm_id, ordered_at in tuple(self.down.items()):
            vm = vms.get(vm_id)
            is_back = vm is None or vm.phase is VmPhase.up
            if is_back and sent_at > ordered_at and vm_id not in self.busy:
                self.down.pop(vm_id)
        return vms
