"""
cyclamenshift.scheduling.order_window
=====================================

Bounds the start orders in flight from this entry VM.
"""

from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..component import Dump
from ..decisions.concurrency import ConcurrencyLimit
from .worker_session import WorkerSession

#: The share of the slots that is free before more runs are planned.  Planning
#: looks at all waiting tasks, so it is not repeated for each answer.
PLANNING_SHARE: Final = 0.25


class OrderWindow:
    """
    The start orders in flight, from planning a run to the answer.

    All schedulers of an entry VM share it, as they share a network link.  Each
    has the same part of the slots, so that one whose records or workers are
    slow does not keep the others from starting runs.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a window without orders in flight."""
        self.clock = clock
        self.limit = ConcurrencyLimit()
        self.in_flight: dict[str, int] = {}
        self.wakers: set[Callable[[], None]] = set()

    def open(self, service: str) -> None:
        """Give *service* a part of the slots."""
        self.in_flight[service] = 0

    def close(self, service: str) -> None:
        """Take the slots of *service* back."""
        self.in_flight.pop(service, None)

    def free(self, service: str) -> int:
        """Return how many more runs of *service* may be planned now."""
        return max(0, self._part() - self.in_flight.get(service, 0))

    def ready(self, service: str) -> bool:
        """Return whether enough slots are free for planning more runs."""
        return self.free(service) >= PLANNING_SHARE * self._part()

    def wake_when_ready(self, wake: Callable[[], None]) -> None:
        """Call *wake* once when enough orders have left the window."""
        self.wakers.add(wake)

    def enter(self, service: str) -> None:
        """Count an order that is planned."""
        self.in_flight[service] += 1

    def leave(self, service: str) -> None:
        """Count an order that was answered, given up or not sent."""
        if service not in self.in_flight:
            return
        self.in_flight[service] -= 1
        if not self.ready(service):
            return
        wakers = tuple(self.wakers)
        self.wakers.clear()
        for wake in wakers:
            wake()

    def record_answer(self, session: WorkerSession, sent_at: int) -> None:
        """Adapt the limit to an answered order."""
        now = self.clock.now()
        session.observe_round_trip(now - sent_at)
        self.limit.record(sent_at, now, session.fastest or 0)

    def record_timeout(self, sent_at: int) -> None:
        """Adapt the limit to an order without an answer."""
        self.limit.decrease(sent_at, self.clock.now())

    def dump(self) -> Dump:
        """Return how many orders are in flight by service, and the limit."""
        return {'in_flight': self.in_flight, 'limit': self.limit.current()}

    def _part(self) -> int:
        return self.limit.current() // max(1, len(self.in_flight))
