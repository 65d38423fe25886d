"""
cyclamenshift.decisions.retries
===============================

Whether a request may be tried again, and the budget that bounds retries.
"""

from functools import singledispatch

from ..model import Done, NotRun, Outcome, Reason, Request, Unknown

#: How many attempts one request gets.
ATTEMPT_LIMIT = 3
#: The wait before the second attempt, ms; it grows with each attempt.
RETRY_DELAY_MS = 50
#: Retries allowed for each success, as a share.
RETRY_SHARE = 0.1
#: The retries that may be saved up.
RETRY_BALANCE = 20.0
#: The lowest status of an endpoint's own failures.
SERVER_ERROR = 500

#: Reasons with which another attempt at once can't help.
FINAL_REASONS = frozenset(
    (
        Reason.deadline,
        Reason.queue_full,
        Reason.stopping,
    )
)


class RetryBudget:
    """Lets retries be a fixed share of recent successes."""

    def __init__(self) -> None:
        """Start with a full balance."""
        self.balance = RETRY_BALANCE

    def earn(self) -> None:
        """Count one success."""
        self.balance = min(RETRY_BALANCE, self.balance + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


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
