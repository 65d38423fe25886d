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
        self.surveyed = False
        self.registered = True
        self.gone = False
        self.acknowledged = 0
        self.misses = 0
        self.shunned_until = 0
        self.reserved_until = 0
        self.scope = trio.CancelScope()
        self.wanted = trio.Event()

    @property
    def answers(self) -> bool:
        """Whether the worker answered when it was asked last."""
        return self.surveyed and not self.misses

    def usable(self, now: int) -> bool:
        """Return whether new runs may start here."""
        stays = self.registered and not self.gone and not self.worker.leaving
        free = now >= max(self.shunned_until, self.reserved_until)
        return stays and self.answers and free

    def want(self) -> None:
        """Wake the task that keeps this worker."""
        self.wanted.set()
        self.wanted = trio.Event()

    def shun(self, until: int) -> None:
        """Start nothing here before *until*, monotonic ms."""
        self.shunned_until = max(self.shunned_until, until)
