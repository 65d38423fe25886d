"""
cyclamenshift.decisions.verdicts
================================

Decides from evidence whether a run is over, so that its task may start again.

Each kind of evidence has a rule of its own.  What does not prove that a run
is not at work and can't begin any more leaves it in place, or unsettled: then
it is stopped at its worker first.
"""

import enum
from functools import singledispatch
from typing import Any, Final

from ..worker import RefusalReason
from .evidence import (
    Ended,
    LeasesExpired,
    NotSent,
    OrderRefused,
    ProcessReplaced,
    ProcessRestarted,
    Unlisted,
    Withdrawn,
)
from .progress import Attempt, Phase

#: The phases in which no start order of this scheduler is under way.
SETTLED_PHASES: Final = frozenset(
    (Phase.inherited, Phase.running, Phase.stopping)
)


class Verdict(enum.StrEnum):
    """What evidence says about a run."""

    #: It is not at work and can't begin any more.
    over = 'over'
    #: It may be at work or may begin; it has to be stopped first.
    unsettled = 'unsettled'
    #: Nothing.
    undecided = 'undecided'


@singledispatch
def judge(evidence: Any, attempt: Attempt) -> Verdict:
    """Return what *evidence* says about the run of *attempt*."""
    raise NotImplementedError(type(evidence).__qualname__)


@judge.register
def _judge_withdrawn(evidence: Withdrawn, attempt: Attempt) -> Verdict:
    planned = attempt.phase is Phase.planned
    return Verdict.over if planned else Verdict.unsettled


@judge.register
def _judge_not_sent(evidence: NotSent, attempt: Attempt) -> Verdict:
    return Verdict.unsettled if attempt.orders.unanswered else Verdict.over


@judge.register
def _judge_refused(evidence: OrderRefused, attempt: Attempt) -> Verdict:
    """
    Judge a refusal, which holds for the order that it answers.

    An order sent before may have been executed, or may yet be, unless its
    worker process is gone.
    """
    replaced = evidence.reason is RefusalReason.replaced
    has_other = attempt.orders.unanswered > 0
    return Verdict.unsettled if has_other and not replaced else Verdict.over


@judge.register
def _judge_ended(evidence: Ended, attempt: Attempt) -> Verdict:
    return Verdict.over


@judge.register
def _judge_unlisted(evidence: Unlisted, attempt: Attempt) -> Verdict:
    """
    Judge the absence of a run from a report.

    It proves nothing about a run that the worker confirmed only after the
    report was asked for: the list may be older than the run.  The order for a
    run of an earlier scheduler is certain to be refused only once the worker
    has answered under the later epoch.  Nor does it prove anything while
    another process may execute an unanswered order: the known one refuses it
    once it has stopped the run, but not the one that follows a restart.
    """
    if attempt.orders.unlocated:
        return Verdict.undecided
    since = (
        evidence.timing.fenced_at
        if attempt.phase is Phase.inherited
        else attempt.confirmation.position
    )
    is_settled = attempt.phase in SETTLED_PHASES
    if is_settled and since is not None and evidence.timing.asked > since:
        return Verdict.over
    return Verdict.undecided


@judge.register
def _judge_expired(evidence: LeasesExpired, attempt: Attempt) -> Verdict:
    """
    Judge expired leases: those of each process that may have the run.

    Without an answer to its order that may be any process under the worker's
    id, unless the receiver of the order is known.  An answer may not name the
    process that gave it, but tells its clock.
    """
    lease, now = evidence
    orders = attempt.orders
    if attempt.is_confined:
        expired = lease.all_expired(now)
    elif orders.acceptance and not orders.unlocated:
        expired = lease.all_expired_since(orders.acceptance, now)
    else:
        is_planned = attempt.phase is Phase.planned
        expired = is_planned or lease.longest_expired(now)
    return Verdict.over if expired else Verdict.undecided


@judge.register
def _judge_replaced(evidence: ProcessReplaced, attempt: Attempt) -> Verdict:
    return Verdict.over


@judge.register
def _judge_restarted(evidence: ProcessRestarted, attempt: Attempt) -> Verdict:
    """
    Judge a restart: only what the old process reported has ended with it.

    The new one may have executed an order whose answer did not tell which of
    them gave it, and may yet execute one without an answer.
    """
    if attempt.phase is Phase.planned:
        return Verdict.over
    return Verdict.over if attempt.is_located else Verdict.unsettled
