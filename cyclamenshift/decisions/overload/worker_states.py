"""
cyclamenshift.decisions.overload.worker_states
==============================================

The states of health of a worker, and what is known of it.
"""

import enum
import math
from typing import Final, NamedTuple

from ...job import RunId
from ..progress import Attempt, WorkerInstance
from ..reports import EndedRun
from .failures import Evidence, RecentEnds
from .slowness import SUSPECT_SLOWDOWN, Slowness

#: The ratio above which it is ejected: three failures in a row of steps that
#: can succeed, where a twentieth of all runs fail.
EJECT_RATIO: Final = 200
#: The slowdown above which it is ejected: a task of 0.5 s that takes three
#: times as long has used up the whole reserve.
EJECT_SLOWDOWN: Final = math.log(3)
#: How long an ejected worker gets no run before a probe, ms, and the longest
#: that this becomes as it doubles with each failed probe.  A probe costs an
#: attempt of a task, and faults last some seconds.
PROBE_DELAY_MS: Final = 2_000
MAX_PROBE_DELAY_MS: Final = 8_000
#: How long after a failure an ejected worker accepts lasting tasks, ms.  One
#: that no other worker may run has to be at work 6 s after its last run.
LASTING_DELAY_MS: Final = 5_000
#: For how long a probe has to be due until lasting tasks, and those that have
#: failed but have attempts to spare, may be one, ms.
LATE_PROBE_MS: Final = 1_000
#: For how long it has to be due until any task may be one, ms.
LAST_PROBE_MS: Final = 6_000
#: How long after the last evidence a worker on trial accepts lasting tasks, ms.
LATE_TRIAL_MS: Final = 3_000
#: How long a run has to be seen at work to prove that its worker does not fail
#: what it starts, ms.  For lasting tasks it is less than a report may be held.
LASTING_PROOF_MS: Final = 900
PROOF_MS: Final = 3_000


class Rank(enum.IntEnum):
    """How a worker is preferred by placement; the lowest goes first."""

    #: As ``late_probe``, for so long that any task may be the probe.
    last_probe = -2
    #: As ``probe``, but no task has come that can spare an attempt.
    late_probe = -1
    #: It is ejected, and gets one run that decides about its return.
    probe = 0
    healthy = 1
    suspected = 2
    #: It is suspected to fail all runs, and gets one at a time.
    trial = 3
    #: The same, without new evidence for a while.
    late_trial = 4
    #: It is ejected and gets no probe yet, but lasting tasks.
    lasting = 5
    #: It gets no run now.
    unavailable = 6


class HealthState(enum.StrEnum):
    """The health of a worker, by the evidence so far."""

    healthy = 'healthy'
    suspected = 'suspected'
    ejected = 'ejected'
    #: It is ejected and has a run as a probe.
    probed = 'probed'


class HealthChange(NamedTuple):
    """A change of the state of a worker, with the evidence for it."""

    instance: WorkerInstance
    state: HealthState
    reason: str
    failures: int
    steps: int
    slowdown: float
    pool_rate: float


class WorkerRecord:
    """
    What is known of one worker.

    ``until`` is when a suspicion ends or a probe may start, monotonic ms;
    ``failing`` is whether the suspicion is about failures.  Runs that started
    before ``readmitted_at`` tell nothing any more.
    """

    def __init__(self, instance: WorkerInstance) -> None:
        """Start as a healthy worker."""
        self.ends = RecentEnds(instance)
        self.slowness = Slowness()
        self.state = HealthState.healthy
        self.failing = False
        self.until = 0
        self.delay = PROBE_DELAY_MS
        self.probe: RunId | None = None
        self.readmitted_at = 0

    @property
    def ejected(self) -> bool:
        """Whether it gets no run but a probe."""
        return self.state in {HealthState.ejected, HealthState.probed}

    @property
    def lasting_from(self) -> int:
        """Since when it accepts lasting tasks while it is ejected, ms."""
        ejected_at = self.until - self.delay
        return ejected_at + LASTING_DELAY_MS if self.failing else ejected_at

    @property
    def suspected_slow(self) -> bool:
        """Whether its run times are the reason why it is suspected."""
        return self.state is HealthState.suspected and not self.failing

    def is_cleared(self, now: int) -> bool:
        """Return whether it was suspected, without new evidence since."""
        return self.state is HealthState.suspected and now >= self.until

    def predates(self, run: EndedRun, now: int) -> bool:
        """Return whether a run that ends started before the readmission."""
        if not self.readmitted_at or run.run_time is None:
            return False
        return now - run.run_time < self.readmitted_at

    def forget(self, now: int) -> None:
        """Drop all evidence as the worker is readmitted."""
        self.readmitted_at = now
        self.ends.ends.clear()
        self.slowness.forget()
        self.probe = None
        self.delay = PROBE_DELAY_MS


def rank_of_probe(overdue: int) -> Rank:
    """Return the rank of a worker whose probe has been due for so long, ms."""
    if overdue >= LAST_PROBE_MS:
        return Rank.last_probe
    return Rank.late_probe if overdue >= LATE_PROBE_MS else Rank.probe


def is_at_work(attempt: Attempt) -> bool:
    """Return whether a run proves that its worker can run what it starts."""
    lasting = attempt.task.step.long_running
    proof = LASTING_PROOF_MS if lasting else PROOF_MS
    return attempt.seen_for >= proof


def judge(evidence: Evidence, slowdown: float) -> HealthState:
    """
    Return the state that a worker should have.

    *slowdown* is a logarithm.  Failures of steps that may be at fault
    themselves eject no worker.
    """
    fails_all = evidence.proved >= math.log(EJECT_RATIO)
    if fails_all or slowdown >= EJECT_SLOWDOWN:
        return HealthState.ejected
    if evidence.failing or slowdown >= SUSPECT_SLOWDOWN:
        return HealthState.suspected
    return HealthState.healthy
