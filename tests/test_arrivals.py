"""
tests.test_arrivals
===================

The forecast of demand from the jobs that arrive.
"""

from cyclamenshift.decisions.admission import (
    AMOUNT_LIMIT,
    DURATION_LIMIT,
    TASK_LIMIT,
    find_problem,
)
from cyclamenshift.decisions.arrivals import Arrivals
from cyclamenshift.job import Resources
from cyclamenshift.peer import Notification
from cyclamenshift.peers.frames import encode

from .builders import job, pool_report, step


def test_forecast_of_the_largest_job_can_not_be_sent() -> None:
    """It was too large a number, and ended the connection to the manager."""
    largest = job(
        steps=(
            step(
                tasks=TASK_LIMIT,
                resources=Resources(AMOUNT_LIMIT, AMOUNT_LIMIT, AMOUNT_LIMIT),
                estimate=DURATION_LIMIT,
            ),
        )
    )
    assert find_problem(largest) is None
    arrivals = Arrivals()
    arrivals.add(largest, 0)
    report = pool_report(expected=arrivals.demand(0))
    assert encode(Notification(report))
