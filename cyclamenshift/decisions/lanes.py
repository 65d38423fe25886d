"""
cyclamenshift.decisions.lanes
=============================

The request queue of one pool: lanes for short and long work, and slots.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..model import Load, Vm
from .health import Health

#: In each failure domain, one slot in this many is reserved for short work.
RESERVE_DIVISOR = 8


class Ticket:
    """A queued request; it is cancelled in O(1) and removed lazily."""

    def __init__(self, service: str, deadline: int, *, long: bool) -> None:
        """Create a ticket for the long or the short lane."""
        self.service = service
        self.deadline = deadline
        self.long = long
        self.worker = ''
        self.cancelled = False


class Grant(NamedTuple):
    """A slot of a worker that was granted to a ticket."""

    ticket: Ticket
    worker: Vm


class PoolQueue:
    """The queued tickets and the owned workers of one pool."""

    def __init__(self, pool: str) -> None:
        """Start without workers or tickets."""
        self.pool = pool
        self.workers: dict[str, Vm] = {}
        self.busy: Counter[str] = Counter()
        self.long_busy: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.health = Health()
        self._lanes: dict[bool, list[tuple[int, int, Ticket]]] = {
            False: [],
            True: [],
        }
        self._sequence = 0

    def replace_workers(self, workers: Mapping[str, Vm]) -> None:
        """Replace the owned workers; requests in flight stay counted."""
        self.workers = dict(workers)
        self.health.retain_workers(self.workers)

    def enqueue(self, ticket: Ticket) -> None:
        """Queue *ticket* in its lane, earliest deadline first."""
        self._sequence += 1
        entry = (ticket.deadline, self._sequence, ticket)
        heapq.heappush(self._lanes[ticket.long], entry)
        self.waiting[ticket.service] += 1

    def cancel(self, ticket: Ticket) -> None:
        """Cancel *ticket* unless it has a slot."""
        if not ticket.cancelled and not ticket.worker:
            ticket.cancelled = True
            self.waiting[ticket.service] -= 1

    def release(self, ticket: Ticket) -> None:
        """Release the slot of *ticket*."""
        self.busy[ticket.worker] -= 1
        if ticket.long:
            self.long_busy[ticket.worker] -= 1

    def grant(self, now: int) -> list[Grant]:
        """Grant free slots to queued tickets, short work first."""
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
            ticket = lane[0][2]
            worker = None
            if not ticket.cancelled:
                worker = self._pick(now, long=long)
                if worker is None:
                    return
            heapq.heappop(lane)
            if worker is not None:
                yield self._assign(ticket, worker)

    def _assign(self, ticket: Ticket, worker: Vm) -> Grant:
        ticket.worker = worker.vm_id
        self.waiting[ticket.service] -= 1
        self.busy[worker.vm_id] += 1
        if ticket.long:
            self.long_busy[worker.vm_id] += 1
        return Grant(ticket, worker)

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
        domain = [
            other for other in self.workers.values() if other.rack == vm.rack
        ]
        slots = sum(other.slots for other in domain)
        long_taken = sum(self.long_busy[other.vm_id] for other in domain)
        return long_taken < slots - max(1, slots // RESERVE_DIVISOR)
