"""
cyclamenshift.decisions.accounts.outcomes
=========================================

Counts what became of the jobs of each account, and finds the worst served.
"""

import math
from collections import Counter
from typing import Final, NamedTuple

#: The part of the accounts that counts as the worst served.
WORST_SHARE: Final = 0.1


class AccountOutcomes(NamedTuple):
    """
    The finished and the refused jobs of each account.

    ``in_time`` and ``late`` count completed jobs, ``failed`` those that failed
    or were cancelled.
    """

    in_time: Counter[str]
    late: Counter[str]
    failed: Counter[str]
    refused: Counter[str]

    def served_percent(self, account: str) -> int:
        """Return how many of the jobs of *account* ended in time, per cent."""
        total = sum(counter[account] for counter in self)
        return 100 * self.in_time[account] // total if total else 100

    def counts(self, account: str) -> dict[str, int]:
        """Return the counts of *account* by outcome."""
        return {
            outcome: counter[account]
            for outcome, counter in self._asdict().items()
        }

    def worst_served(self) -> dict[str, int]:
        """Return the worst-served tenth of the accounts, per cent in time."""
        accounts = set().union(*self)
        count = math.ceil(WORST_SHARE * len(accounts))
        ranked = sorted(
            (self.served_percent(account), account) for account in accounts
        )
        return {account: served for served, account in ranked[:count]}


def no_outcomes() -> AccountOutcomes:
    """Return counters at 0."""
    return AccountOutcomes(Counter(), Counter(), Counter(), Counter())
