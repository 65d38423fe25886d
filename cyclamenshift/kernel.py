"""
cyclamenshift.kernel
====================

Starts the components that the settings name, and stops them gracefully.
"""

from collections import Counter
from collections.abc import Sequence

import trio

from . import logs, plugin
from .clock import Clock
from .component import Component, ComponentType, Dump
from .metrics import Metrics
from .settings import Settings

#: The packages whose modules register the plug-ins of this project.
FAMILIES = (
    'sources',
    'stores',
    'endpoints',
    'peers',
    'controls',
    'duties',
    'frontends',
    'platform',
)

#: How often what a slow reader of the log had not taken is written, ms.
FLUSH_MS = 500

log = logs.get_logger('kernel')


class Kernel:
    """
    The process: its settings, clock, metrics and components.

    Components find each other through ``get``; none is global.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Keep *settings* and *clock*; components are added next."""
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.components: list[Component] = []
        self.stop_asked = trio.Event()
        self.hurry_asked = trio.Event()
        self.draining = False

    def add(self, member: type[Component]) -> None:
        """Create the component *member*; it starts after those before."""
        self.components.append(member(self))

    def get(self, base: type[ComponentType]) -> ComponentType:
        """Return the component that is a *base*."""
        found = self.get_all(base)
        if not found:
            raise LookupError(base.__qualname__)
        return found[0]

    def get_all(self, base: type[ComponentType]) -> list[ComponentType]:
        """Return each component that is a *base*."""
        return [
            component
            for component in self.components
            if isinstance(component, base)
        ]

    def stop(self) -> None:
        """Ask for the graceful stop; asked again, end the grace period."""
        if self.stop_asked.is_set():
            self.hurry_asked.set()
        self.stop_asked.set()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run every component until a stop is asked for, then drain."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._flush_logs)
            for component in self.components:
                await nursery.start(component.run)
            log.note(
                'Started.',
                entry=self.settings['entry']['id'],
                work=self.settings['entry']['work'],
            )
            task_status.started()
            await self.stop_asked.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        log.note('Stopped.')

    def dump(self) -> Dump:
        """Return the state of every component, by its name if no other has."""
        names = Counter(component.name for component in self.components)
        return {
            _title(component, names): component.dump()
            for component in self.components
        }

    async def _flush_logs(self) -> None:
        while True:
            await self.clock.sleep(FLUSH_MS)
            logs.flush()

    async def _drain(self) -> None:
        self.draining = True
        grace = self.settings['entry']['grace']
        log.note('Stopping.', grace_ms=grace)
        with self.clock.move_on_after(grace) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_hurried, scope)
                await self._drain_components()
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            log.warning('The grace period ended with work in flight.')
            for component in reversed(self.components):
                await component.abort()

    async def _drain_components(self) -> None:
        for announcing in self.components:
            await announcing.announce_leaving()
        for component in reversed(self.components):
            await component.drain()

    async def _cancel_when_hurried(self, scope: trio.CancelScope) -> None:
        await self.hurry_asked.wait()
        scope.cancel()


def _title(component: Component, names: Counter[str]) -> str:
    if names[component.name] == 1:
        return component.name
    return f'{component.kind}.{component.name}'


def load_families() -> None:
    """Import every family, so that all plug-ins are registered."""
    for family in FAMILIES:
        plugin.load_family(f'{__package__}.{family}')
    plugin.load_entry_points()


def build(
    settings: Settings,
    clock: Clock,
    members: Sequence[type[Component]],
) -> Kernel:
    """Return a kernel with one component of each class in *members*."""
    kernel = Kernel(settings, clock)
    for member in sorted(members, key=_stage_of):
        kernel.add(member)
    return kernel


def _stage_of(component: type[Component]) -> int:
    return component.stage
