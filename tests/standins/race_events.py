"""
tests.standins.race_events
==========================

The events of scripts that run on virtual time over whole entry VMs.
"""

from typing import NamedTuple

import trio

from cyclamenshift.job import Job

from .account_watch import AccountWatch
from .jobs import JobCluster

#: For how long a limit of an account may be in force after the next one, ms:
#: as long as orders are delayed.
LIMIT_GRACE_MS = 5_000
#: How often the runs are checked, s.
CHECK_INTERVAL_S = 0.02


class Submit(NamedTuple):
    """A caller submits a job."""


class KillOwner(NamedTuple):
    """The entry VM that owns the service dies."""


class CrashOwnerHost(NamedTuple):
    """The host of the owner of the service is lost without a sign."""


class StopOwner(NamedTuple):
    """The entry VM that owns the service is stopped gracefully."""


class RestartKilled(NamedTuple):
    """Killed entry VMs start again."""


class DisconnectOwnerFromStore(NamedTuple):
    """The store refuses the owner's calls."""


class DisconnectOwnerFromPeers(NamedTuple):
    """The owner loses all its peers."""


class StoreOutage(NamedTuple):
    """No entry VM reaches the store for a while."""

    duration_ms: int


class LoseCommitAnswers(NamedTuple):
    """Transactions are committed, but their answers are lost."""

    lost_count: int


class LoseOrderAnswers(NamedTuple):
    """Workers carry out orders, but their answers are lost."""

    lost_count: int


class DelayOrders(NamedTuple):
    """Workers carry out a start order late."""

    delay_ms: int


class PartitionWorker(NamedTuple):
    """A worker keeps running, but no entry VM reaches it."""


class CrashWorker(NamedTuple):
    """A worker crashes, and a new VM replaces its VM."""


class ClearFaults(NamedTuple):
    """The faults of the store and the workers end."""


class Scenario:
    """A running script: the cluster, and the jobs that were accepted."""

    def __init__(self, cluster: JobCluster) -> None:
        """Start without an accepted job or a killed entry VM."""
        self.cluster = cluster
        self.accepted: list[Job] = []
        self.submitted_count = 0
        self.killed: list[str] = []
        self.violations: list[str] = []
        self.watch = AccountWatch(cluster, LIMIT_GRACE_MS)

    def owner(self) -> str | None:
        """Return the entry VM that schedules the service, if there is one."""
        owners = [
            entry_id
            for entry_id, entry in self.cluster.entries.items()
            if 'desk' in entry.scheduler.schedulers
        ]
        return owners[0] if owners else None

    def workers(self) -> list[str]:
        """Return the workers of the service."""
        registered = self.cluster.platform.workers.values()
        return sorted(
            each.worker_id for each in registered if each.service == 'desk'
        )

    async def watch_for_violations(self) -> None:
        """Check the runs of all workers until cancelled or a check fails."""
        while not self.violations:
            self.cluster.workers.advance()
            self.violations = [
                *self.cluster.workers.find_violations(),
                *self.watch.exceeded,
            ]
            await trio.sleep(CHECK_INTERVAL_S)
