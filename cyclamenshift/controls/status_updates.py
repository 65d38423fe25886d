"""
cyclamenshift.controls.status_updates
=====================================

The status updates of entry VMs: their queue loads and versions.
"""

from collections.abc import Collection, Iterator, Mapping

from ..decisions.pool_queue import PoolQueue
from ..model import Load
from ..peer import Payload
from ..statusmessages import Loads, Versions
from .configuration import Configuration


class PeerLoads:
    """The latest loads reported by each peer, by pool."""

    def __init__(self) -> None:
        """Start without loads."""
        self.by_peer: dict[str, dict[str, Load]] = {}

    def record(self, entry_id: str, message: Loads) -> None:
        """Record the loads that a peer reports."""
        loads = self.by_peer.setdefault(entry_id, {})
        loads.update((load.pool, load) for load in message.loads)

    def forget(self, entry_id: str) -> None:
        """Remove the loads of a peer that is gone."""
        self.by_peer.pop(entry_id, None)

    def of_pool(
        self,
        pool: str,
        reachable: Collection[str],
    ) -> Iterator[tuple[str, Load]]:
        """Yield the loads of *pool* at the *reachable* peers."""
        for entry_id, loads in self.by_peer.items():
            if entry_id in reachable and pool in loads:
                yield entry_id, loads[pool]


class StatusReporter:
    """Reports on one connection what changed since the last report."""

    def __init__(
        self,
        configuration: Configuration,
        queues: Mapping[str, PoolQueue],
    ) -> None:
        """Start with nothing reported."""
        self.configuration = configuration
        self.queues = queues
        self.sent_loads: dict[str, Load] = {}
        self.sent_versions = Versions(0, 0)

    def __call__(self) -> tuple[Payload, ...]:
        """Return the loads and versions that changed."""
        changes: list[Payload] = []
        loads = self._changed_loads()
        if loads:
            changes.append(Loads(loads))
        versions = Versions(
            self.configuration.number,
            self.configuration.changes_version,
        )
        if versions != self.sent_versions:
            self.sent_versions = versions
            changes.append(versions)
        return tuple(changes)

    def _changed_loads(self) -> tuple[Load, ...]:
        now = self.configuration.clock.now()
        loads = [queue.load(now) for queue in self.queues.values()]
        changed = tuple(
            load for load in loads if self.sent_loads.get(load.pool) != load
        )
        self.sent_loads.update((load.pool, load) for load in changed)
        return changed
