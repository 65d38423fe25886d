"""
cyclamenshift.scheduling.worker_session
=======================================

What a scheduler knows of one life of a worker.
"""

import trio

from ..decisions.leases import Lease
from ..worker import Worker


class WorkerSession:
    """
    One life of a worker, its lease and how it answers.

    ``surveyed`` tells whether it has reported to this scheduler, which
    also fences off orders of earlier ones.  ``registered`` tells whether
    the directory has it.
    """

    def __init__(self, worker: Worker, lease: Lease) -> None:
        """Know nothing but the registration."""
        self.worker = worker
        self.lease = lease
        self.has_reported = False
        self.registered = True
        self.closed = False
        self.acknowledged = 0
        self.misses = 0
        self.backoff_until = 0
        self.reserved_until = 0
        self.scope = trio.CancelScope()
        self.wakeup = trio.Event()

    @property
    def responsive(self) -> bool:
        """Whether the worker answered when it was asked last."""
        return self.has_reported and not self.misses

    def usable(self, now: int) -> bool:
        """Return whether new runs may start here."""
        stays = self.registered and not self.closed and not self.worker.leaving
        free = now >= max(self.backoff_until, self.reserved_until)
        return stays and self.responsive and free

    def wake(self) -> None:
        """Wake the task that keeps this worker."""
        self.wakeup.set()
        self.wakeup = trio.Event()

    def back_off(self, until: int) -> None:
        """Start nothing here before *until*, monotonic ms."""
        self.backoff_until = max(self.backoff_until, until)
