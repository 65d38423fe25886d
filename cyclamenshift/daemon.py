"""
cyclamenshift.daemon
====================

The program ``cyclamenshiftd``: one entry VM's process.
"""

import argparse
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

#: The signals that the program obeys.
SIGNALS: Final = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGUSR1,
    signal.SIGHUP,
)
#: The variable that names the settings where no argument does.
SETTINGS_VARIABLE: Final = 'CYCLAMENSHIFT_SETTINGS'

log = logs.get_logger('daemon')


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line of ``cyclamenshiftd``."""
    parser = argparse.ArgumentParser(
        prog='cyclamenshiftd',
        description='Run one entry VM.',
    )
    first = parser.add_mutually_exclusive_group()
    first.add_argument(
        '--settings',
        type=pathlib.Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help='the folder of YAML files for this process, or what the source '
        f'reads; default: ${SETTINGS_VARIABLE}',
    )
    first.add_argument(
        '--try',
        action='store_true',
        dest='first_run',
        help='answer one request on the embedded default, then stop',
    )
    parser.add_argument(
        '--source',
        default='folder',
        help='the plug-in that reads the settings',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and stop',
    )
    options = parser.parse_args(arguments)
    if not options.first_run and options.settings is None:
        parser.error('name the settings with --settings')
    return options


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program; return its exit code."""
    options = parse_arguments(arguments)
    if options.first_run:
        return trio.run(firstrun.answer_one)
    kernel.load_families()
    try:
        source = plugin.find(Source, options.source)()
        chosen = source.load(options.settings)
        first = startup.load_initial_fleet(options.settings)
        members = startup.choose_components(chosen)
    except CyclamenshiftError as error:
        return _fail(error, EXIT_USAGE)
    if options.check:
        return EXIT_OK
    logs.configure(chosen['entry']['log_level'])
    code = EXIT_OK
    process = Process(source, options.settings, chosen)
    try:
        trio.run(process.serve, members, first)
    except* CyclamenshiftError as errors:
        code = _fail(innermost(errors), EXIT_FAILED)
    return code


class Process:
    """The program while it runs: its kernel, its settings, its signals."""

    def __init__(
        self,
        source: Source,
        path: pathlib.Path,
        chosen: settings.Settings,
    ) -> None:
        """Keep where the settings *chosen* came from."""
        self.source = source
        self.path = path
        self.chosen = chosen

    async def serve(
        self,
        members: Sequence[type[Component]],
        first: dict[str, str] | None,
    ) -> None:
        """Run the kernel until a signal asks for the stop."""
        self.kernel = kernel.build(self.chosen, Clock(), members)
        async with trio.open_nursery() as nursery:
            with trio.open_signal_receiver(*SIGNALS) as received:
                nursery.start_soon(self._obey_signals, received)
                await nursery.start(self._run_kernel, nursery.cancel_scope)
                if first:
                    await startup.apply_initial_config(self.kernel, first)
                await trio.sleep_forever()

    def reload(self) -> None:
        """
        Read the settings again.

        What can change while the process runs does; the rest waits for the
        next start.  Wrong settings change nothing.
        """
        try:
            fresh = self.source.load(self.path)
        except CyclamenshiftError as error:
            log.error('The settings are not read again.', problem=str(error))
            return
        changes = [
            '.'.join(change.path) for change in differences(self.chosen, fresh)
        ]
        self.chosen['jobs'].update(fresh['jobs'])
        log.note('Read the settings again.', changed=changes)

    async def _run_kernel(
        self,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await self.kernel.run(task_status)
        scope.cancel()

    async def _obey_signals(self, received: AsyncIterator[int]) -> None:
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


def innermost(error: BaseException) -> BaseException:
    """Return the first error inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _fail(error: BaseException, code: int) -> int:
    sys.stderr.write(f'cyclamenshiftd: {error}\n')
    return code


if __name__ == '__main__':
    sys.exit(main())
