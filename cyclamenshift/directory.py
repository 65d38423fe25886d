"""
cyclamenshift.directory
=======================

The base class of the directory: queues, services, workers, maintenances.
"""

import abc
from collections.abc import Mapping
from typing import ClassVar, Final, NamedTuple

from .component import Component
from .job import NO_RESOURCES, JobState, Resources
from .worker import Worker


class AdviserCosts(NamedTuple):
    """
    The cost of asking the placement adviser.

    A decision takes ``call_ms`` and ``per_worker_ms`` for each worker that
    is offered; its ticket is valid for ``ticket_validity_ms``.
    """

    call_ms: int
    per_worker_ms: int
    ticket_validity_ms: int


class Queue(NamedTuple):
    """
    A queue of jobs, addressed by host and path prefix.

    ``priority`` 0 is the highest.  A job fails once one of its tasks has
    failed ``attempts`` times.  The target duration of a job is ``stretch``
    times the length of its critical path, plus ``allowance`` ms.  A queue
    with ``open_access`` serves callers without an access key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    allowance: int
    advice: AdviserCosts | None = None
    open_access: bool = True


class Account(NamedTuple):
    """
    A client account, whose access keys are kept as digests.

    ``priority`` 0 is the highest.  When capacity is insufficient, the account
    is entitled to ``weight`` jobs a second.  ``limit`` bounds the resources
    of all its running tasks; 0 of a resource stands for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int = 0
    weight: float = 1
    limit: Resources = NO_RESOURCES


class Service(NamedTuple):
    """
    A service, whose pool of VMs has the same name.

    The VMs of a ``spare`` pool are off.  Unless ``rejects_overload`` is
    true, its workers start runs even if they lack the resources for them.
    """

    name: str
    spare: bool
    rejects_overload: bool


#: The accounts of a configuration without any; all its queues are open.
NO_ACCOUNTS: Final[Mapping[str, Account]] = {}


class Catalog(NamedTuple):
    """One version of the configuration of queues, services and accounts."""

    version: int
    queues: Mapping[str, Queue]
    services: Mapping[str, Service]
    body_limit: int
    accounts: Mapping[str, Account] = NO_ACCOUNTS


class Maintenance(NamedTuple):
    """
    An operator's request to maintain VMs within ``period`` ms.

    At most ``limit`` of them may be down for it at the same time.
    """

    number: int
    vm_ids: tuple[str, ...]
    period: int
    limit: int


class Directory(Component):
    """
    Keeps track of the configuration, the workers and the maintenances.

    The configuration never reverts to an older version.
    """

    kind = 'directory'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 6

    @property
    @abc.abstractmethod
    def catalog(self) -> Catalog | None:
        """The active configuration, None before the first is read."""

    @property
    @abc.abstractmethod
    def catalog_age(self) -> int:
        """How long ago the configuration was last known to be current, ms."""

    @property
    @abc.abstractmethod
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers by id, kept current while watched."""

    @property
    @abc.abstractmethod
    def workers_age(self) -> int:
        """How long ago the workers were last known to be current, ms."""

    @property
    @abc.abstractmethod
    def maintenances(self) -> Mapping[int, Maintenance]:
        """The requested maintenances by number."""

    @abc.abstractmethod
    async def wait_until_current(self, age: int, wait: int) -> bool:
        """
        Wait until the configuration was confirmed at most *age* ms ago.

        A newer one may exist that was stored since it was last confirmed.
        Returns False if it takes longer than *wait* ms.
        """

    @abc.abstractmethod
    async def wait_for_change(self) -> None:
        """Wait until the catalog, the workers or the maintenances change."""

    @abc.abstractmethod
    def watch_workers(self, name: str, *, wanted: bool) -> None:
        """Register or remove *name* as a watcher of the workers."""

    @abc.abstractmethod
    async def publish_maintenance(
        self,
        maintenance: int,
        state: JobState,
    ) -> bool:
        """Publish the state of a maintenance; return whether it succeeded."""
