"""
cyclamenshift.worker
====================

The base class of the worker clients, and the orders that workers accept.

Workers run tasks under leases, which the scheduler of a service renews.
"""

import abc
import enum
from typing import ClassVar, NamedTuple, TypeAlias

from .component import Component
from .http1 import Address
from .job import Resources, RunEnd, RunId, RunStatus


class Worker(NamedTuple):
    """
    A worker process on a VM, as it registered itself.

    ``started_at`` is in ms since the epoch; a worker that restarts under
    the same id registers with a new one.  ``rack`` is its failure domain.
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
        """The id and the start time, which identify the process uniquely."""
        return (self.worker_id, self.started_at)


class StartOrder(NamedTuple):
    """
    The order to start a run.

    The order expires at ``expires`` on the worker's clock, ms; the worker's
    lease lasts at least until then.  ``fence`` is the scheduler's epoch, by
    which the worker rejects orders of earlier schedulers.  ``ticket`` comes
    from the placement adviser; it is empty if none was asked.
    """

    run: RunId
    spec: str
    expires: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class LeaseRenewal(NamedTuple):
    """
    The order to renew a worker's lease and to report its runs.

    ``expires`` is the new end of the lease on the worker's clock, ms, or 0
    to leave the lease unchanged.  ``acknowledged`` is the number of the
    last run end that the scheduler has recorded.  The worker responds as
    soon as a run ends, and after ``wait`` ms at the latest.
    """

    expires: int
    fence: int
    acknowledged: int
    wait: int


class Throttle(NamedTuple):
    """The order to limit a run to ``percent`` of its full speed."""

    run: RunId
    percent: int
    fence: int


class WorkerReport(NamedTuple):
    """
    A worker's report of its runs.

    ``clock`` is the time on the worker's clock, ms.  ``complete`` is false
    if there are more ends to report than fit into one report.
    """

    clock: int
    started_at: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    complete: bool = True


class Accepted(NamedTuple):
    """
    The worker accepted the order; ``clock`` is its clock, ms.

    ``receiver`` is the start time of the process that accepted it, None if
    unknown.
    """

    clock: int
    receiver: int | None = None


class RefusalReason(enum.StrEnum):
    """Why a worker refused an order."""

    #: The worker has seen an order of a higher epoch.
    fenced = 'fenced'
    #: A run of this task with the same or a higher number ended here.
    stale_run = 'stale-run'
    #: The order had expired.
    expired = 'expired'
    no_capacity = 'no-room'
    no_ticket = 'no-ticket'
    #: No such task was submitted.
    unknown_task = 'unknown-task'
    #: Any other refusal, for example because the worker is unhealthy.
    unhealthy = 'unhealthy'
    #: Another worker instance uses the address now.
    replaced = 'replaced'


class Refused(NamedTuple):
    """The worker refused the order; it had no effect."""

    reason: RefusalReason


class Unanswered(NamedTuple):
    """
    The worker gave no usable response.

    If ``sent`` is true, the order may have been executed or may yet be
    executed, even after orders that were given later.  ``refused`` is whether
    the host refused the connection.  ``receiver`` is the start time of the
    only process that can execute the order, None if unknown.
    """

    sent: bool
    reason: str
    refused: bool = False
    receiver: int | None = None


OrderResult: TypeAlias = Accepted | Refused | Unanswered


class WorkerClient(Component):
    """Sends orders to workers; each call is a single attempt."""

    kind = 'worker'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def start(self, worker: Worker, order: StartOrder) -> OrderResult:
        """Start a run at *worker*; idempotent while the run is active."""

    @abc.abstractmethod
    async def stop(
        self,
        worker: Worker,
        run: RunId,
        fence: int,
    ) -> OrderResult:
        """
        Stop a run at *worker*.

        A run that the worker has not started can't start there any more.
        """

    @abc.abstractmethod
    async def renew(
        self,
        worker: Worker,
        order: LeaseRenewal,
    ) -> WorkerReport | Refused | Unanswered:
        """Renew the lease that covers all runs at *worker*."""

    @abc.abstractmethod
    async def throttle(self, worker: Worker, order: Throttle) -> OrderResult:
        """Change the speed limit of a run at *worker*."""
