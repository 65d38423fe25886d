"""
tests.standins.idle_entry
=========================

An entry VM that serves jobs, with a real store and real peers, but no work.

Run as ``python -m tests.standins.idle_entry ID STORE PEER_PORT``.  It logs to
standard output.
"""

import argparse

import trio

from cyclamenshift import kernel, logs, startup
from cyclamenshift.clock import Clock
from cyclamenshift.component import Component
from cyclamenshift.control import Control
from cyclamenshift.duty import Duty
from cyclamenshift.peers.stream import StreamPeer
from cyclamenshift.provider import (
    FencingToken,
    ProvidedVm,
    VmProvider,
    VmResult,
    VmUnanswered,
)
from cyclamenshift.stores.http import HttpStore

from ..builders import entry_settings
from .jobs import FakeDirectory, SharedPlatform
from .workers import FakeWorkerClient


class IdlePlatform(FakeDirectory):
    """A directory with two services and without workers."""

    platform = SharedPlatform()


class NoVms(VmProvider):
    """A provider without VMs."""

    name = 'none'

    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return no VM."""
        return []

    async def move(
        self, vm_id: str, pool: str, fencing_token: FencingToken
    ) -> VmResult:
        """Fail, as there are no VMs."""
        raise NotImplementedError

    async def maintain(
        self, vm_id: str, maintenance: int, fencing_token: FencingToken
    ) -> VmResult:
        """Fail, as there are no VMs."""
        raise NotImplementedError


def main() -> None:
    """Run one entry VM until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('entry_id')
    parser.add_argument('store')
    parser.add_argument('port', type=int)
    logs.configure('info')
    trio.run(_run, parser.parse_args())


async def _run(arguments: argparse.Namespace) -> None:
    kernel.load_plugins()
    components: list[type[Component]] = [
        HttpStore,
        StreamPeer,
        FakeWorkerClient,
        IdlePlatform,
        NoVms,
        *startup.components_for(Control, 'jobs'),
        *startup.components_for(Duty, 'jobs'),
    ]
    # The intervals of the users' platform.
    settings = entry_settings(
        arguments.entry_id,
        entry={'work': 'jobs'},
        peers={'port': arguments.port, 'heartbeat': 250, 'silence': 800},
        store={'plugin': 'http', 'address': arguments.store},
    )
    await kernel.build(settings, Clock(), components).run()


if __name__ == '__main__':
    main()
