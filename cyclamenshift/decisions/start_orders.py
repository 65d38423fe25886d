"""
cyclamenshift.decisions.start_orders
====================================

The orders to start one run, and what their answers tell.
"""

from .leases import MAX_ORDER_DELAY_MS, ClockReading


class StartOrders:
    """
    The orders of this scheduler to start one run.

    ``sent`` counts them, ``unanswered`` those without an answer; the last was
    sent at ``sent_at``, monotonic ms.  ``acceptance`` is the clock in the
    answer that accepted the start, None before.
    """

    def __init__(self) -> None:
        """Start before the first order."""
        self.sent = 0
        self.unanswered = 0
        self.sent_at = 0
        self.acceptance: ClockReading | None = None

    def record_sent(self, now: int) -> None:
        """Record that an order is sent at *now*."""
        self.sent += 1
        self.unanswered += 1
        self.sent_at = now

    def record_answer(self) -> None:
        """Record the answer to an order, or that it was not sent."""
        self.unanswered = max(0, self.unanswered - 1)

    def record_listed(self) -> None:
        """Record a report that lists the run: a single order was executed."""
        if self.sent == 1:
            self.unanswered = 0

    def expire(self, alive_at: int) -> None:
        """
        Forget the orders that can't be executed any more.

        The process that they are for was up at *alive_at*, monotonic ms, so
        no later one has executed an order before.
        """
        if alive_at > self.sent_at + MAX_ORDER_DELAY_MS:
            self.unanswered = 0
