"""
cyclamenshift.decisions.call_order
==================================

The order of the calls to a worker and its answers.

A call that was made after an answer was received reaches the worker after it
gave that answer.  Neither the worker's clock nor the times of two answers
tell as much: answers overtake each other, and a worker need not list its runs
at the moment that it reads its clock.
"""

from typing import NamedTuple


class ReportTiming(NamedTuple):
    """
    The place of a report among the calls and answers of its session.

    ``asked`` and ``received`` are positions that ``CallOrder`` counts, and so
    is ``fenced_at``, that of the first report, which fenced off the orders of
    earlier schedulers; None for this report.  ``overtaken`` tells whether one
    that was asked for later has been applied.
    """

    asked: int
    received: int
    fenced_at: int | None = None
    overtaken: bool = False


class CallOrder:
    """
    Counts the calls and answers of one session with a worker.

    ``first_report`` is the position of the first report, None before it, and
    ``latest_asked`` where the latest of the reports was asked for.
    ``open_grants`` counts the calls with a lease that have no answer, and
    ``granted_at`` is the position of the last answer to a start order, which
    does not tell the process that gave it.
    """

    def __init__(self) -> None:
        """Start before the first call."""
        self.position = 0
        self.first_report: int | None = None
        self.latest_asked = 0
        self.open_grants = 0
        self.granted_at = 0

    @property
    def may_have_leased_successor(self) -> bool:
        """Whether the process that followed may have got a lease."""
        return self.open_grants > 0 or self.granted_at > self.latest_asked

    @property
    def has_fenced_report(self) -> bool:
        """Whether a report was asked for after the first one."""
        first = self.first_report
        return first is not None and self.latest_asked > first

    def advance(self) -> int:
        """Return the position of a call or an answer that happens now."""
        self.position += 1
        return self.position

    def time_report(self, asked: int) -> ReportTiming:
        """Return the timing of a report received now, *asked* for earlier."""
        received = self.advance()
        timing = ReportTiming(
            asked, received, self.first_report, asked < self.latest_asked
        )
        self.first_report = self.first_report or received
        self.latest_asked = max(self.latest_asked, asked)
        return timing
