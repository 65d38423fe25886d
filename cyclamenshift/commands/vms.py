"""
cyclamenshift.commands.vms
==========================

Commands that show pools and VMs, and drain, move and return VMs.
"""

import argparse

from ..command import Command, Report, call
from ..plugin import register


@register
class ShowPools(Command):
    """Shows the disruption budget of each service."""

    name = 'pools'
    help = 'show the VMs and the disruption budget of each service'

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the budget rows."""
        budgets = await call(options, 'GET', '/v1/pools')
        return Report(
            budgets,
            tuple(
                '{service}: pool {pool}, {members} VMs, {unavailable} not '
                'serving, floor {floor}'.format(service=service, **budget)
                for service, budget in budgets.items()
            ),
        )


@register
class ShowVms(Command):
    """Shows the pool and the state of each VM."""

    name = 'vms'
    help = 'show the pool and the state of each VM'

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the VM rows."""
        vms = await call(options, 'GET', '/v1/vms')
        return Report(
            vms,
            tuple(
                '{vm_id}: {state} in {pool}, epoch {epoch}'.format(
                    vm_id=vm_id,
                    **vm,
                )
                for vm_id, vm in vms.items()
            ),
        )


class VmCommand(Command):
    """
    Base class of the commands that change the state of a VM.

    ``path`` is the last segment of the URL of the change.
    """

    path: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the VM id."""
        parser.add_argument('vm', help='the id of the VM')

    async def run(self, options: argparse.Namespace) -> Report:
        """Request the change from the entry VM."""
        row = await call(
            options,
            'POST',
            f'/v1/vms/{options.vm}/{self.path}',
            self.body(options),
        )
        return Report(
            row,
            (f'{row["vm"]} is {row["state"]} now, in {row["pool"]}.',),
        )

    def body(self, options: argparse.Namespace) -> dict[str, str]:
        """Return the body of the request."""
        return {}


@register
class DrainVm(VmCommand):
    """Drains a VM."""

    name = 'drain'
    help = 'let a VM finish its requests and take it out of service'
    path = 'drain'


@register
class ReturnVm(VmCommand):
    """Returns a drained VM to service."""

    name = 'return'
    help = 'return a drained VM to service in its pool'
    path = 'return'


@register
class MoveVm(VmCommand):
    """Moves a VM to another pool."""

    name = 'move'
    help = 'let a VM finish its requests and move it to another pool'
    path = 'move'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the VM id and the target pool."""
        super().add_arguments(parser)
        parser.add_argument('--to', required=True, help='the target pool')

    def body(self, options: argparse.Namespace) -> dict[str, str]:
        """Return the body of the request."""
        return {'to': options.to}
