"""
tests.test_account_shares
=========================

An account that submits many times its usual makes nobody else wait.
"""

import random
from collections.abc import Iterable
from typing import Final

from cyclamenshift.decisions.accounts.shares import (
    MIN_BURST,
    RATE_WINDOW_MS,
    AccountShares,
    accounts_over_share,
)
from cyclamenshift.decisions.accounts.usage import AccountUsages
from cyclamenshift.decisions.progress import JobProgress, Task
from cyclamenshift.decisions.urgency import Ranking, most_urgent_first
from cyclamenshift.job import Resources

from .builders import WALL_START, account, job, queue, step

#: The slots of the pool, each for one task, and the run time of a task, ms.
SLOTS: Final = 20
RUN_MS: Final = 500
#: How often free slots are filled, ms.
PASS_MS: Final = 10
#: The time of the replay, ms, and the part with the heavy account.
REPLAY_MS: Final = 12_000
HEAVY: Final = range(3_000, 9_500)
#: The jobs a second of each account, and of the heavy one in its time.
USUAL_RATE: Final = 4
HEAVY_FACTOR: Final = 12
ACCOUNTS: Final = {
    name: account(name, weight=1.9 * USUAL_RATE)
    for name in ('heavy', 'second', 'third', 'fourth')
}


class Replay:
    """Jobs of one task each from several accounts, at a pool of slots."""

    def __init__(self, seed: int, factor: int) -> None:
        """Let the heavy account submit *factor* times its usual."""
        self.rng = random.Random(seed)
        self.factor = factor
        self.shares = AccountShares()
        self.beyond_share: set[str] = set()
        self.usages = AccountUsages()
        self.waiting: dict[str, tuple[int, Task]] = {}
        self.running: list[tuple[int, Task]] = []
        self.waits: dict[str, list[int]] = {name: [] for name in ACCOUNTS}

    def run(self) -> None:
        """Replay the whole time."""
        for now in range(0, REPLAY_MS, PASS_MS):
            for name in ACCOUNTS:
                self._draw(name, now)
            ended = [each for each in self.running if each[0] <= now]
            for at, task in ended:
                self.running.remove((at, task))
                self.usages.remove(task)
            self.start(now)

    def longest_wait(self, names: Iterable[str]) -> int:
        """Return the longest wait of the jobs of some accounts, ms."""
        return max(max(self.waits[name]) for name in names)

    def submit(self, name: str, now: int) -> None:
        """Submit a job of an account."""
        submitted = job(
            f'{now}-{name}',
            account=name,
            accepted=WALL_START + now,
            steps=(step(tasks=1, estimate=RUN_MS),),
        )
        progress = JobProgress(submitted, queue())
        if not self.shares.add(ACCOUNTS[name], 0, now):
            self.beyond_share.add(submitted.job_id)
        (task,) = progress.open_ready_steps(0)
        self.waiting[submitted.job_id] = (now, task)

    def start(self, now: int) -> None:
        """Start as many waiting tasks as there are free slots."""
        over = accounts_over_share(
            self.usages.used,
            [task.job.job.account for _at, task in self.waiting.values()],
            ACCOUNTS,
            Resources(SLOTS * 1_000, SLOTS * 1_024),
        )
        urgent = most_urgent_first(
            [task for _at, task in self.waiting.values()],
            WALL_START + now,
            Ranking(ACCOUNTS, over, self.beyond_share),
        )
        free = SLOTS - len(self.running)
        for task, _slot in zip(urgent, range(free), strict=False):
            at, _task = self.waiting.pop(task.job.job.job_id)
            self.waits[task.job.job.account].append(now - at)
            self.usages.add(task)
            self.running.append((now + RUN_MS, task))

    def _draw(self, name: str, now: int) -> None:
        rate = USUAL_RATE
        if name == 'heavy' and now in HEAVY:
            rate *= self.factor
        if self.rng.random() * 1_000 < rate * PASS_MS:
            self.submit(name, now)


def test_heavy_account_does_not_delay_the_others() -> None:
    """Jobs of other accounts waited behind those of the heavy one."""
    others = ('second', 'third', 'fourth')
    usual, heavy = (Replay(seed=1, factor=each) for each in (1, HEAVY_FACTOR))
    usual.run()
    heavy.run()
    assert usual.longest_wait(others) <= PASS_MS
    assert heavy.longest_wait(['heavy']) > 2 * RUN_MS
    assert heavy.longest_wait(others) <= RUN_MS + PASS_MS


def test_account_that_is_alone_gets_the_whole_pool() -> None:
    """A share that is not used must not stay empty."""
    replay = Replay(seed=1, factor=HEAVY_FACTOR)
    for now in range(2 * SLOTS):
        replay.submit('heavy', now)
    replay.start(PASS_MS)
    assert len(replay.running) == SLOTS


def test_share_is_divided_among_the_services() -> None:
    """An account had its share at each of its services."""
    shares = AccountShares()
    within = [
        shares.add(account(weight=10), elsewhere=30, now=now)
        for now in range(0, 1_000, 33)
    ]
    assert sum(within) < 10


def test_recent_jobs_take_bounded_memory() -> None:
    """Accounts that come and go were kept for ever."""
    shares = AccountShares()
    for number in range(2_000):
        shares.add(account(f'account-{number}'), 0, number * 10)
    assert len(shares.buckets) <= 101
    assert len(shares.arrivals(60_000)) == 0


def test_account_of_a_small_weight_has_its_burst_after_a_second() -> None:
    """Jobs of a rare caller were beyond its share by chance."""
    shares = AccountShares()
    rare = account('rare', weight=0.1)
    burst = [shares.add(rare, 0, now) for now in range(MIN_BURST + 1)]
    assert burst == [*[True] * MIN_BURST, False]
    after = RATE_WINDOW_MS + MIN_BURST
    assert not shares.has_room(rare, 0, after - 1)
    assert shares.has_room(rare, 0, after)
