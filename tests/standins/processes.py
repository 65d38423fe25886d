"""
tests.standins.processes
========================

Runs entry VMs, a store and workers as separate processes on loopback.
"""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from types import TracebackType
from typing import Any, NamedTuple, Self

import httpx
import trio
import yaml

#: How long a test waits for a condition before it fails, seconds.
WAIT_TIMEOUT_S = 60
#: The interval between two checks of a condition, seconds.
POLL_INTERVAL_S = 0.1

#: The range of the ports to listen on, below the ephemeral ports of outgoing
#: connections, which begin at 32,768.
FIRST_PORT = 20_000
END_PORT = 32_768
#: The distance between the first ports of test runs with consecutive process
#: ids, so that concurrent runs use different ports.
PORT_STRIDE = 61

#: The folder of the installed commands.
BIN_FOLDER = pathlib.Path(sys.executable).parent


def _cycle_ports() -> Iterator[int]:
    ports = range(FIRST_PORT, END_PORT)
    offset = os.getpid() * PORT_STRIDE % len(ports)
    return itertools.cycle((*ports[offset:], *ports[:offset]))


_PORTS = _cycle_ports()


class EntryProcess(NamedTuple):
    """The process of an entry VM, and the addresses that it listens on."""

    entry_id: str
    process: subprocess.Popen[bytes]
    callers_address: str
    operators_address: str


class WorkerProcess(NamedTuple):
    """The process of a worker, and the address that it listens on."""

    vm_id: str
    process: subprocess.Popen[bytes]
    address: str


