"""
cyclamenshift.daemon
====================

The program ``cyclamenshiftd``: one entry VM's process.
"""

import argparse
import json
import pathlib
import signal
import sys
import uuid
from collections.abc import AsyncIterator, Sequence
from typing import Final

import trio

from . import document, fleet, kernel, logs, plugin, settings
from .clock import Clock
from .component import Component
from .control import Control
from .controls.configuration import Configuration, InForce, Proposal
from .endpoint import Endpoint
from .errors import CyclamenshiftError
from .frontend import Frontend
from .peer import Peer
from .platform import Platform

#: The exit codes of the program.
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

#: The folder below the settings that holds the first configuration.
FLEET_FOLDER: Final = 'fleet'
#: The operator's name on a configuration applied at the first start.
FIRST_OPERATOR: Final = 'first start'
#: The wait before a first configuration is offered again, ms.
OFFER_DELAY_MS: Final = 1_000

log = logs.get_logger('daemon')


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line of ``cyclamenshiftd``."""
    parser = argparse.ArgumentParser(
        prog='cyclamenshiftd',
        description='Run one entry VM.',
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        help='the folder of YAML files for this process',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and stop',
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program; return its exit code."""
    options = parse_arguments(arguments)
    try:
        chosen = settings.load(options.settings)
        first = load_first_fleet(options.settings)
        members = choose_members(chosen)
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


def load_first_fleet(folder: pathlib.Path) -> dict[str, str] | None:
    """
    Return the checked files of the first configuration, None without.

    Raises SettingsError when they are wrong.
    """
    fleet_folder = folder / FLEET_FOLDER
    if not fleet_folder.is_dir():
        return None
    return fleet.check(document.read_folder(fleet_folder)).texts


def choose_members(chosen: settings.Settings) -> list[type[Component]]:
    """
    Return the classes of the components that the settings name.

    Raises PluginError for a name that no plug-in has.
    """
    kernel.load_families()
    return [
        plugin.find(Platform, chosen['platform']['plugin']),
        plugin.find(Endpoint, chosen['endpoint']['plugin']),
        plugin.find(Peer, chosen['peers']['plugin']),
        *plugin.members(Control),
        *plugin.members(Frontend),
    ]


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
                await offer(process, first)
            await trio.sleep_forever()


async def offer(process: kernel.Kernel, texts: dict[str, str]) -> None:
    """Apply *texts* if the table has no configuration yet."""
    configuration = process.get(Configuration)
    while configuration.in_force is None:
        proposal = Proposal(texts, 0, uuid.uuid4().hex, FIRST_OPERATOR)
        result = await configuration.apply(proposal)
        if isinstance(result, InForce):
            log.info('Applied the first configuration.')
            return
        log.warning('The first configuration waits: %s', result.reason)
        await process.clock.sleep(OFFER_DELAY_MS)
        await configuration.refresh()


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
