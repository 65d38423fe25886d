"""
tests.standins.platform
=======================

The platform behind all entry VMs of a test: configuration, workers and VMs.
"""

import abc
import enum
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import trio

from cyclamenshift.directory import Catalog, Directory, Maintenance
from cyclamenshift.job import JobState
from cyclamenshift.provider import (
    FencingToken,
    ProvidedVm,
    VmAccepted,
    VmPhase,
    VmProvider,
    VmRefusal,
    VmRefused,
    VmResult,
    VmUnanswered,
)
from cyclamenshift.worker import Worker

from ..builders import catalog
from .sim_worker import now_ms

#: The duration of a call of the platform, ms.
PLATFORM_CALL_MS = 4
#: The time after which a call of the platform fails without an answer, ms.
PLATFORM_TIMEOUT_MS = 1_500
#: How long after an order it is carried out if it is late, ms.
LATE_MS = 4_000


class Outage(enum.Enum):
    """How the provider of the VMs fails."""

    none = enum.auto()
    #: It refuses all calls at once.
    busy = enum.auto()
    #: It answers nothing, and carries nothing out.
    silent = enum.auto()
    #: It carries orders out, and answers nothing.
    lost = enum.auto()
    #: The same, but it carries them out after ``LATE_MS``.
    late = enum.auto()


class VmOrder(NamedTuple):
    """
    An order to move or maintain a VM.

    ``accepted_at`` is the time in ms, 0 if it was refused.
    """

    vm_id: str
    pool: str
    maintenance: int
    fencing_token: FencingToken
    accepted_at: int


class SharedPlatform:
    """
    The data behind all fakes of the platform, with the orders given.

    The directories know the workers as of ``workers_age`` ms ago, and the
    configuration as of ``catalog_age``.  The VMs in
    ``leaving`` are listed as up, but refuse orders as busy.  The
    next ``lost_orders`` orders get no answer and have no effect.  The provider
    of the VMs fails as ``outage`` tells.  ``on_order`` is called with each
    order before it is carried out.
    """

    def __init__(self) -> None:
        """Start with two services and a spare pool, and without VMs."""
        self.catalog: Catalog | None = catalog()
        self.workers: dict[str, Worker] = {}
        self.workers_age = 0
        self.catalog_age = 0
        self.maintenances: dict[int, Maintenance] = {}
        self.vms: dict[str, ProvidedVm] = {}
        self.published: dict[int, JobState] = {}
        self.orders: list[VmOrder] = []
        self.refused_orders: list[VmOrder] = []
        self.leaving: set[str] = set()
        self.lost_orders = 0
        self.outage = Outage.none
        self.on_order: Callable[[VmOrder], None] = _do_nothing
        self.changed = trio.Event()

    def notify_change(self) -> None:
        """Wake the tasks that wait for a change of a directory."""
        self.changed.set()
        self.changed = trio.Event()


class FakeDirectory(Directory):
    """A directory with the data of the shared platform."""

    name = 'fake'
    platform: SharedPlatform

    @property
    def catalog(self) -> Catalog | None:
        """The configuration of the platform."""
        return self.platform.catalog

    @property
    def workers(self) -> Mapping[str, Worker]:
        """The registered workers, by worker id."""
        return self.platform.workers

    @property
    def workers_age(self) -> int:
        """How old the registrations are, ms."""
        return self.platform.workers_age

    @property
    def maintenances(self) -> Mapping[int, Maintenance]:
        """The maintenance requests, by number."""
        return self.platform.maintenances

    @property
    def catalog_age(self) -> int:
        """The configuration is always current unless a test sets its age."""
        return self.platform.catalog_age

    async def wait_until_current(self, age: int, wait: int) -> bool:
        """Return at once, as the configuration is always the newest."""
        return True

    async def wait_for_change(self) -> None:
        """Wait until the data of the platform change."""
        await self.platform.changed.wait()

    def watch_workers(self, name: str, *, wanted: bool) -> None:
        """Do nothing, as all workers are always known."""

    async def publish_maintenance(
        self,
        maintenance: int,
        state: JobState,
    ) -> bool:
        """Store the published state."""
        self.platform.published[maintenance] = state
        return True


class FakeVmProvider(VmProvider):
    """Moves and maintains the VMs of the shared platform."""

    name = 'fake'

    platform: SharedPlatform

    nursery: trio.Nursery

    @abc.abstractmethod
    async def take_down(self, order: VmOrder) -> None:
        """Carry out an order, which takes some time."""

    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return the VMs of the platform."""
        await self.clock.sleep(PLATFORM_CALL_MS)
        return await self._fail() or list(self.platform.vms.values())

    async def move(
        self,
        vm_id: str,
        pool: str,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Move a VM to *pool*, where its worker restarts."""
        return await self._order(VmOrder(vm_id, pool, 0, fencing_token, 0))

    async def maintain(
        self,
        vm_id: str,
        maintenance: int,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Maintain a VM, whose worker restarts after that."""
        return await self._order(
            VmOrder(vm_id, '', maintenance, fencing_token, 0),
        )

    async def _order(self, order: VmOrder) -> VmResult:
        await self.clock.sleep(PLATFORM_CALL_MS)
        platform = self.platform
        if platform.outage is Outage.lost:
            self._carry_out(order)
        elif platform.outage is Outage.late:
            self.nursery.start_soon(self._carry_out_late, order)
        unanswered = await self._fail()
        if unanswered:
            return unanswered
        if platform.lost_orders:
            platform.lost_orders -= 1
            return VmUnanswered(sent=True, reason='lost')
        return self._carry_out(order)

    async def _fail(self) -> VmUnanswered | None:
        """Return the failure of a call, None if there is no outage."""
        outage = self.platform.outage
        if outage is Outage.none:
            return None
        if outage is Outage.busy:
            return VmUnanswered(sent=False, reason='busy')
        await self.clock.sleep(PLATFORM_TIMEOUT_MS)
        return VmUnanswered(sent=True, reason='no answer')

    async def _carry_out_late(self, order: VmOrder) -> None:
        await self.clock.sleep(LATE_MS)
        self._carry_out(order)

    def _carry_out(self, order: VmOrder) -> VmResult:
        platform = self.platform
        vm = platform.vms.get(order.vm_id)
        if vm is None:
            return VmRefused(VmRefusal.impossible)
        if _is_done(order, vm, platform.orders):
            return VmAccepted()
        if vm.phase is not VmPhase.up or order.vm_id in platform.leaving:
            platform.refused_orders.append(order)
            return VmRefused(VmRefusal.busy)
        platform.on_order(order)
        platform.orders.append(order._replace(accepted_at=now_ms()))
        self.nursery.start_soon(self.take_down, order)
        return VmAccepted()


def _do_nothing(order: VmOrder) -> None:
    """Let an order pass, as a test without a check does."""


def _is_done(order: VmOrder, vm: ProvidedVm, orders: Iterable[VmOrder]) -> bool:
    """Return whether an order was carried out before."""
    if order.maintenance:
        return any(
            (earlier.vm_id, earlier.maintenance)
            == (order.vm_id, order.maintenance)
            for earlier in orders
        )
    return vm.pool == order.pool
