"""
tests.standins.worker_faults
============================

The faults of the simulated workers and of the connections to them.
"""

from cyclamenshift.worker import LeaseRenewal


class WorkerFaults:
    """
    What happens to the next calls of workers; without entries, nothing.

    Each entry of a list counts for one call.  ``list_ages`` has how long
    before its clock a report takes its lists, ``report_delays`` and
    ``answer_delays`` for how long reports and answers to other orders are
    delayed on their way back, all in ms.  After each of the next
    ``closed_connections`` orders the worker closes the connection in place of
    an answer, and after ``closed_reports`` so in place of a report.  For each
    value in ``late_renewals`` and ``late_acknowledgements``, one renewal, or
    one that acknowledges ends, gets no answer and is carried out that many ms
    late, by the process that is up then.
    """

    def __init__(self) -> None:
        """Start without a fault."""
        self.list_ages: list[int] = []
        self.report_delays: list[int] = []
        self.answer_delays: list[int] = []
        self.closed_connections = 0
        self.closed_reports = 0
        self.late_renewals: list[int] = []
        self.late_acknowledgements: list[int] = []

    def clear(self) -> None:
        """End all faults."""
        self.list_ages.clear()
        self.report_delays.clear()
        self.answer_delays.clear()
        self.closed_connections = 0
        self.closed_reports = 0
        self.late_renewals.clear()
        self.late_acknowledgements.clear()

    def renewal_delay(self, order: LeaseRenewal) -> int:
        """Return how late *order* is carried out, 0 for at once, ms."""
        is_late = bool(order.acknowledged and self.late_acknowledgements)
        delays = self.late_acknowledgements if is_late else self.late_renewals
        return next_delay(delays)

    def closes_connection(self) -> bool:
        """Return whether the connection of this order is closed."""
        if not self.closed_connections:
            return False
        self.closed_connections -= 1
        return True

    def closes_report(self) -> bool:
        """Return whether the connection of this report is closed."""
        if not self.closed_reports:
            return False
        self.closed_reports -= 1
        return True


def next_delay(delays: list[int]) -> int:
    """Remove and return the first of *delays*, 0 if there is none, ms."""
    return delays.pop(0) if delays else 0
