"""
cyclamenshift.decisions.open_orders
===================================

The start orders of this scheduler that have no answer.

Such an order may be executed seconds later, by whichever process has the
worker's id by then, whatever has become of its run.  An order names the id
only, and a process that has started again refuses no run by its number.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ..job import RunId
from .progress import WorkerInstance

#: How long an order without an answer is remembered, ms.  The platform may
#: execute one 12 s after it got it, and a connection may hold it up before.
ORDER_MEMORY_MS: Final = 15_000


class OpenOrder(NamedTuple):
    """An order for *run*, sent to the process *instance* at ``sent_at``, ms."""

    instance: WorkerInstance
    run: RunId
    sent_at: int


class OpenOrders:
    """The orders without an answer by the id of the worker, oldest first."""

    def __init__(self) -> None:
        """Start without orders."""
        self.by_worker: dict[str, list[OpenOrder]] = {}

    def record_sent(
        self, instance: WorkerInstance, run: RunId, now: int
    ) -> OpenOrder:
        """Record and return an order that is sent at *now*, monotonic ms."""
        order = OpenOrder(instance, run, now)
        self.by_worker.setdefault(instance[0], []).append(order)
        return order

    def record_answered(self, order: OpenOrder) -> None:
        """Forget an order that was executed, or never will be."""
        orders = self.by_worker.get(order.instance[0], [])
        if order in orders:
            orders.remove(order)
        if not orders:
            self.by_worker.pop(order.instance[0], None)

    def find_late(self, instance: WorkerInstance, now: int) -> dict[RunId, int]:
        """
        Return the runs that orders to earlier processes may start at another.

        The values are until when, monotonic ms.
        """
        worker_id, started_at = instance
        return {
            order.run: order.sent_at + ORDER_MEMORY_MS
            for order in self.by_worker.get(worker_id, ())
            if order.instance[1] < started_at and not _is_expired(order, now)
        }

    def prune(self, now: int) -> None:
        """Forget the orders that can't be executed any more."""
        for worker_id in tuple(self.by_worker):
            orders = _without_expired(self.by_worker[worker_id], now)
            self.by_worker[worker_id] = orders
            if not orders:
                self.by_worker.pop(worker_id)


def _without_expired(orders: Iterable[OpenOrder], now: int) -> list[OpenOrder]:
    return [order for order in orders if not _is_expired(order, now)]


def _is_expired(order: OpenOrder, now: int) -> bool:
    return now > order.sent_at + ORDER_MEMORY_MS
