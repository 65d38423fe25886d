"""
cyclamenshift.provider
======================

The base of the clients of whoever provides the VMs.
"""

import abc
import enum
from typing import ClassVar, NamedTuple, TypeAlias

from .component import Component
from .job import Resources


class VmPhase(enum.StrEnum):
    """What a VM is doing."""

    up = 'up'
    moving = 'moving'
    in_maintenance = 'maintained'
    down = 'down'


class ProvidedVm(NamedTuple):
    """A VM of any pool; ``worker_id`` is empty while it runs none."""

    vm_id: str
    pool: str
    phase: VmPhase
    data_centre: str
    rack: str
    labels: frozenset[str]
    resources: Resources
    worker_id: str


class FencingToken(NamedTuple):
    """Who gives an order, and the epoch that it was given in."""

    holder: str
    epoch: int


class VmAccepted(NamedTuple):
    """The order was carried out, now or before."""


class VmRefusal(enum.StrEnum):
    """Why an order for a VM was refused."""

    fenced = 'fenced'
    #: The VM is not up, or is leaving.
    busy = 'busy'
    #: The VM is not part of that maintenance.
    not_listed = 'not-listed'
    impossible = 'impossible'
    over_rate = 'over-rate'


class VmRefused(NamedTuple):
    """Nothing was done."""

    reason: VmRefusal


class VmUnanswered(NamedTuple):
    """It may have been done, or may be later."""

    sent: bool
    reason: str


VmResult: TypeAlias = VmAccepted | VmRefused | VmUnanswered


class VmProvider(Component):
    """Lists VMs, moves them between pools and has them maintained."""

    kind = 'provider'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return every VM."""

    @abc.abstractmethod
    async def move(
        self,
        vm_id: str,
        pool: str,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Move a VM to *pool*; whatever runs on it ends at once."""

    @abc.abstractmethod
    async def maintain(
        self,
        vm_id: str,
        maintenance: int,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Take a VM down for a maintenance; what runs on it ends at once."""
