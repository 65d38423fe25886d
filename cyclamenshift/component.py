"""
cyclamenshift.component
=======================

The base of everything that the kernel starts and stops.
"""

from typing import Any, ClassVar, Protocol, TypeAlias, TypeVar

import trio

from . import plugin
from .clock import Clock
from .logs import get_logger
from .metrics import Metrics
from .settings import Settings

ComponentType = TypeVar('ComponentType', bound='Component')

#: The JSON value that a component gives for a state dump.
Dump: TypeAlias = dict[str, Any]


class Host(Protocol):
    """What a component sees of the kernel that runs it."""

    settings: Settings
    clock: Clock
    metrics: Metrics
    draining: bool

    def get(self, base: type[ComponentType]) -> ComponentType:
        """Return the component that is a *base*."""

    def get_all(self, base: type[ComponentType]) -> list[ComponentType]:
        """Return each component that is a *base*."""

    def dump(self) -> Dump:
        """Return the state of every component by its name."""


class Component(plugin.Plugin):
    """
    A plug-in with a life: started by stage, drained in reverse.

    A graceful stop calls ``announce_leaving`` on every component, then
    ``drain``, then ``abort`` if the grace period ends first.  Then the tasks
    are cancelled.

    ``stage`` orders the start; a component may use those of lower stages.
    ``work_kinds`` lists the kinds of work that need the component: requests,
    which workers answer, or jobs, whose tasks they run.
    """

    stage: ClassVar[int]
    work_kinds: ClassVar[frozenset[str]] = frozenset(('requests', 'jobs'))

    def __init__(self, kernel: Host) -> None:
        """Keep the kernel; start nothing yet."""
        self.kernel = kernel
        self.clock = kernel.clock
        self.log = get_logger(self.name)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start, report so through *task_status*, and run till cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def announce_leaving(self) -> None:
        """Tell whoever sends work here that this process is leaving."""

    async def abort(self) -> None:
        """Settle at once what the grace period was too short for."""

    async def drain(self) -> None:
        """Accept nothing new; return when nothing is in flight."""

    def dump(self) -> Dump:
        """Return the present state as a JSON value."""
        return {}
