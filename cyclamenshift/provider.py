"""
cyclamenshift.provider
======================

The base class of the clients of the VM provider.
"""

import abc
import enum
from typing import ClassVar, NamedTuple, TypeAlias

from .component import Component
from .job import Resources


class VmPhase(enum.StrEnum):
    """The phase of a VM in its lifecycle."""

    up = 'up'
    moving = 'moving'
    in_maintenance = 'maintained'
    down = 'down'


class ProvidedVm(NamedTuple):
    """A VM of any pool; ``worker_id`` is empty while it has no worker."""

    vm_id: str
    pool: str
    phase: VmPhase
    data_centre: str
    rack: str
    labels: frozenset[str]
    resources: Resources
    worker_id: str


class FencingToken(NamedTuple):
    """The holder that gives an order, and the epoch of its ownership."""

    holder: str
    epoch: int


class VmAccepted(NamedTuple):
    """The provider accepted the order, by this call or an earlier one."""


class VmRefusal(enum.StrEnum):
    """Why an order for a VM was refused."""

    fenced = 'fenced'
    #: The VM is not up, or is leaving its pool.
    busy = 'busy'
    #: The maintenance does not list the VM.
    not_listed = 'not-listed'
    #: Any other refusal.
    impossible = 'impossible'
    over_rate = 'over-rate'


class VmRefused(NamedTuple):
    """The order was refused and had no effect."""

    reason: VmRefusal


class VmUnanswered(NamedTuple):
    """
    The provider gave no usable response.

    If ``sent`` is true, the order may have been executed or may yet be.
    """

    sent: bool
    reason: str


VmResult: TypeAlias = VmAccepted | VmRefused | VmUnanswered


class VmProvider(Component):
    """Lists VMs, moves them between pools and starts their maintenance."""

    kind = 'provider'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return the VMs of all pools."""

    @abc.abstractmethod
    async def move(
        self,
        vm_id: str,
        pool: str,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Move a VM to *pool*, which ends everything that runs on it."""

    @abc.abstractmethod
    async def maintain(
        self,
        vm_id: str,
        maintenance: int,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Take a VM down for a maintenance, which ends everything on it."""
