"""
cyclamenshift.commands.jobs
===========================

Shows who owns what, the jobs of each service, and the pools of VMs.
"""

import abc
import argparse
import itertools
from collections.abc import Iterator
from typing import Any, cast

from ..component import Dump
from ..command import Command, Report, call
from ..plugin import register


class DumpCommand(Command):
    """A command that shows a part of the dump of an entry VM."""

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the dump."""
        shown = self.select(await call(options, 'GET', '/v1/dump'))
        return Report(shown, tuple(self.lines(shown)))

    @abc.abstractmethod
    def select(self, state: Dump) -> Dump:
        """Return what is shown of *state*."""

    @abc.abstractmethod
    def lines(self, shown: Dump) -> Iterator[str]:
        """Yield the lines for an operator."""


@register
class ShowOwners(DumpCommand):
    """Shows which entry VM decides for each domain."""

    name = 'owners'
    help = 'show the owner and the epoch of each domain'

    def select(self, state: Dump) -> Dump:
        """Return the domains with what the entry VM and its peers own."""
        ownership = state['ownership']
        held = {**ownership['peers'], ownership['entry']: ownership['own']}
        return {
            domain: {'owner': entry_id, 'epoch': epoch}
            for entry_id, domains in sorted(held.items())
            for domain, epoch in domains.items()
        }

    def lines(self, shown: Dump) -> Iterator[str]:
        """Yield one line for each domain."""
        for domain, owner in sorted(shown.items()):
            yield f'{domain}: {owner["owner"]}, epoch {owner["epoch"]}'


@register
class ShowJobs(DumpCommand):
    """Shows the services that an entry VM schedules."""

    name = 'jobs'
    help = 'show jobs, waiting tasks and workers of the services owned there'

    def select(self, state: Dump) -> Dump:
        """Return the schedulers."""
        return cast(Dump, state['scheduler'])

    def lines(self, shown: Dump) -> Iterator[str]:
        """Yield one line for each service."""
        for service, scheduler in sorted(shown.items()):
            yield (
                f'{service}: {scheduler["jobs"]} jobs, '
                f'{scheduler["waiting_tasks"]} tasks wait, '
                f'{len(scheduler["workers"])} workers'
            )


@register
class ShowJob(Command):
    """Shows one job, with its tasks and where they run."""

    name = 'job'
    help = 'show a job; ask the owner of its service'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the id of the job."""
        parser.add_argument('job', help='the id of the job')

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the job at the entry VM that schedules it."""
        job = await call(options, 'GET', f'/v1/jobs/{options.job}')
        recorded = 'recorded' if job['recorded'] else 'not recorded yet'
        head = '{job}: {state}, queue {queue}, service {service}, epoch {epoch}'
        return Report(
            job,
            (
                f'{head.format_map(job)}, {recorded}',
                *itertools.chain.from_iterable(map(_task_lines, job['tasks'])),
            ),
        )


@register
class ShowFleet(DumpCommand):
    """Shows the pools, as the manager of the fleet sees them."""

    name = 'fleet'
    help = 'show the VMs of each pool; ask the owner of ~fleet'

    def select(self, state: Dump) -> Dump:
        """Return what the manager of the fleet knows."""
        return cast(Dump, state['fleet'])

    def lines(self, shown: Dump) -> Iterator[str]:
        """Yield one line for each pool, or where else to ask."""
        pools = shown.get('pools', {})
        for pool, vms in sorted(pools.items()):
            yield f'{pool}: {len(vms)} VMs'
        if not pools:
            yield 'The fleet is managed elsewhere; see: cyclamenshift owners'


def _task_lines(task: dict[str, Any]) -> Iterator[str]:
    yield (
        '  occurrence {occurrence}, step {step}, task {ordinal}: {state}, '
        '{last_run} runs, {failures} failed'.format_map(task)
    )
    for run in task['runs']:
        yield (
            '    run {number} at {worker}: {phase}, {percent}%, {age} ms'
        ).format_map(run)
