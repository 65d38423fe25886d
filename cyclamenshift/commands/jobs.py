"""
cyclamenshift.commands.jobs
===========================

Commands that show domain owners, jobs and the VMs of the pools.
"""

import abc
import argparse
import itertools
from collections.abc import Iterator
from typing import Any, cast

from ..command import Command, Report, call
from ..component import Dump
from ..plugin import register


class DumpCommand(Command):
    """Base class of the commands that show part of a state dump."""

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the dump of the entry VM and format the selected part."""
        selected = self.select(await call(options, 'GET', '/v1/dump'))
        return Report(selected, tuple(self.format_lines(selected)))

    @abc.abstractmethod
    def select(self, dump: Dump) -> Dump:
        """Return the part of *dump* to show."""

    @abc.abstractmethod
    def format_lines(self, selected: Dump) -> Iterator[str]:
        """Yield the lines of the text output."""


@register
class ShowOwners(DumpCommand):
    """Shows which entry VM owns each domain."""

    name = 'owners'
    help = 'show the owner and the epoch of each domain'

    def select(self, dump: Dump) -> Dump:
        """Return the domains owned by the entry VM and by its peers."""
        ownership = dump['ownership']
        domains_by_owner = {
            **ownership['peers'],
            ownership['entry']: ownership['own'],
        }
        return {
            domain: {'owner': entry_id, 'epoch': epoch}
            for entry_id, domains in sorted(domains_by_owner.items())
            for domain, epoch in domains.items()
        }

    def format_lines(self, selected: Dump) -> Iterator[str]:
        """Yield one line for each domain."""
        for domain, owner in sorted(selected.items()):
            yield f'{domain}: {owner["owner"]}, epoch {owner["epoch"]}'


@register
class ShowJobs(DumpCommand):
    """Shows the schedulers of the services that an entry VM owns."""

    name = 'jobs'
    help = 'show jobs, waiting tasks and workers of the owned services'

    def select(self, dump: Dump) -> Dump:
        """Return the summaries of the schedulers."""
        return cast(Dump, dump['scheduler'])

    def format_lines(self, selected: Dump) -> Iterator[str]:
        """Yield one line for each service."""
        for service, scheduler in sorted(selected.items()):
            yield (
                f'{service}: {scheduler["jobs"]} jobs, '
                f'{scheduler["waiting_tasks"]} tasks wait, '
                f'{len(scheduler["workers"])} workers'
            )


@register
class ShowJob(Command):
    """Shows a job, its tasks and their runs."""

    name = 'job'
    help = 'show a job; --entry must be the owner of its service'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the job id."""
        parser.add_argument('job', help='the id of the job')

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the job from the entry VM that schedules it."""
        job = await call(options, 'GET', f'/v1/jobs/{options.job}')
        recorded = 'recorded' if job['recorded'] else 'not recorded yet'
        heading = (
            '{job}: {state}, queue {queue}, service {service}, epoch {epoch}'
        )
        return Report(
            job,
            (
                f'{heading.format_map(job)}, {recorded}',
                *itertools.chain.from_iterable(map(_task_lines, job['tasks'])),
            ),
        )


@register
class ShowFleet(DumpCommand):
    """Shows the pools as known to the fleet manager."""

    name = 'fleet'
    help = 'show the VMs of each pool; --entry must be the owner of ~fleet'

    def select(self, dump: Dump) -> Dump:
        """Return the state of the fleet manager."""
        return cast(Dump, dump['fleet'])

    def format_lines(self, selected: Dump) -> Iterator[str]:
        """Yield one line for each pool, or a hint how to find the manager."""
        pools = selected.get('pools', {})
        for pool, vms in sorted(pools.items()):
            yield f'{pool}: {len(vms)} VMs'
        if not pools:
            yield (
                'Another entry VM manages the fleet; '
                'see "cyclamenshift owners".'
            )


def _task_lines(task: dict[str, Any]) -> Iterator[str]:
    yield (
        '  occurrence {occurrence}, step {step}, task {ordinal}: {state}, '
        '{last_run} runs, {failures} failed'.format_map(task)
    )
    for run in task['runs']:
        yield (
            '    run {number} at {worker}: {phase}, {percent}%, {age} ms'
        ).format_map(run)
