"""
cyclamenshift.daemon
====================

The program ``cyclamenshiftd``, which runs one entry VM.
"""

import argparse
import gc
import json
import os
import pathlib
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from typing import Final

import trio

from . import firstrun, kernel, logs, plugin, settings, startup
from .clock import Clock
from .component import Component
from .decisions.merging import differences
from .errors import CyclamenshiftError
from .source import Source

#: The exit codes of the program.
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

#: The signals that the program handles.
SIGNALS: Final = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGUSR1,
    signal.SIGHUP,
)
#: The thresholds of the garbage collector: new objects before a collection of
#: the youngest, and collections before one of the next generation.  Most
#: objects live as long as their job and are freed by reference counting.
COLLECTION_THRESHOLDS: Final = (10_000, 20, 100)
#: Environment variable for the settings if --settings is not given.
SETTINGS_VARIABLE: Final = 'CYCLAMENSHIFT_SETTINGS'

log = logs.get_logger('daemon')


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line of ``cyclamenshiftd``."""
    parser = argparse.ArgumentParser(
        prog='cyclamenshiftd',
        description='Run one entry VM.',
    )
    mode = parser.add_mutually_exclusive_group()
    mode.add_argument(
        '--settings',
        type=pathlib.Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help='the settings: a folder of YAML files, or what --source '
        f'reads; default: ${SETTINGS_VARIABLE}',
    )
    mode.add_argument(
        '--try',
        action='store_true',
        dest='first_run',
        help='answer one sample request with default settings, then stop',
    )
    parser.add_argument(
        '--source',
        default='folder',
        help='the name of the plug-in that reads the settings',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings and exit',
    )
    options = parser.parse_args(arguments)
    if not options.first_run and options.settings is None:
        parser.error('no settings: use --settings')
    return options


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = parse_arguments(arguments)
    if options.first_run:
        return trio.run(firstrun.run_sample)
    kernel.load_plugins()
    try:
        source = plugin.find(Source, options.source)()
        process_settings = source.load(options.settings)
        initial_fleet = startup.load_initial_fleet(options.settings)
        component_classes = startup.choose_components(process_settings)
    except CyclamenshiftError as error:
        return _report_error(error, EXIT_USAGE)
    if options.check:
        return EXIT_OK
    logs.configure(process_settings['entry']['log_level'])
    limit_collections()
    code = EXIT_OK
    daemon = Daemon(source, options.settings, process_settings)
    try:
        trio.run(daemon.serve, component_classes, initial_fleet)
    except* CyclamenshiftError as errors:
        code = _report_error(first_error(errors), EXIT_FAILED)
    return code


def limit_collections() -> None:
    """
    Keep the garbage collector from stopping the process for long.

    A full collection visits all objects at once: tens of thousands that the
    imports have left, and the jobs of the services owned here.  On a small
    share of a core that takes longer than peers wait for a heartbeat.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


class Daemon:
    """A running daemon: its kernel, settings and signal handlers."""

    def __init__(
        self,
        source: Source,
        path: pathlib.Path,
        process_settings: settings.Settings,
    ) -> None:
        """Create a daemon; ``reload`` reads *path* from *source* again."""
        self.source = source
        self.path = path
        self.settings = process_settings

    async def serve(
        self,
        component_classes: Sequence[type[Component]],
        initial_fleet: dict[str, str] | None,
    ) -> None:
        """Run the kernel until a signal requests a stop."""
        self.kernel = kernel.build(self.settings, Clock(), component_classes)
        async with trio.open_nursery() as nursery:
            with trio.open_signal_receiver(*SIGNALS) as received:
                nursery.start_soon(self._handle_signals, received)
                await nursery.start(self._run_kernel, nursery.cancel_scope)
                if initial_fleet:
                    await startup.apply_initial_config(
                        self.kernel, initial_fleet
                    )
                await trio.sleep_forever()

    def reload(self) -> None:
        """
        Reload the settings.

        Only the ``jobs`` section is updated, and components may have copied
        some of its values.  All other changes take effect at the next start.
        If the settings are invalid, the old ones stay in effect.
        """
        try:
            reloaded = self.source.load(self.path)
        except CyclamenshiftError as error:
            log.error('Cannot reload the settings.', problem=str(error))
            return
        changes = [
            '.'.join(change.path)
            for change in differences(self.settings, reloaded)
        ]
        self.settings['jobs'].update(reloaded['jobs'])
        log.note('Reloaded the settings.', changed=changes)

    async def _run_kernel(
        self,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await self.kernel.run(task_status)
        scope.cancel()

    async def _handle_signals(self, received: AsyncIterator[int]) -> None:
        async for number in received:
            log.note('Received a signal.', signal=signal.Signals(number).name)
            if number == signal.SIGUSR1:
                state = self.kernel.dump()
                text = json.dumps(state, sort_keys=True, default=str)
                sys.stderr.write(f'{text}\n')
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.kernel.stop()


def first_error(error: BaseException) -> BaseException:
    """Return the first exception in nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _report_error(error: BaseException, code: int) -> int:
    sys.stderr.write(f'cyclamenshiftd: {error}\n')
    return code


if __name__ == '__main__':
    sys.exit(main())