class ProcessCluster:
    """The processes of a test; leaving the context kills them."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Write settings, configurations and logs to *folder*."""
        self.folder = folder
        self.store_address = ''
        self.workers: dict[str, WorkerProcess] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Self:
        """Return the cluster itself."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill every process of the cluster."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def start_store_and_workers(self, *vm_ids: str) -> None:
        """Start a store, and a worker for each VM."""
        store, address = start_module('store')
        self.store_address = address
        self.processes.append(store)
        for vm_id in vm_ids:
            worker, address = start_module('worker')
            self.processes.append(worker)
            self.workers[vm_id] = WorkerProcess(vm_id, worker, address)

    def write_config(
        self,
        changes: Mapping[str, Any] | None = None,
    ) -> pathlib.Path:
        """
        Write a configuration folder and return its path.

        There is a pool with a service for each prefix of the VM ids, such as
        ``desk`` for ``desk-1``.  *changes* goes into a second file.
        """
        pools = sorted({vm_id.rsplit('-', 1)[0] for vm_id in self.workers})
        config = {
            'pools': {pool: {} for pool in pools},
            'services': {
                pool: {
                    'pool': pool,
                    'availability': 50,
                    'work': {'look-up': {'repeatable': True}, 'booking': {}},
                }
                for pool in pools
            },
            'vms': {
                vm_id: {
                    'pool': vm_id.rsplit('-', 1)[0],
                    'data_centre': 'dc-1',
                    'rack': 'rack-1',
                    'address': worker.address,
                }
                for vm_id, worker in self.workers.items()
            },
        }
        folder = self.folder / f'fleet-{len(list(self.folder.iterdir()))}'
        folder.mkdir()
        _write(folder / '10-fleet.yaml', config)
        if changes:
            _write(folder / '20-changes.yaml', changes)
        return folder

    def start_entry(self, entry_id: str, **overrides: Any) -> EntryProcess:
        """
        Start an entry VM, without waiting until it is ready.

        *overrides* are settings by section.
        """
        ports = {
            section: free_port()
            for section in ('callers', 'operators', 'peers')
        }
        settings: dict[str, Any] = {
            'entry': {'id': entry_id, 'data_centre': 'dc-1'},
            'store': {'plugin': 'http', 'address': self.store_address},
            'endpoint': {'plugin': 'http'},
        }
        for listener, port in ports.items():
            settings[listener] = {'port': port}
        for section, section_overrides in overrides.items():
            settings[section].update(section_overrides)
        folder = self.folder / f'{entry_id}-{ports["callers"]}'
        folder.mkdir()
        _write(folder / '10-entry.yaml', settings)
        process = self._start_daemon(folder)
        entry = EntryProcess(
            entry_id,
            process,
            f'http://127.0.0.1:{ports["callers"]}',
            f'http://127.0.0.1:{ports["operators"]}',
        )
        self.entries[entry_id] = entry
        return entry

    async def wait_until_ready(self) -> None:
        """Wait until all entry VMs are ready and connected to each other."""
        count = len(self.entries)
        async with httpx.AsyncClient() as client:
            for entry in self.entries.values():
                await wait_until(partial(_is_ready, client, entry, count))

    async def wait_until_up(self, entry: EntryProcess) -> None:
        """Wait until the operators' port of an entry VM responds."""
        async with httpx.AsyncClient() as client:
            await wait_until(partial(_is_up, client, entry))

    def command(self, *arguments: str | pathlib.Path) -> tuple[int, str]:
        """Run ``cyclamenshift`` and return its exit code and output."""
        completed = subprocess.run(
            [BIN_FOLDER / 'cyclamenshift', *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def stop(self, entry_id: str) -> None:
        """Send an entry VM the signal for a graceful stop."""
        self.entries[entry_id].process.send_signal(signal.SIGTERM)

    def _start_daemon(self, folder: pathlib.Path) -> subprocess.Popen[bytes]:
        with folder.with_suffix('.log').open('ab') as log:
            process = subprocess.Popen(
                [BIN_FOLDER / 'cyclamenshiftd', '--settings', folder],
                stderr=log,
            )
        self.processes.append(process)
        return process


def start_module(name: str) -> tuple[subprocess.Popen[bytes], str]:
    """Start a stand-in as a process; return it and its address."""
    process = subprocess.Popen(
        [sys.executable, '-m', f'tests.standins.{name}'],
        stdout=subprocess.PIPE,
    )
    assert process.stdout
    return process, process.stdout.readline().decode().strip()


async def wait_until(condition: Callable[[], Any]) -> Any:
    """Poll *condition* until its result is true, and return the result."""
    with trio.fail_after(WAIT_TIMEOUT_S):
        while True:
            result = await condition()
            if result:
                return result
            await trio.sleep(POLL_INTERVAL_S)


async def wait_for_exit(process: subprocess.Popen[bytes]) -> int:
    """Wait until *process* has ended and return its exit code."""

    async def poll() -> tuple[int] | None:
        code = process.poll()
        return None if code is None else (code,)

    return int((await wait_until(poll))[0])


async def _is_up(client: httpx.AsyncClient, entry: EntryProcess) -> bool:
    assert entry.process.poll() is None, 'the entry VM has ended'
    try:
        return (
            await client.get(f'{entry.operators_address}/metrics')
        ).is_success
    except httpx.HTTPError:
        return False


async def _is_ready(
    client: httpx.AsyncClient,
    entry: EntryProcess,
    count: int,
) -> bool:
    assert entry.process.poll() is None, 'the entry VM has ended'
    try:
        ready = await client.get(f'{entry.callers_address}/readyz')
        dump = (await client.get(f'{entry.operators_address}/v1/dump')).json()
    except httpx.HTTPError:
        return False
    peers = [
        peer for peer in dump['stream']['peers'].values() if peer['connected']
    ]
    return ready.status_code == 200 and len(peers) == count - 1


def free_port() -> int:
    """
    Return an unused port outside the range of ephemeral ports.

    The daemon binds the port only some time later.  By then the system could
    have given an ephemeral port to an outgoing connection.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def _write(path: pathlib.Path, value: Mapping[str, Any]) -> None:
    path.write_text(json.dumps(value), encoding='utf-8')


def read_yaml(path: pathlib.Path) -> Any:
    """Return the value in a YAML file."""
    return yaml.safe_load(path.read_text(encoding='utf-8'))
