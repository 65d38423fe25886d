"""
cyclamenshift.commands.jobs
===========================

Shows who owns what, the jobs of each service, and the pools of VMs.
"""

import argparse
import itertools
from collections.abc import Iterator
from typing import Any

from ..command import Command, Report, call
from ..plugin import register


@register
class ShowOwners(Command):
    """Shows which entry VM decides for each domain."""

    name = 'owners'
    help = 'show the owner and the epoch of each domain'

    async def run(self, options: argparse.Namespace) -> Report:
        """Read what an entry VM and its peers own."""
        state = await call(options, 'GET', '/v1/dump')
        ownership = state['ownership']
        held = {**ownership['peers'], ownership['entry']: ownership['own']}
        owners = {
            domain: {'owner': entry_id, 'epoch': epoch}
            for entry_id, domains in sorted(held.items())
            for domain, epoch in domains.items()
        }
        return Report(
            owners,
            tuple(
                '{domain}: {owner}, epoch {epoch}'.format(
                    domain=domain,
                    **owner,
                )
                for domain, owner in sorted(owners.items())
            ),
        )


@register
class ShowJobs(Command):
    """Shows the services that an entry VM schedules."""

    name = 'jobs'
    help = 'show jobs, waiting tasks and workers of the services owned there'

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the schedulers of an entry VM."""
        state = await call(options, 'GET', '/v1/dump')
        schedulers = state['scheduler']
        return Report(
            schedulers,
            tuple(
                f'{service}: {scheduler["jobs"]} jobs, '
                f'{scheduler["waiting_tasks"]} tasks wait, '
                f'{len(scheduler["workers"])} workers'
                for service, scheduler in sorted(schedulers.items())
            ),
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
class ShowFleet(Command):
    """Shows the pools, as the manager of the fleet sees them."""

    name = 'fleet'
    help = 'show the VMs of each pool; ask the owner of ~fleet'

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the manager of the fleet."""
        state = await call(options, 'GET', '/v1/dump')
        fleet = state['fleet']
        return Report(
            fleet,
            tuple(
                f'{pool}: {len(vms)} VMs'
                for pool, vms in sorted(fleet.get('pools', {}).items())
            )
            or ('The fleet is managed elsewhere; see: cyclamenshift owners',),
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
