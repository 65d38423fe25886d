"""
cyclamenshift.component
=======================

The base class of everything that the kernel starts and stops.
"""

from typing import Any, ClassVar, Protocol, TypeAlias, TypeVar

import trio

from . import plugin
from .clock import Clock
from .logs import get_logger
from .metrics import Metrics
from .settings import Settings

ComponentType = TypeVar('ComponentType', bound='Component')

#: The state of a component in a state dump, a JSON object.
Dump: TypeAlias = dict[str, Any]


class Host(Protocol):
    """The interface of the kernel to its components."""

    settings: Settings
    clock: Clock
    metrics: Metrics
    draining: bool

    def get(self, base: type[ComponentType]) -> ComponentType:
        """Return the first component that is an instance of *base*."""

    def get_all(self, base: type[ComponentType]) -> list[ComponentType]:
        """Return all components that are instances of *base*."""

    def dump(self) -> Dump:
        """Return the state of every component by its name."""


class Component(plugin.Plugin):
    """
    A plug-in that the kernel starts by stage and drains in reverse order.

    A graceful stop calls ``announce_leaving`` on every component, then
    ``drain``, then ``abort`` if the grace period ends first.  Then the tasks
    are cancelled.

    ``stage`` sets the start order; a component may depend on components of
    lower stages.  ``work_kinds`` lists the kinds of work that need the
    component: requests, which workers answer, or jobs, whose tasks they run.
    """

    stage: ClassVar[int]
    work_kinds: ClassVar[frozenset[str]] = frozenset(('requests', 'jobs'))

    def __init__(self, kernel: Host) -> None:
        """Bind the component to *kernel*; ``run`` starts it."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.log = get_logger(self.name)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start, signal this on *task_status*, and run until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def announce_leaving(self) -> None:
        """Notify the senders of work that this process is leaving."""

    async def abort(self) -> None:
        """End the work that is still in flight after the grace period."""

    async def drain(self) -> None:
        """Stop accepting work and return when none is in flight."""

    def dump(self) -> Dump:
        """Return the current state for a state dump."""
        return {}
