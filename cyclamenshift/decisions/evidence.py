"""
cyclamenshift.decisions.evidence
================================

The kinds of evidence that a run may be over.

What each proves is in ``verdicts``.
"""

from typing import NamedTuple

from ..job import RunOutcome
from ..worker import RefusalReason
from .call_order import ReportTiming
from .leases import Lease


class Withdrawn(NamedTuple):
    """The scheduler will not order the run, if it has not done so."""


class NotSent(NamedTuple):
    """No connection was opened for the order."""

    reason: str


class OrderRefused(NamedTuple):
    """The worker refused the order."""

    reason: RefusalReason


class Ended(NamedTuple):
    """The worker lists the end of the run."""

    outcome: RunOutcome


class Unlisted(NamedTuple):
    """A complete report of the worker does not list the run."""

    timing: ReportTiming


class LeasesExpired(NamedTuple):
    """
    The worker is silent at ``now``, monotonic ms; its leases run out.

    ``lease`` tells which of them have certainly expired.
    """

    lease: Lease
    now: int


class ProcessReplaced(NamedTuple):
    """A worker with another id answers at the address."""


class ProcessRestarted(NamedTuple):
    """
    The worker process has restarted under its id.

    The orders name the id, so the new process executes those for the old one.
    """
