"""
tests.standins.worker_faults
============================

The faults of the simulated workers and of the connections to them.
"""

from typing import NamedTuple

from cyclamenshift.worker import LeaseRenewal


class Cut(NamedTuple):
    """
    A cut between the worker with this id and all entry VMs.

    Its processes come and go behind it.  If it is ``one_way``, calls reach
    the worker, but no response comes back.
    """

    worker_id: str
    one_way: bool


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
    late, by the process that is up then.  A cut in ``cuts`` lasts until it is
    removed.  Connections to the workers in ``refused`` are refused, and open
    ones are reset, while their processes work on.
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
        self.cuts: list[Cut] = []
        self.refused: set[str] = set()

    def clear(self) -> None:
        """End all faults."""
        self.list_ages.clear()
        self.report_delays.clear()
        self.answer_delays.clear()
        self.closed_connections = 0
        self.closed_reports = 0
        self.late_renewals.clear()
        self.late_acknowledgements.clear()
        self.cuts.clear()
        self.refused.clear()

    def heal(self, cut: Cut) -> None:
        """End *cut*, unless all faults have ended before."""
        if cut in self.cuts:
            self.cuts.remove(cut)

    def loses_calls(self, worker_id: str) -> bool:
        """Return whether calls to a worker get lost."""
        return Cut(worker_id, one_way=False) in self.cuts

    def loses_responses(self, worker_id: str) -> bool:
        """Return whether the responses of a worker get lost."""
        return any(cut.worker_id == worker_id for cut in self.cuts)

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
