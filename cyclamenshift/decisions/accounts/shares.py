"""
cyclamenshift.decisions.accounts.shares
=======================================

Tells which jobs and tasks are within the share of their account.

When many accounts compete for too little capacity, one that submits many
times its usual rate must not make the others wait.  Its share is a rate of
jobs, and, among what runs, a part of the pool by its weight.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from ...clock import MS_PER_SECOND
from ...directory import Account
from ...job import Resources

#: The window in which the jobs of an account are counted, ms: its share is
#: stated in jobs a second.
RATE_WINDOW_MS: Final = 1_000
#: The fewest jobs at once that are within the share of any account; smaller
#: ones submit a few jobs together now and then.
MIN_BURST: Final = 3


class TokenBucket(NamedTuple):
    """The jobs that an account may submit at once, as of ``updated_at``."""

    tokens: float
    updated_at: int


class AccountShares:
    """
    The recent jobs of each account at one service, and what is left of shares.

    A new scheduler starts with full buckets.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self.recent: deque[tuple[int, str]] = deque()
        self.counts: Counter[str] = Counter()
        self.buckets: dict[str, TokenBucket] = {}

    def copy(self) -> 'AccountShares':
        """Return a copy, whose use leaves these shares as they are."""
        copied = AccountShares()
        copied.recent = self.recent.copy()
        copied.counts = self.counts.copy()
        copied.buckets = self.buckets.copy()
        return copied

    def arrivals(self, now: int) -> Counter[str]:
        """
        Return how many jobs of each account came in the last second.

        Without jobs for a second an account gets its whole burst back, so that
        one of a small weight is not beyond its share by chance.
        """
        while self.recent and self.recent[0][0] <= now - RATE_WINDOW_MS:
            _at, account = self.recent.popleft()
            self.counts[account] -= 1
            if not self.counts[account]:
                self.counts.pop(account)
                self.buckets.pop(account, None)
        return self.counts

    def add(self, account: Account, elsewhere: int, now: int) -> bool:
        """
        Count a job of *account*; return whether it is within its share.

        Other services got *elsewhere* of its jobs in the last second.  The
        share is divided among the services as its jobs are.
        """
        self.recent.append((now, account.name))
        self.counts[account.name] += 1
        tokens = self._tokens(account, elsewhere, now)
        within = tokens >= 1
        self.buckets[account.name] = TokenBucket(tokens - within, now)
        return within

    def has_room(self, account: Account, elsewhere: int, now: int) -> bool:
        """Return whether a job of *account* would be within its share now."""
        return self._tokens(account, elsewhere, now) >= 1

    def _tokens(self, account: Account, elsewhere: int, now: int) -> float:
        """Return how many jobs of *account* would be within its share."""
        here = max(1, self.arrivals(now)[account.name])
        rate = account.weight * here / (here + elsewhere)
        burst = max(float(MIN_BURST), rate)
        bucket = self.buckets.get(account.name, TokenBucket(burst, now))
        earned = rate * (now - bucket.updated_at) / MS_PER_SECOND
        return min(burst, bucket.tokens + earned)


def accounts_over_share(
    used: Mapping[str, Resources],
    waiting: Iterable[str],
    accounts: Mapping[str, Account],
    capacity: Resources,
) -> frozenset[str]:
    """
    Return the accounts that have more of the pool than their weight gives.

    What counts is the resource of which an account has the largest part of
    *capacity*.  Only accounts that run or wait share the pool, so an account
    that is alone has all of it.
    """
    active = {name for name in (*used, *waiting) if name in accounts}
    total = sum(accounts[name].weight for name in active)
    return frozenset(
        name
        for name in active
        if name in used
        and _dominant_share(used[name], capacity) * total
        > accounts[name].weight
    )


def _dominant_share(used: Resources, capacity: Resources) -> float:
    return max(
        amount / size if size else 0
        for amount, size in zip(used, capacity, strict=True)
    )
