"""
cyclamenshift.commands.vms
==========================

Shows pools and VMs, and drains, moves and returns VMs.
"""

import argparse

from ..command import Command, Report, call
from ..plugin import register


@register
class ShowPools(Command):
    """Shows each service's budget."""

    name = 'pools'
    help = 'show how many VMs serve each service, and its floor'

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the budgets."""
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
    """Shows each VM's pool and state."""

    name = 'vms'
    help = 'show the pool and the state of each VM'

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the VMs."""
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
    """A command on one VM."""

    path: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the VM."""
        parser.add_argument('vm', help='the id of the VM')

    async def run(self, options: argparse.Namespace) -> Report:
        """Ask the entry VM for the change."""
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
        """Return the body of the call."""
        return {}


@register
class DrainVm(VmCommand):
    """Lets a VM leave its pool."""

    name = 'drain'
    help = 'let a VM finish its work and leave its pool'
    path = 'drain'


@register
class ReturnVm(VmCommand):
    """Lets a drained VM serve again."""

    name = 'return'
    help = 'let a drained VM serve again in its pool'
    path = 'return'


@register
class MoveVm(VmCommand):
    """Moves a VM to another pool."""

    name = 'move'
    help = 'let a VM finish its work and join another pool'
    path = 'move'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the VM and the pool."""
        super().add_arguments(parser)
        parser.add_argument('--to', required=True, help='the pool to join')

    def body(self, options: argparse.Namespace) -> dict[str, str]:
        """Return the body of the call."""
        return {'to': options.to}
