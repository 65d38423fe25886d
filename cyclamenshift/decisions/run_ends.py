"""
cyclamenshift.decisions.run_ends
================================

Tracks which run ends of a worker were applied and which are recorded.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ..job import RunEnd
from .leases import MAX_ORDER_DELAY_MS
from .progress import Attempt, JobProgress

#: How long start orders under way may keep ends from being acknowledged before
#: the worker gets no more orders, ms.
MAX_KEPT_MS: Final = 500


class PendingRecord(NamedTuple):
    """
    A job whose changes must be recorded up to ``generation``.

    Until then no end above ``acknowledged`` may be acknowledged.
    """

    progress: JobProgress
    generation: int
    acknowledged: int

    @property
    def recorded(self) -> bool:
        """Whether the store holds the changes."""
        return self.progress.recorded >= self.generation


class RunEndLog:
    """
    The run ends that one worker instance has listed.

    The worker numbers them and lists each until it is acknowledged.
    ``applied`` is the number of the last one that was applied, ``forgotten``
    that of the last one that the worker does not list any more.
    ``kept_since`` is since when start orders keep ends from being
    acknowledged, monotonic ms, None if they don't.  ``open_calls`` has when
    each acknowledgement without an answer was sent, monotonic ms, and
    ``predecessor`` is the log of the process before under the same id.
    """

    def __init__(self) -> None:
        """Start before the first end."""
        self.applied = 0
        self.forgotten = 0
        self.pending: list[PendingRecord] = []
        self.kept_since: int | None = None
        self.open_calls: list[int] = []
        self.predecessor: RunEndLog | None = None

    @property
    def acknowledged(self) -> int:
        """The number up to which all ends are recorded."""
        if not self.pending:
            return self.applied
        self.pending = [each for each in self.pending if not each.recorded]
        return min(
            (each.acknowledged for each in self.pending),
            default=self.applied,
        )

    @property
    def to_acknowledge(self) -> int:
        """
        The number of the last end to acknowledge, 0 for none.

        Each is acknowledged only until the worker has answered.  The ends of
        a process that has restarted under the same id have the same numbers,
        and it would drop them.
        """
        if self.applied <= self.forgotten:
            return 0
        number = self.acknowledged
        return number if number > self.forgotten else 0

    def confirm(self, number: int) -> None:
        """Record that the worker has answered an acknowledgement."""
        self.forgotten = max(self.forgotten, number)
        if not self.to_acknowledge:
            self.kept_since = None

    @property
    def late_until(self) -> int:
        """Until when an unanswered acknowledgement may be executed, ms."""
        own = max(self.open_calls, default=-MAX_ORDER_DELAY_MS)
        earlier = self.predecessor.late_until if self.predecessor else 0
        return max(own + MAX_ORDER_DELAY_MS, earlier)

    def may_be_dropped(self, now: int) -> bool:
        """Return whether a late call may drop the ends of this process."""
        return self.predecessor is not None and (
            now <= self.predecessor.late_until
        )

    def record_sent(self, now: int) -> None:
        """Record that an acknowledgement is sent at *now*."""
        self.open_calls = [
            sent_at
            for sent_at in self.open_calls
            if now <= sent_at + MAX_ORDER_DELAY_MS
        ]
        self.open_calls.append(now)

    def record_settled(self, sent_at: int) -> None:
        """Record that the one of *sent_at* can't be executed any more."""
        if sent_at in self.open_calls:
            self.open_calls.remove(sent_at)

    def record_kept(self, now: int, *, kept: bool) -> None:
        """Record whether ends are kept from being acknowledged at *now*."""
        since = now if self.kept_since is None else self.kept_since
        self.kept_since = since if kept else None

    def is_overdue(self, now: int) -> bool:
        """Return whether ends have been kept for too long."""
        return (
            self.kept_since is not None and now > self.kept_since + MAX_KEPT_MS
        )

    @property
    def unrecorded(self) -> bool:
        """Whether an end was applied that the store does not hold yet."""
        return self.acknowledged < self.applied

    def select_new(self, ends: Iterable[RunEnd]) -> tuple[RunEnd, ...]:
        """Return the *ends* that were not applied yet."""
        return tuple(end for end in ends if end.number > self.applied)

    def add(
        self,
        ends: Iterable[RunEnd],
        jobs: Iterable[JobProgress],
    ) -> None:
        """Add new *ends* that were applied and changed *jobs*."""
        self.pending.extend(
            PendingRecord(progress, progress.generation, self.applied)
            for progress in jobs
        )
        numbers = [end.number for end in ends]
        self.applied = max(self.applied, *numbers) if numbers else self.applied


def may_be_elsewhere(attempts: Iterable[Attempt]) -> bool:
    """
    Return whether one of the runs of a process may be at another one.

    That one has ends of its own, with the same numbers.
    """
    return any(attempt.may_be_elsewhere for attempt in attempts)
