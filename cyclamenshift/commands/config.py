"""
cyclamenshift.commands.config
=============================

Commands that check, compare, apply and show the fleet configuration.
"""

import argparse
import getpass
import pathlib
import uuid
from typing import Any

from .. import fleet
from ..command import EXIT_REFUSED, Command, Report, call
from ..decisions.merging import Change, differences, nearest_source
from ..plugin import register

#: The output of ``config status`` for one entry VM.
STATUS_FORMAT = '{entry}: configuration {number}, read {view_age_ms} ms ago'


class FolderCommand(Command):
    """Base class of the commands that read a folder of YAML files."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the folder."""
        parser.add_argument(
            'folder',
            type=pathlib.Path,
            help='a folder of YAML files, merged in order of file name',
        )


@register
class ConfigCheck(FolderCommand):
    """Validates a folder without contacting an entry VM."""

    name = 'config check'
    help = 'validate a folder of files without applying it'

    async def run(self, options: argparse.Namespace) -> Report:
        """Validate the folder and count its entries."""
        checked = fleet.load(options.folder)
        counts = {
            'services': len(checked.fleet['services']),
            'pools': len(checked.fleet['pools']),
            'vms': len(checked.fleet['vms']),
        }
        text = ', '.join(f'{count} {name}' for name, count in counts.items())
        return Report(counts, (f'{options.folder} is valid: {text}.',))


@register
class ConfigDiff(FolderCommand):
    """Compares a folder with the active configuration."""

    name = 'config diff'
    help = 'show what applying a folder would change'

    async def run(self, options: argparse.Namespace) -> Report:
        """Report each value that differs; any difference exits with 1."""
        checked = fleet.load(options.folder)
        active = await call(options, 'GET', '/v1/config')
        changes = differences(_check_fleet(active['texts']), checked.fleet)
        return Report(
            [_as_json(change) for change in changes],
            tuple(_as_line(change) for change in changes) or ('No changes.',),
            EXIT_REFUSED if changes else 0,
        )


@register
class ConfigApply(FolderCommand):
    """Makes a folder the active configuration."""

    name = 'config apply'
    help = 'activate a folder unless the configuration changed meanwhile'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the folder and the number of the base configuration."""
        super().add_arguments(parser)
        parser.add_argument(
            '--base',
            type=int,
            help='the number of the base configuration (default: active)',
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Validate the folder, then apply it."""
        checked = fleet.load(options.folder)
        base = options.base
        if base is None:
            base = (await call(options, 'GET', '/v1/config'))['number']
        result = await call(
            options,
            'PUT',
            '/v1/config',
            {
                'texts': checked.texts,
                'base': base,
                'change_id': uuid.uuid4().hex,
                'operator': getpass.getuser(),
            },
        )
        return Report(
            result,
            (f'Configuration {result["number"]} is accepted.',),
        )


@register
class ConfigShow(Command):
    """Shows the active values and the source line of each."""

    name = 'config show'
    help = 'show the merged active values and their source lines'

    async def run(self, options: argparse.Namespace) -> Report:
        """Merge the files of the active configuration and list the values."""
        active = await call(options, 'GET', '/v1/config')
        if not active['texts']:
            return Report({}, ('No configuration is active.',))
        merged = fleet.check(active['texts']).merged
        values = [
            {
                'path': '.'.join(change.path),
                'value': change.after,
                'source': str(nearest_source(merged, change.path)),
            }
            for change in differences({}, merged.values)
        ]
        return Report(
            {'number': active['number'], 'values': values},
            tuple(
                '{path}: {value}  ({source})'.format(**fields)
                for fields in values
            ),
        )


@register
class ConfigStatus(Command):
    """Shows the active configuration of each entry VM."""

    name = 'config status'
    help = 'show the active number at each of the given entry VMs'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the further entry VMs."""
        parser.add_argument(
            'entries',
            nargs='*',
            help='the URLs of further entry VMs',
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Query the entry VMs one after the other."""
        statuses = []
        for entry in (options.entry, *options.entries):
            target = argparse.Namespace(entry=entry)
            statuses.append(await call(target, 'GET', '/v1/config/status'))
        return Report(
            statuses,
            tuple(STATUS_FORMAT.format(**status) for status in statuses),
        )


def _check_fleet(texts: dict[str, str]) -> Any:
    return fleet.check(texts).fleet if texts else {}


def _as_json(change: Change) -> dict[str, Any]:
    return {
        'path': '.'.join(change.path),
        'before': change.before,
        'after': change.after,
    }


def _as_line(change: Change) -> str:
    path = '.'.join(change.path)
    return f'{path}: {change.before} -> {change.after}'
