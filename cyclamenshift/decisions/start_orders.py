"""
cyclamenshift.decisions.start_orders
====================================

The orders to start one run, and what their answers tell.
"""

from .leases import MAX_ORDER_DELAY_MS, ClockReading


class StartOrders:
    """
    The orders of this scheduler to start one run.

    ``unanswered`` counts those without an answer; the last order was sent at
    ``sent_at``, monotonic ms.  ``acceptance`` is the clock in the answer that
    accepted the start, None before.
    """

    def __init__(self) -> None:
        """Start before the first order."""
        self.unanswered = 0
        self.sent_at = 0
        self.acceptance: ClockReading | None = None

    def record_sent(self, now: int) -> None:
        """Record that an order is sent at *now*."""
        self.unanswered += 1
        self.sent_at = now

    def record_answer(self) -> None:
        """Record the answer to an order, or that it was not sent."""
        self.unanswered = max(0, self.unanswered - 1)

    def open_for(self, now: int) -> int | None:
        """
        Return for how long an unanswered order may still be executed, ms.

        None stands for no such order; 0 until the next report.
        """
        until = self.sent_at + MAX_ORDER_DELAY_MS + 1
        return max(0, until - now) if self.unanswered else None

    def expire(self, alive_at: int) -> None:
        """
        Forget the orders that can't be executed any more.

        The process that they are for was up at *alive_at*, monotonic ms, so
        no later one has executed an order before.
        """
        if alive_at > self.sent_at + MAX_ORDER_DELAY_MS:
            self.unanswered = 0
