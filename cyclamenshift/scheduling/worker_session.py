"""
cyclamenshift.scheduling.worker_session
=======================================

The state that a scheduler keeps for one instance of a worker.
"""

from typing import Final, NamedTuple

import trio

from ..decisions.call_order import CallOrder
from ..decisions.leases import Lease
from ..decisions.run_ends import RunEndLog
from ..job import RunId
from ..worker import Worker


class Silence(NamedTuple):
    """
    The calls without a report since the last one.

    The first was at ``since``, monotonic ms.  ``refused`` is whether the host
    refused the connection for the last one; ``misses`` counts them.
    """

    since: int
    refused: bool
    misses: int


class Reservation(NamedTuple):
    """
    The reservation of a VM for an order, made at ``made_at``.

    It lasts until ``until``, monotonic ms; ``made_at`` is in ms since the
    epoch.
    """

    until: int
    made_at: int


NOT_RESERVED: Final = Reservation(0, 0)


class WorkerSession:
    """
    One instance of a worker, its lease and its reachability.

    It was opened at ``opened_at``, monotonic ms.  ``calls`` is the order of
    its calls and answers.  ``registered`` tells whether the directory lists
    the worker.  ``silence`` describes the calls without a report since the
    last one; ``unsettled`` counts the start orders whose answer is missing;
    ``fastest`` is the shortest round-trip time, ms.  ``late_runs`` are the
    runs that late orders to earlier processes may start there, with until when,
    monotonic ms, before the worker was told to refuse them.
    """

    def __init__(self, worker: Worker, lease: Lease, now: int) -> None:
        """Create a session with no answer from the worker yet."""
        self.worker = worker
        self.lease = lease
        self.opened_at = now
        self.calls = CallOrder()
        self.registered = True
        self.closed = False
        self.end_log = RunEndLog()
        self.silence: Silence | None = None
        self.unsettled = 0
        self.fastest: int | None = None
        self.backoff_until = 0
        self.reserved_until = 0
        self.late_runs: dict[RunId, int] = {}
        self.wakeup = trio.Event()

    @property
    def has_reported(self) -> bool:
        """
        Whether it has reported to this scheduler.

        Its report also fences off the orders of earlier schedulers.
        """
        return self.calls.first_report is not None

    @property
    def misses(self) -> int:
        """The number of calls without a report since the last one."""
        return self.silence.misses if self.silence else 0

    @property
    def responsive(self) -> bool:
        """Whether the worker answered the last renewal with a report."""
        return self.has_reported and not self.misses

    def leaves_as_planned(self, now: int) -> bool:
        """Return whether the worker is to end, or its VM is being emptied."""
        return self.worker.leaving or now < self.reserved_until

    def silent_since(self, now: int) -> int:
        """Return since when the worker has not answered, *now* if it does."""
        return self.silence.since if self.silence else now

    def alive_at(self, now: int) -> int | None:
        """Return when the worker was last known to be alive, None if never."""
        heard = self.lease.heard_at is not None
        return now if heard and self.silence is None else self.lease.heard_at

    def may_have_leased_successor(self, now: int) -> bool:
        """Return whether the next process under its id may have a lease."""
        earlier = self.lease.prior_leases_until > now
        return earlier or self.calls.may_have_leased_successor

    def affects_successor(self, now: int) -> bool:
        """Return whether its calls may act on the next process at *now*."""
        until = self.end_log.late_until
        if self.may_have_leased_successor(now):
            until = max(until, self.lease.longest_until)
        return now <= until

    def update(self, worker: Worker) -> None:
        """Take over what changed in the registration of the worker."""
        if self.has_reported:
            # A process keeps its address; another one may be a writer's error.
            worker = worker._replace(address=self.worker.address)
        self.worker = worker

    def usable(self, now: int) -> bool:
        """Return whether new runs may be started at this worker."""
        stays = self.registered and not self.closed and not self.worker.leaving
        free = now >= max(self.backoff_until, self.reserved_until)
        answers = self.responsive and not (self.unsettled or self.late_runs)
        ends_count = not (
            self.end_log.is_overdue(now) or self.end_log.may_be_dropped(now)
        )
        return stays and answers and free and ends_count

    def obstacle(self, now: int) -> str:
        """Return why no run may be started at it, empty if one may."""
        if self.usable(now):
            return ''
        obstacles = {
            'gone': self.closed or not self.registered,
            'leaving': self.leaves_as_planned(now),
            'not heard of yet': not self.has_reported,
            'silent': bool(self.misses),
            'unsettled': bool(self.unsettled),
            'not told of late orders yet': bool(self.late_runs),
            'refusing': now < self.backoff_until,
        }
        found = (name for name, applies in obstacles.items() if applies)
        return next(found, 'unsettled')

    def record_miss(self, now: int, *, refused: bool) -> None:
        """Record a call without a report."""
        since = self.silence.since if self.silence else now
        self.silence = Silence(since, refused, self.misses + 1)

    def record_report(self) -> None:
        """Record that the worker has reported."""
        self.silence = None

    def observe_round_trip(self, elapsed: int) -> None:
        """Record the duration of a call that was answered at once, ms."""
        if self.fastest is None or elapsed < self.fastest:
            self.fastest = elapsed

    def wake(self) -> None:
        """Wake the lease renewer of this worker."""
        self.wakeup.set()
        self.wakeup = trio.Event()

    def back_off(self, until: int) -> None:
        """Start no run at this worker before *until*, monotonic ms."""
        self.backoff_until = max(self.backoff_until, until)
