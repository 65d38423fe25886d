"""
cyclamenshift.commands.config
=============================

Checks, compares, applies and shows the configuration of the fleet.
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


#: The line that shows one entry VM's configuration.
STATUS_LINE = '{entry}: configuration {number}, read {view_age_ms} ms ago'


class FolderCommand(Command):
    """A command on a folder of YAML files."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the folder."""
        parser.add_argument(
            'folder',
            type=pathlib.Path,
            help='the folder of YAML files, merged in the order of names',
        )


@register
class ConfigCheck(FolderCommand):
    """Checks a folder without an entry VM."""

    name = 'config check'
    help = 'check a folder of files; nothing is applied'

    async def run(self, options: argparse.Namespace) -> Report:
        """Check the folder."""
        checked = fleet.load(options.folder)
        counts = {
            'services': len(checked.fleet['services']),
            'pools': len(checked.fleet['pools']),
            'vms': len(checked.fleet['vms']),
        }
        text = ', '.join(f'{count} {name}' for name, count in counts.items())
        return Report(counts, (f'{options.folder} is right: {text}.',))


@register
class ConfigDiff(FolderCommand):
    """Compares a folder with what is in force."""

    name = 'config diff'
    help = 'show what applying a folder would change'

    async def run(self, options: argparse.Namespace) -> Report:
        """Compare, value by value."""
        checked = fleet.load(options.folder)
        present = await call(options, 'GET', '/v1/config')
        changes = differences(_fleet_of(present['texts']), checked.fleet)
        return Report(
            [_as_json(change) for change in changes],
            tuple(_as_line(change) for change in changes)
            or ('Nothing would change.',),
            EXIT_REFUSED if changes else 0,
        )


@register
class ConfigApply(FolderCommand):
    """Puts a folder in force."""

    name = 'config apply'
    help = 'put a folder in force, if nobody else did since'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the folder and the number that the change is made against."""
        super().add_arguments(parser)
        parser.add_argument(
            '--base',
            type=int,
            help='the number in force that you saw; default: the present one',
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Check the folder, then apply it."""
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
    """Shows the values in force with the line each comes from."""

    name = 'config show'
    help = 'show the merged values in force and their lines'

    async def run(self, options: argparse.Namespace) -> Report:
        """Merge the files in force and print each value."""
        present = await call(options, 'GET', '/v1/config')
        if not present['texts']:
            return Report({}, ('No configuration is in force.',))
        merged = fleet.check(present['texts']).merged
        values = [
            {
                'path': '.'.join(change.path),
                'value': change.after,
                'source': str(nearest_source(merged, change.path)),
            }
            for change in differences({}, merged.values)
        ]
        return Report(
            {'number': present['number'], 'values': values},
            tuple(
                '{path}: {value}  ({source})'.format(**shown)
                for shown in values
            ),
        )


@register
class ConfigStatus(Command):
    """Shows which configuration is in force at each entry VM."""

    name = 'config status'
    help = 'show the number in force at each entry VM that is named'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take further entry VMs."""
        parser.add_argument(
            'entries',
            nargs='*',
            help='the URLs of more entry VMs',
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Ask each entry VM in turn."""
        answers = []
        for entry in (options.entry, *options.entries):
            named = argparse.Namespace(entry=entry)
            answers.append(await call(named, 'GET', '/v1/config/status'))
        return Report(
            answers,
            tuple(STATUS_LINE.format(**answer) for answer in answers),
        )


def _fleet_of(texts: dict[str, str]) -> Any:
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
