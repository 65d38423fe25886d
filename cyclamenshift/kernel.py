"""
cyclamenshift.kernel
====================

Runs the components that the settings select and stops them gracefully.
"""

from collections import Counter
from collections.abc import Sequence

import trio

from . import logs, plugin
from .clock import Clock
from .component import Component, ComponentType, Dump
from .metrics import Metrics
from .monitor import Monitor
from .settings import Settings

#: The sub-packages whose modules register the built-in plug-ins.
PLUGIN_PACKAGES = (
    'sources',
    'stores',
    'endpoints',
    'peers',
    'controls',
    'duties',
    'frontends',
    'platform',
)

#: Interval between attempts to write the backlog of log lines, ms.
LOG_FLUSH_INTERVAL_MS = 500

log = logs.get_logger('kernel')


class Kernel:
    """
    The core of a process: its settings, clock, metrics and components.

    Components look each other up with ``get``; there are no global instances.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Create a kernel without components; ``add`` adds them."""
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.components: list[Component] = []
        self.stop_requested = trio.Event()
        self.force_stop_requested = trio.Event()
        self.draining = False

    def add(self, component_class: type[Component]) -> None:
        """Create a *component_class*; components start in order of addition."""
        self.components.append(component_class(self))

    def get(self, base: type[ComponentType]) -> ComponentType:
        """
        Return the first component that is an instance of *base*.

        Raises LookupError if there is none.
        """
        found = self.get_all(base)
        if not found:
            raise LookupError(f'no component of type {base.__qualname__}')
        return found[0]

    def get_all(self, base: type[ComponentType]) -> list[ComponentType]:
        """Return all components that are instances of *base*."""
        return [
            component
            for component in self.components
            if isinstance(component, base)
        ]

    def stop(self) -> None:
        """Start a graceful stop; a second call ends the grace period."""
        if self.stop_requested.is_set():
            self.force_stop_requested.set()
        self.stop_requested.set()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run all components until a stop is requested, then drain them."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._flush_logs)
            nursery.start_soon(Monitor(self.clock, self.metrics.load).run)
            for component in self.components:
                await nursery.start(component.run)
            log.note(
                'Started.',
                entry=self.settings['entry']['id'],
                work=self.settings['entry']['work'],
            )
            task_status.started()
            await self.stop_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        log.note('Stopped.')

    def dump(self) -> Dump:
        """
        Return the state of every component by its name.

        The kind is put before a name that several components share.
        """
        names = Counter(component.name for component in self.components)
        return {
            _dump_key(component, names): component.dump()
            for component in self.components
        }

    async def _flush_logs(self) -> None:
        while True:
            await self.clock.sleep(LOG_FLUSH_INTERVAL_MS)
            logs.flush()

    async def _drain(self) -> None:
        self.draining = True
        grace = self.settings['entry']['grace']
        log.note('Stopping.', grace_ms=grace)
        with self.clock.move_on_after(grace) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_on_force_stop, scope)
                await self._drain_components()
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            log.warning('Draining stopped with work in flight.')
            for component in reversed(self.components):
                await component.abort()

    async def _drain_components(self) -> None:
        for component in self.components:
            await component.announce_leaving()
        for component in reversed(self.components):
            await component.drain()

    async def _cancel_on_force_stop(self, scope: trio.CancelScope) -> None:
        await self.force_stop_requested.wait()
        scope.cancel()


def _dump_key(component: Component, names: Counter[str]) -> str:
    if names[component.name] == 1:
        return component.name
    return f'{component.kind}.{component.name}'


def load_plugins() -> None:
    """Import the built-in plug-ins and those of other packages."""
    for package in PLUGIN_PACKAGES:
        plugin.load_package(f'{__package__}.{package}')
    plugin.load_entry_points()


def build(
    settings: Settings,
    clock: Clock,
    component_classes: Sequence[type[Component]],
) -> Kernel:
    """Return a kernel with one component of each class, sorted by stage."""
    kernel = Kernel(settings, clock)
    for component_class in sorted(component_classes, key=_start_stage):
        kernel.add(component_class)
    return kernel


def _start_stage(component: type[Component]) -> int:
    return component.stage
