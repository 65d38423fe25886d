"""
cyclamenshift.decisions.retries
===============================

Decides whether a request may be retried, within a retry budget.
"""

from functools import singledispatch

from ..model import Done, NotRun, Outcome, Reason, Request, Unknown

#: The largest number of attempts for one request.
ATTEMPT_LIMIT = 3
#: The delay before the second attempt, ms; it grows with each attempt.
RETRY_DELAY_MS = 50
#: The retries earned by each success.
RETRY_SHARE = 0.1
#: The largest balance of unused retries.
RETRY_BALANCE = 20.0
#: The lowest HTTP status of server errors.
SERVER_ERROR = 500

#: The reasons for which an immediate retry is useless.
FINAL_REASONS = frozenset(
    (
        Reason.deadline,
        Reason.queue_full,
        Reason.stopping,
    )
)


class RetryBudget:
    """Limits retries to a fixed share of recent successes."""

    def __init__(self) -> None:
        """Start with a full balance."""
        self.balance = RETRY_BALANCE

    def earn(self) -> None:
        """Count one success."""
        self.balance = min(RETRY_BALANCE, self.balance + RETRY_SHARE)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@singledispatch
def outcome_of_all(latest: Outcome, earlier: Outcome | None) -> Outcome:
    """
    Return the outcome of a request after its *latest* attempt.

    *earlier* is the outcome of the attempts before it, None if there are none.
    """
    return latest


@outcome_of_all.register
def _after_not_run(latest: NotRun, earlier: Outcome | None) -> Outcome:
    """An attempt that did not run tells nothing of those before it."""
    return earlier or latest


@singledispatch
def may_retry(outcome: Outcome, request: Request) -> bool:
    """Return whether *outcome* allows another attempt at *request*."""
    raise NotImplementedError(type(outcome).__qualname__)


@may_retry.register
def _done(outcome: Done, request: Request) -> bool:
    return request.repeatable and outcome.status >= SERVER_ERROR


@may_retry.register
def _not_run(outcome: NotRun, request: Request) -> bool:
    return outcome.reason not in FINAL_REASONS


@may_retry.register
def _unknown(outcome: Unknown, request: Request) -> bool:
    return request.repeatable and outcome.reason not in FINAL_REASONS
