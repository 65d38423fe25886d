"""
cyclamenshift.decisions.overload.pool_health
============================================

The states of the workers of a pool, and how many of them may be ejected.
"""

import math
from collections.abc import Collection
from typing import Final

from ..progress import WorkerInstance
from .failures import Evidence, PoolRate
from .worker_states import HealthChange, HealthState, WorkerRecord

#: How long a suspicion lasts without new evidence, ms.
SUSPICION_MS: Final = 10_000
#: Only one of that many workers of a pool may be ejected at a time.
EJECT_DIVISOR: Final = 4


class PoolHealth:
    """
    The workers of one pool, with the changes of their states.

    ``pool_rate`` is how often runs fail at its healthy workers.
    """

    def __init__(self) -> None:
        """Start without workers; ``retain`` tells of them."""
        self.workers: dict[WorkerInstance, WorkerRecord] = {}
        self.pool_rate = PoolRate()
        self.ejected: set[WorkerInstance] = set()
        self.changes: list[HealthChange] = []

    @property
    def quota(self) -> int:
        """How many workers may be ejected at a time."""
        return len(self.workers) // EJECT_DIVISOR

    def retain(self, instances: Collection[WorkerInstance], now: int) -> None:
        """Set the workers of the pool; new ones are healthy."""
        for gone in self.workers.keys() - instances:
            self.workers.pop(gone)
            self.ejected.discard(gone)
        for instance in instances:
            if instance not in self.workers:
                self.workers[instance] = WorkerRecord(instance)
        surplus = len(self.ejected) - self.quota
        for instance in sorted(self.ejected)[: max(0, surplus)]:
            worker = self.workers[instance]
            worker.probe = None
            worker.until = now + SUSPICION_MS
            self.change(worker, HealthState.suspected, 'pool has shrunk')

    def take_changes(self) -> list[HealthChange]:
        """Return the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def readmit(self, worker: WorkerRecord, reason: str, now: int) -> None:
        """Make a worker healthy, without any evidence."""
        self.change(worker, HealthState.healthy, reason)
        worker.forget(now)

    def weigh(self, worker: WorkerRecord) -> Evidence:
        """Return what the recent ends at a worker say about it."""
        pool_rate = self.pool_rate.without(worker.ends)
        return worker.ends.weigh(pool_rate, self.ejected)

    def change(
        self, worker: WorkerRecord, state: HealthState, reason: str
    ) -> None:
        """Set the state of a worker, with the evidence for its log line."""
        worker.state = state
        instance = worker.ends.instance
        if worker.ejected:
            self.ejected.add(instance)
        else:
            self.ejected.discard(instance)
        evidence = self.weigh(worker)
        self.changes.append(
            HealthChange(
                instance,
                state,
                reason,
                evidence.failures,
                evidence.steps,
                math.exp(worker.slowness.measure()),
                self.pool_rate.without(worker.ends),
            )
        )
