"""
cyclamenshift.decisions.pool_queue
==================================

The request queue of one pool: lanes for short and long requests, and slots.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..model import Load, Vm
from .health import Health

#: In each failure domain, one slot in this many is reserved for short
#: requests.
RESERVE_DIVISOR = 8


class SlotRequest:
    """A request for a slot; cancelled in O(1), removed from its lane lazily."""

    def __init__(self, service: str, deadline: int, *, long: bool) -> None:
        """Create a slot request for the long or the short lane."""
        self.service = service
        self.deadline = deadline
        self.long = long
        self.worker = ''
        self.cancelled = False


class Grant(NamedTuple):
    """A slot of a worker that was granted to a slot request."""

    slot_request: SlotRequest
    worker: Vm


class PoolQueue:
    """The queued slot requests and the owned workers of one pool."""

    def __init__(self, pool: str) -> None:
        """Start without workers or slot requests."""
        self.pool = pool
        self.workers: dict[str, Vm] = {}
        self.busy: Counter[str] = Counter()
        self.long_busy: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.health = Health()
        self._lanes: dict[bool, list[tuple[int, int, SlotRequest]]] = {
            False: [],
            True: [],
        }
        self._sequence = 0

    def replace_workers(self, workers: Mapping[str, Vm]) -> None:
        """Replace the owned workers; requests in flight stay counted."""
        self.workers = dict(workers)
        self.health.retain_workers(self.workers)

    def enqueue(self, slot_request: SlotRequest) -> None:
        """Queue *slot_request* in its lane, earliest deadline first."""
        self._sequence += 1
        entry = (slot_request.deadline, self._sequence, slot_request)
        heapq.heappush(self._lanes[slot_request.long], entry)
        self.waiting[slot_request.service] += 1

    def cancel(self, slot_request: SlotRequest) -> None:
        """Cancel *slot_request* unless it has a slot."""
        if not slot_request.cancelled and not slot_request.worker:
            slot_request.cancelled = True
            self.waiting[slot_request.service] -= 1

    def release(self, slot_request: SlotRequest) -> None:
        """Release the slot of *slot_request*."""
        self.busy[slot_request.worker] -= 1
        if slot_request.long:
            self.long_busy[slot_request.worker] -= 1

    def grant(self, now: int) -> list[Grant]:
        """Grant free slots to queued requests, short ones first."""
        grants: list[Grant] = []
        for long in (False, True):
            grants.extend(self._grant_lane(long=long, now=now))
        return grants

    def load(self, now: int) -> Load:
        """Return the load of the owned workers."""
        usable = self._usable(now)
        return Load(
            pool=self.pool,
            slots=sum(vm.slots for vm in usable),
            free=sum(self._free(vm) for vm in usable),
            queued=self.waiting.total(),
        )

    def _grant_lane(self, *, long: bool, now: int) -> Iterable[Grant]:
        lane = self._lanes[long]
        while lane:
            slot_request = lane[0][2]
            worker = None
            if not slot_request.cancelled:
                worker = self._pick(now, long=long)
                if worker is None:
                    return
            heapq.heappop(lane)
            if worker is not None:
                yield self._assign(slot_request, worker)

    def _assign(self, slot_request: SlotRequest, worker: Vm) -> Grant:
        slot_request.worker = worker.vm_id
        self.waiting[slot_request.service] -= 1
        self.busy[worker.vm_id] += 1
        if slot_request.long:
            self.long_busy[worker.vm_id] += 1
        return Grant(slot_request, worker)

    def _pick(self, now: int, *, long: bool) -> Vm | None:
        free = [vm for vm in self._usable(now) if self._free(vm) > 0]
        if long:
            free = [vm for vm in free if self._fits_long(vm)]
        if not free:
            return None
        return max(free, key=lambda vm: (self._free(vm), vm.vm_id))

    def _usable(self, now: int) -> list[Vm]:
        return [
            vm
            for vm_id, vm in self.workers.items()
            if self.health.usable(vm_id, now, self.busy[vm_id])
        ]

    def _free(self, vm: Vm) -> int:
        return max(0, vm.slots - self.busy[vm.vm_id])

    def _fits_long(self, vm: Vm) -> bool:
        same_rack = [
            other for other in self.workers.values() if other.rack == vm.rack
        ]
        slots = sum(other.slots for other in same_rack)
        long_taken = sum(self.long_busy[other.vm_id] for other in same_rack)
        return long_taken < slots - max(1, slots // RESERVE_DIVISOR)
