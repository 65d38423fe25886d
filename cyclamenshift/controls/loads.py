"""
cyclamenshift.controls.loads
============================

What entry VMs tell each other of their queues and views.
"""

from collections.abc import Collection, Iterator, Mapping

from ..decisions.lanes import PoolQueue
from ..model import Load
from ..peer import Payload
from ..statusmessages import Loads, Versions
from .configuration import Configuration


class PeerLoads:
    """The loads that each peer told last, by pool."""

    def __init__(self) -> None:
        """Know no load yet."""
        self.told: dict[str, dict[str, Load]] = {}

    def take(self, entry_id: str, told: Loads) -> None:
        """Keep what a peer tells."""
        loads = self.told.setdefault(entry_id, {})
        loads.update((load.pool, load) for load in told.loads)

    def forget(self, entry_id: str) -> None:
        """Drop what a peer that went has told."""
        self.told.pop(entry_id, None)

    def of(
        self,
        pool: str,
        reachable: Collection[str],
    ) -> Iterator[tuple[str, Load]]:
        """Yield the loads of *pool* at the *reachable* peers."""
        for entry_id, loads in self.told.items():
            if entry_id in reachable and pool in loads:
                yield entry_id, loads[pool]


class News:
    """Tells one connection what has changed since it was last called."""

    def __init__(
        self,
        configuration: Configuration,
        queues: Mapping[str, PoolQueue],
    ) -> None:
        """Have told nothing yet."""
        self.configuration = configuration
        self.queues = queues
        self.loads: dict[str, Load] = {}
        self.versions = Versions(0, 0)

    def __call__(self) -> tuple[Payload, ...]:
        """Return the loads and versions that have changed."""
        news: list[Payload] = []
        loads = self._changed_loads()
        if loads:
            news.append(Loads(loads))
        versions = Versions(
            self.configuration.number,
            self.configuration.changes_version,
        )
        if versions != self.versions:
            self.versions = versions
            news.append(versions)
        return tuple(news)

    def _changed_loads(self) -> tuple[Load, ...]:
        now = self.configuration.clock.now()
        loads = [queue.load(now) for queue in self.queues.values()]
        changed = tuple(
            load for load in loads if self.loads.get(load.pool) != load
        )
        self.loads.update((load.pool, load) for load in changed)
        return changed
