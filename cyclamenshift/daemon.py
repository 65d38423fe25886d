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
from .errors import CyclamenshiftError
from .source import Source

#: The exit codes of the program.
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

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
        first = startup.load_first_fleet(options.settings)
        members = startup.choose_members(chosen)
    except CyclamenshiftError as error:
        return _fail(error, EXIT_USAGE)
    if options.check:
        return EXIT_OK
    logs.configure(chosen['entry']['log_level'])
    code = EXIT_OK
    try:
        trio.run(serve, chosen, members, first)
    except* CyclamenshiftError as errors:
        code = _fail(innermost(errors), EXIT_FAILED)
    return code


async def serve(
    chosen: settings.Settings,
    members: Sequence[type[Component]],
    first: dict[str, str] | None,
) -> None:
    """Run the kernel until a signal asks for the stop."""
    process = kernel.build(chosen, Clock(), members)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGUSR1,
        ) as received:
            nursery.start_soon(_obey_signals, process, received)
            await nursery.start(_run_kernel, process, nursery.cancel_scope)
            if first:
                await startup.offer(process, first)
            await trio.sleep_forever()


async def _run_kernel(
    process: kernel.Kernel,
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await process.run(task_status)
    scope.cancel()


async def _obey_signals(
    process: kernel.Kernel,
    received: AsyncIterator[int],
) -> None:
    async for number in received:
        if number == signal.SIGUSR1:
            text = json.dumps(process.dump(), sort_keys=True, default=str)
            sys.stderr.write(f'{text}\n')
        else:
            log.info('Received %s.', signal.Signals(number).name)
            process.stop()


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
