"""
cyclamenshift.decisions.start_orders
====================================

The orders to start one run, and what their answers tell.
"""

from functools import singledispatchmethod

from ..worker import Accepted, OrderResult, Refused, Unanswered
from .leases import MAX_ORDER_DELAY_MS, ClockReading


class StartOrders:
    """
    The orders of this scheduler to start one run at a worker process.

    ``sent`` counts them, ``unanswered`` those without an answer, and
    ``unlocated`` those of them that another process under the worker's id may
    execute.  ``located`` is whether there were orders and none of them was
    accepted by a process that is not known.  The last order was sent at
    ``sent_at``, monotonic ms.  ``acceptance`` is the clock in the answer that
    accepted the start, None before.
    """

    def __init__(self) -> None:
        """Start before the first order."""
        self.sent = 0
        self.unanswered = 0
        self.unlocated = 0
        self.located = False
        self.sent_at = 0
        self.acceptance: ClockReading | None = None

    def record_sent(self, now: int) -> None:
        """Record that an order is sent at *now*."""
        self.sent += 1
        self.unanswered += 1
        self.unlocated += 1
        self.located = self.located or self.sent == 1
        self.sent_at = now

    @singledispatchmethod
    def record_result(self, result: OrderResult, started_at: int) -> None:
        """Record what came of an order; the run's process is *started_at*."""
        raise NotImplementedError(type(result).__qualname__)

    def move(self) -> None:
        """Expect that any process may have executed the orders."""
        self.unlocated = self.unanswered
        self.located = False
        self.acceptance = None

    def record_listed(self) -> None:
        """Record a report that lists the run: a single order was executed."""
        if self.sent == 1:
            self.unanswered = 0
            self.unlocated = 0

    def open_for(self, now: int) -> int | None:
        """
        Return for how long another process may execute an order, ms.

        None stands for no such order; 0 until the next report.
        """
        until = self.sent_at + MAX_ORDER_DELAY_MS + 1
        return max(0, until - now) if self.unlocated else None

    def expire(self, alive_at: int) -> None:
        """
        Forget the orders that can't be executed any more.

        The process that they are for was up at *alive_at*, monotonic ms, so
        no later one has executed an order before.
        """
        if alive_at > self.sent_at + MAX_ORDER_DELAY_MS:
            self.unanswered = 0
            self.unlocated = 0

    @record_result.register
    def _record_accepted(self, result: Accepted, started_at: int) -> None:
        self._close_order()
        if result.receiver != started_at:
            self.located = False

    @record_result.register
    def _record_refused(self, result: Refused, started_at: int) -> None:
        self._close_order()

    @record_result.register
    def _record_unanswered(self, result: Unanswered, started_at: int) -> None:
        if not result.sent:
            self._close_order()
        elif result.receiver == started_at:
            self.unlocated = max(0, self.unlocated - 1)

    def _close_order(self) -> None:
        self.unanswered = max(0, self.unanswered - 1)
        self.unlocated = max(0, self.unlocated - 1)
