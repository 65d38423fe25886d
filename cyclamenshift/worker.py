"""
cyclamenshift.worker
====================

The base of the clients of workers, which run tasks under leases.
"""

import abc
import enum
from typing import ClassVar, NamedTuple, TypeAlias

from .component import Component
from .http1 import Address
from .job import Resources, RunEnd, RunId, RunStatus


class Worker(NamedTuple):
    """
    One life of the worker process on a VM, as it registered itself.

    ``born`` is its start, ms since the epoch; a worker that starts again
    under its id has another.  ``rack`` is its failure domain.
    """

    worker_id: str
    service: str
    address: Address
    vm_id: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    resources: Resources
    started_at: int
    leaving: bool

    @property
    def instance(self) -> tuple[str, int]:
        """What no other process has: the id and the start."""
        return (self.worker_id, self.started_at)


class StartOrder(NamedTuple):
    """
    The order to start a run.

    ``expires`` is on the worker's clock, ms: the order is void after it,
    and the worker's lease lasts at least until then.  ``fence`` is the
    scheduler's epoch.  ``ticket`` is from the placement adviser, if asked.
    """

    run: RunId
    spec: str
    expires: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class LeaseRenewal(NamedTuple):
    """
    The order to renew a worker's lease, and to report.

    ``expires`` is on the worker's clock, ms, 0 to leave the lease as it is.
    ``acknowledged`` is the number of the last end that is recorded.  The
    worker answers after ``wait`` ms at the latest, sooner with an end.
    """

    expires: int
    fence: int
    acknowledged: int
    wait: int


class Throttle(NamedTuple):
    """The order to run a task at ``percent`` of its speed."""

    run: RunId
    percent: int
    fence: int


class WorkerReport(NamedTuple):
    """
    What a worker says of its runs; ``clock`` is its own, ms.

    ``whole`` is false where more ends wait than one report holds.
    """

    clock: int
    started_at: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    complete: bool = True


class Accepted(NamedTuple):
    """The order was carried out; ``clock`` is the worker's, ms."""

    clock: int


class RefusalReason(enum.StrEnum):
    """Why a worker refused an order, and did nothing."""

    #: It has seen a higher epoch.
    fenced = 'fenced'
    #: The run is not above one that ended or was stopped here.
    stale_run = 'stale-run'
    #: The order had expired.
    expired = 'expired'
    no_capacity = 'no-room'
    no_ticket = 'no-ticket'
    #: Nobody handed in such a task.
    unknown_task = 'unknown-task'
    unhealthy = 'unhealthy'
    #: The address belongs to another life of a worker now.
    replaced = 'replaced'


class Refused(NamedTuple):
    """The worker did nothing."""

    reason: RefusalReason


class Unanswered(NamedTuple):
    """
    No answer came.

    Unless ``sent`` is false the order may have been carried out, or may
    be, even after later ones.
    """

    sent: bool
    reason: str


OrderResult: TypeAlias = Accepted | Refused | Unanswered


class WorkerClient(Component):
    """Gives orders to workers, one attempt at a time."""

    kind = 'worker'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Let *worker* start a run; a run that is there already is fine."""

    @abc.abstractmethod
    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """
        Let *worker* stop a run.

        A run that is not there yet can't start there any more.
        """

    @abc.abstractmethod
    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease of everything that runs at *worker*."""

    @abc.abstractmethod
    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Let *worker* run a task slower, or faster again."""
