"""
cyclamenshift.cmdline
=====================

The program ``cyclamenshift``, the command line for operators.
"""

import argparse
import json
import sys
from collections.abc import Sequence
from typing import Any, Final

import trio

from . import plugin
from .command import EXIT_REFUSED, EXIT_USAGE, Command, Report
from .errors import ControlError, CyclamenshiftError

#: URL of the operators' port of a local entry VM.
DEFAULT_ENTRY: Final = 'http://127.0.0.1:8081'

EXIT_CODES: Final = """\
exit codes: 0 success; 1 refused, failed, or differences found;
2 invalid usage, settings or files
"""


def build_parser() -> argparse.ArgumentParser:
    """Return a parser with a sub-parser for each command."""
    plugin.load_package(f'{__package__}.commands')
    parser = argparse.ArgumentParser(
        prog='cyclamenshift',
        description='Manage a fleet of VMs.',
        epilog=EXIT_CODES,
    )
    parser.add_argument(
        '--entry',
        default=DEFAULT_ENTRY,
        help="the URL of an entry VM's operators' port",
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON',
    )
    groups: dict[str, Any] = {'': parser.add_subparsers(required=True)}
    for command_class in plugin.find_all(Command):
        _add_command(groups, command_class())
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        report: Report = trio.run(options.command.run, options)
    except ControlError as error:
        sys.stderr.write(f'cyclamenshift: {error}\n')
        return EXIT_REFUSED
    except CyclamenshiftError as error:
        sys.stderr.write(f'cyclamenshift: {error}\n')
        return EXIT_USAGE
    if options.json:
        text = json.dumps(report.value, indent=2, sort_keys=True)
    else:
        text = '\n'.join(report.lines)
    sys.stdout.write(f'{text}\n')
    return report.code


def _add_command(groups: dict[str, Any], command: Command) -> None:
    *prefix, name = command.name.split(' ')
    group = ' '.join(prefix)
    if group not in groups:
        parent = groups[''].add_parser(group, help=f'{group} commands')
        groups[group] = parent.add_subparsers(required=True)
    parser = groups[group].add_parser(name, help=command.help)
    command.add_arguments(parser)
    parser.set_defaults(command=command)
