"""
cyclamenshift.directory
=======================

The base of what tells the configuration of queues, and the live workers.
"""

import abc
from collections.abc import Mapping
from typing import ClassVar, NamedTuple

from .component import Component
from .job import JobState
from .worker import Worker


class AdviserCosts(NamedTuple):
    """
    What asking the placement adviser costs.

    ``decision`` and ``each`` are ms for a call and for each worker named;
    ``validity`` is how long a ticket holds, ms.
    """

    call_ms: int
    per_worker_ms: int
    ticket_validity_ms: int


class Queue(NamedTuple):
    """
    A queue of jobs, reached by host and path prefix.

    ``priority`` 0 comes first.  A job should be done within ``stretch``
    times its longest chain of work and ``allowance`` ms more.
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


class Service(NamedTuple):
    """
    A service, which has a pool of VMs of the same name.

    The VMs of a ``spare`` pool are off.  Workers that are not ``guarded``
    start whatever they are told to, room or not.
    """

    name: str
    spare: bool
    rejects_overload: bool


class Catalog(NamedTuple):
    """A configuration of queues and services."""

    version: int
    queues: Mapping[str, Queue]
    services: Mapping[str, Service]
    body_limit: int


class Maintenance(NamedTuple):
    """
    An operator's request to maintain VMs, all within ``period`` ms.

    At most ``limit`` of them may be down for it at a time.
    """

    number: int
    vm_ids: tuple[str, ...]
    period: int
    limit: int


class Directory(Component):
    """
    Follows the configuration, the workers and the operators' requests.

    The configuration never goes back to an older version.
    """

    kind = 'directory'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 6

    @property
    @abc.abstractmethod
    def catalog(self) -> Catalog | None:
        """The configuration in force, None before the first."""

    @property
    @abc.abstractmethod
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers by id, while ``watch`` is held."""

    @property
    @abc.abstractmethod
    def maintenances(self) -> Mapping[int, Maintenance]:
        """The requests for maintenance by number."""

    @abc.abstractmethod
    async def changed(self) -> None:
        """Wait until any of these has changed."""

    @abc.abstractmethod
    def watch(self, name: str, *, wanted: bool) -> None:
        """Follow the workers while anybody, by *name*, wants them."""

    @abc.abstractmethod
    async def publish_maintenance(
        self,
        maintenance: int,
        state: JobState,
    ) -> bool:
        """Tell operators how a maintenance stands; return if it was told."""
