"""
cyclamenshift.commands.explain
==============================

The command that explains where a job would go now.
"""

import argparse
import json
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, Final

from ..command import Command, Report, call
from ..errors import SettingsError
from ..plugin import register

HEADING: Final = (
    '{title}: queue {queue}, service {service}, epoch {epoch}, {runs} runs'
)
RUN_TIMES: Final = (
    '  run times: estimates {estimates} ms, predictions {predictions} ms, '
    'longest chain {longest_chain} ms, objective {objective} ms'
)
BACKLOG: Final = '(backlog {backlog} ms, oldest wait {oldest_wait} ms)'
REFUSED: Final = (
    '  refused: {reason}; come back in {retry_from} to {retry_to} ms'
)
ORDER: Final = (
    '  step {step}: {steps_before} of {steps_waiting} waiting steps go before'
)
SORT_KEY: Final = (
    '    sort key: beyond share {beyond_share}, priority {priority}, '
    'account priority {account_priority}, {timeliness}, '
    'over share {over_share}, slack {slack} ms'
)
PLACED: Final = '    {placed} of {tasks} tasks would start now: {workers}'
WAITING: Final = '    {waiting} of {tasks} tasks wait: {reason}'
ROOM: Final = (
    'limit {limit}; here allotted {allotted}, running {running}, left {left}'
)
#: The fields of an account with amounts of resources.
AMOUNTS: Final = ('limit', 'allotted', 'running', 'left')


@register
class Explain(Command):
    """Explains a job that is tracked, or one that could be submitted."""

    name = 'explain'
    help = 'explain where a job would go now; --entry must own its service'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the id of a job, or the description of one."""
        parser.add_argument(
            'job_id', nargs='?', help='the id of a job that was accepted'
        )
        parser.add_argument('--queue', help='the queue of a job to explain')
        parser.add_argument('--account', default='', help='its account')
        parser.add_argument('--tasks', type=int, default=1, help='their number')
        parser.add_argument(
            '--cpu', type=int, default=0, help='millicores of each task'
        )
        parser.add_argument(
            '--memory', type=int, default=0, help='MB of each task'
        )
        parser.add_argument(
            '--estimate', type=int, default=0, help='run time of a task, ms'
        )
        parser.add_argument(
            '--job',
            type=pathlib.Path,
            dest='file',
            help='a file with a JSON list of steps, instead of one step',
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the explanation from the owner of the service."""
        if bool(options.job_id) == bool(options.queue):
            raise SettingsError(
                'The job to explain is not clear.',
                'Name either the id of a job or --queue.',
            )
        if options.job_id:
            path = f'/v1/jobs/{options.job_id}/explain'
            explained = await call(options, 'GET', path)
        else:
            query = {
                'queue': options.queue,
                'account': options.account,
                'steps': _steps_of(options),
            }
            explained = await call(options, 'POST', '/v1/explain', query)
        return Report(explained, tuple(format_lines(explained)))


def format_lines(explained: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of the text output."""
    state = explained['state']
    title = (
        f'{explained["job"]}: {state}' if explained['tracked'] else 'new job'
    )
    yield HEADING.format_map({**explained, 'title': title})
    if explained['suspended']:
        yield '  suspended: its queue is not configured'
    if explained['due_in_ms'] is not None:
        yield f'  next occurrence due in {explained["due_in_ms"]} ms'
    if explained['account']:
        yield _account_line(explained['account'])
    yield RUN_TIMES.format_map(explained['run_times'])
    if explained['admission']:
        yield _admission_line(explained['admission'])
    if explained['start']:
        yield from _start_lines(explained['start'])
    else:
        yield '  no task waits'
    yield f'  workers: {_counts(explained["workers"])}'


def _steps_of(options: argparse.Namespace) -> Any:
    if options.file is None:
        names = ('tasks', 'cpu', 'memory', 'estimate')
        return [{name: getattr(options, name) for name in names}]
    try:
        return json.loads(options.file.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(
            f'{options.file}: {error}.',
            'Name a file with a JSON list of steps.',
        ) from error


def _account_line(account: Mapping[str, Any]) -> str:
    share = 'within' if account['within_share'] else 'beyond'
    room = 'no limit'
    if account['limit']:
        room = ROOM.format_map(
            {name: _amounts(account[name]) for name in AMOUNTS}
        )
    return f'  account {account["name"]}: {share} its share, {room}'


def _admission_line(admission: Mapping[str, Any]) -> str:
    backlog = BACKLOG.format_map(admission)
    if admission['admitted']:
        return f'  admitted {backlog}'
    return f'{REFUSED.format_map(admission)} {backlog}'


def _start_lines(start: Mapping[str, Any]) -> Iterator[str]:
    promoted = ', as it is too late by the most' if start['promoted'] else ''
    yield f'{ORDER.format_map(start)}{promoted}'
    yield SORT_KEY.format_map(start['key'])
    placed = sum(start['workers'].values())
    fields = {
        'tasks': start['tasks'],
        'placed': placed,
        'waiting': start['tasks'] - placed,
        'workers': _counts(start['workers']),
        'reason': start['reason'],
    }
    if placed:
        yield PLACED.format_map(fields)
    if start['reason']:
        yield WAITING.format_map(fields)


def _amounts(resources: Mapping[str, int]) -> str:
    return ' '.join(f'{name} {amount}' for name, amount in resources.items())


def _counts(counts: Mapping[str, int]) -> str:
    """Return *counts* as a text, by name."""
    texts = [f'{name} ({count})' for name, count in sorted(counts.items())]
    return ', '.join(texts) or 'none'
