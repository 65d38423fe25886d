"""
tests.test_start_orders
=======================

Which processes may have a run, by the answers of its start orders.
"""

import pytest

from cyclamenshift.decisions.evidence import LeasesExpired, ProcessRestarted
from cyclamenshift.decisions.leases import (
    ClockReading,
    LeaseBounds,
    max_elapsed,
)
from cyclamenshift.decisions.progress import Attempt, Phase
from cyclamenshift.decisions.tracker import JobTracker
from cyclamenshift.decisions.verdicts import judge
from cyclamenshift.worker import (
    Accepted,
    OrderResult,
    RefusalReason,
    Refused,
    Unanswered,
)

from .builders import WALL_START, job, lease, queue, worker

LEASE_MS = 4_000
#: When the lease of the known process has expired, but not the longest one.
EXPIRED_AT = max_elapsed(LEASE_MS) + 10

KNOWN = Unanswered(True, 'lost', receiver=WALL_START)
OTHER = Unanswered(True, 'lost', receiver=WALL_START + 1)
UNKNOWN = Unanswered(True, 'lost')
NOT_SENT = Unanswered(False, 'refused')
REFUSED = Refused(RefusalReason.no_capacity)
ACCEPTED = Accepted(1, WALL_START)
ACCEPTED_BY_UNKNOWN = Accepted(1)


@pytest.fixture
def tracker() -> JobTracker:
    """Return a tracker of one job."""
    job_tracker = JobTracker()
    job_tracker.add(job(), queue(), WALL_START)
    return job_tracker


def _order(tracker: JobTracker, *answers: OrderResult) -> Attempt:
    """Return an attempt after the *answers* of orders to start it."""
    task = next(iter(tracker.jobs['job-1'].tasks()))
    attempt = tracker.plan(task, worker().instance, 1, 0)
    attempt.phase = Phase.unsettled
    for each in answers:
        attempt.orders.record_sent(0)
        attempt.orders.record_result(each, WALL_START)
    return attempt


def _expired() -> LeasesExpired:
    """Return the evidence that the lease of the known process is over."""
    granted = lease()
    granted.observe(1, 0)
    granted.grant(0, LEASE_MS)
    assert not granted.longest_expired(EXPIRED_AT)
    return LeasesExpired(granted, EXPIRED_AT)


@pytest.mark.parametrize(
    ('answers', 'verdict'),
    [
        ((KNOWN,), 'over'),
        ((KNOWN, KNOWN), 'over'),
        ((KNOWN, NOT_SENT), 'over'),
        ((KNOWN, REFUSED), 'over'),
        ((KNOWN, ACCEPTED), 'over'),
        ((ACCEPTED,), 'over'),
        ((UNKNOWN,), 'undecided'),
        ((OTHER,), 'undecided'),
        ((KNOWN, UNKNOWN), 'undecided'),
        ((UNKNOWN, KNOWN), 'undecided'),
        ((UNKNOWN, ACCEPTED), 'undecided'),
        ((KNOWN, ACCEPTED_BY_UNKNOWN), 'undecided'),
        ((ACCEPTED_BY_UNKNOWN,), 'undecided'),
    ],
)
def test_lease_of_the_only_receiver_of_the_orders_counts(
    tracker: JobTracker, answers: tuple[OrderResult, ...], verdict: str
) -> None:
    """A run that any process may have waits for the longest lease."""
    assert judge(_expired(), _order(tracker, *answers)) == verdict


def test_order_under_way_may_reach_any_process(tracker: JobTracker) -> None:
    """Its connection is known with its result only."""
    attempt = _order(tracker)
    attempt.orders.record_sent(0)
    assert judge(_expired(), attempt) == 'undecided'


def test_report_does_not_place_an_order_that_another_process_accepted(
    tracker: JobTracker,
) -> None:
    """The process that the report is from may have executed the first one."""
    attempt = _order(tracker, KNOWN, ACCEPTED_BY_UNKNOWN)
    attempt.confirm(1, reported=True)
    assert judge(_expired(), attempt) == 'undecided'
    # The clock in the answer is the one that the lease is for.
    attempt.orders.acceptance = ClockReading(1, 0)
    assert judge(_expired(), attempt) == 'over'


def test_moved_run_may_be_anywhere(tracker: JobTracker) -> None:
    """Its orders went to the process before."""
    attempt = _order(tracker, KNOWN)
    tracker.move(attempt, ('worker-1', WALL_START + 1))
    assert judge(_expired(), attempt) == 'undecided'


@pytest.mark.parametrize(
    ('answers', 'verdict'),
    [
        ((ACCEPTED,), 'over'),
        ((ACCEPTED_BY_UNKNOWN,), 'unsettled'),
        ((KNOWN,), 'unsettled'),
    ],
)
def test_run_that_the_process_accepted_has_ended_with_it(
    tracker: JobTracker, answers: tuple[OrderResult, ...], verdict: str
) -> None:
    """Any other run is settled at the process that followed."""
    assert judge(ProcessRestarted(), _order(tracker, *answers)) == verdict


@pytest.mark.parametrize(
    ('answer', 'keeps'),
    [(UNKNOWN, True), (OTHER, True), (KNOWN, False), (ACCEPTED, False)],
)
def test_order_to_the_known_process_keeps_ends_from_being_acknowledged(
    tracker: JobTracker, answer: OrderResult, *, keeps: bool
) -> None:
    """Only one that another process may execute has to."""
    assert _order(tracker, answer).may_be_elsewhere is keeps


@pytest.mark.parametrize(('epoch', 'waits'), [(1, False), (2, True)])
def test_first_owner_waits_for_the_leases_of_a_predecessor(
    epoch: int, *, waits: bool
) -> None:
    """Nobody has granted a lease before the first epoch."""
    first = LeaseBounds(0, 2 * LEASE_MS, LEASE_MS, epoch).initial_lease()
    assert first.all_expired(EXPIRED_AT) is not waits
    assert first.longest_expired(EXPIRED_AT) is not waits
