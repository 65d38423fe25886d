"""
tests.standins.processes
========================

Starts the stand-ins and entry VMs as separate processes on loopback.
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

#: How long a condition may take to hold before a test gives up, seconds.
PATIENCE_S = 60
#: The wait between two looks at a condition, seconds.
LOOK_S = 0.1

#: The ports that listeners get, below those of outgoing connections, which
#: begin at 32,768.  Test runs side by side begin at different ones.
FIRST_PORT = 20_000
PORTS_END = 32_768
#: How far apart runs begin whose process ids are neighbours.
PORTS_APART = 61

PROGRAMS = pathlib.Path(sys.executable).parent


def _ports() -> Iterator[int]:
    ports = range(FIRST_PORT, PORTS_END)
    begin = os.getpid() * PORTS_APART % len(ports)
    return itertools.cycle((*ports[begin:], *ports[:begin]))


_PORTS = _ports()


class EntryProcess(NamedTuple):
    """The process of one entry VM and where it listens."""

    entry_id: str
    process: subprocess.Popen[bytes]
    callers_address: str
    operators_address: str


class WorkerProcess(NamedTuple):
    """The process of one worker and its address."""

    vm_id: str
    process: subprocess.Popen[bytes]
    address: str


class ProcessCluster:
    """The processes of one test, ended with it."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Keep the settings and logs in *folder*."""
        self.folder = folder
        self.store_address = ''
        self.workers: dict[str, WorkerProcess] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Self:
        """Return the site itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that was started here."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def start_store_and_workers(self, *vm_ids: str) -> None:
        """Start the store's stand-in and one worker for each VM."""
        store = self._start_standin('store')
        workers = [self._start_standin('worker') for _vm in vm_ids]
        self.store_address = _address_of(store)
        for vm_id, process in zip(vm_ids, workers, strict=True):
            worker = WorkerProcess(vm_id, process, _address_of(process))
            self.workers[vm_id] = worker

    def write_config(
        self, changes: Mapping[str, Any] | None = None
    ) -> pathlib.Path:
        """Write a folder with one service and pool for each VM prefix."""
        pools = sorted({vm_id.rsplit('-', 1)[0] for vm_id in self.workers})
        fleet = {
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
        _write(folder / '10-fleet.yaml', fleet)
        if changes:
            _write(folder / '20-changes.yaml', changes)
        return folder

    def start_entry(self, entry_id: str, **changes: Any) -> EntryProcess:
        """Start an entry VM; it may not be ready yet."""
        ports = {
            section: free_port()
            for section in ('callers', 'operators', 'peers')
        }
        settings: dict[str, Any] = {
            'entry': {'id': entry_id, 'data_centre': 'dc-1'},
            'store': {'plugin': 'http', 'address': self.store_address},
            'endpoint': {'plugin': 'http'},
        }
        for listening, port in ports.items():
            settings[listening] = {'port': port}
        for section, section_changes in changes.items():
            settings[section].update(section_changes)
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
        """Wait until every entry VM is ready and knows the others."""
        count = len(self.entries)
        async with httpx.AsyncClient() as client:
            for entry in self.entries.values():
                await wait_until(partial(_is_ready, client, entry, count))

    async def wait_until_up(self, entry: EntryProcess) -> None:
        """Wait until an entry VM's operator port answers."""
        async with httpx.AsyncClient() as client:
            await wait_until(partial(_is_up, client, entry))

    def command(self, *arguments: str | pathlib.Path) -> tuple[int, str]:
        """Run ``cyclamenshift`` and return its exit code and output."""
        done = subprocess.run(
            [PROGRAMS / 'cyclamenshift', *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    def stop(self, entry_id: str) -> None:
        """Ask an entry VM for the graceful stop."""
        self.entries[entry_id].process.send_signal(signal.SIGTERM)

    def _start_daemon(self, folder: pathlib.Path) -> subprocess.Popen[bytes]:
        with folder.with_suffix('.log').open('ab') as log:
            process = subprocess.Popen(
                [PROGRAMS / 'cyclamenshiftd', '--settings', folder],
                stderr=log,
            )
        self.processes.append(process)
        return process

    def _start_standin(self, name: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, '-m', f'tests.standins.{name}'],
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        return process


async def wait_until(condition: Callable[[], Any]) -> Any:
    """Look again and again until *condition*, awaited, gives something."""
    with trio.fail_after(PATIENCE_S):
        while True:
            found = await condition()
            if found:
                return found
            await trio.sleep(LOOK_S)


async def wait_for_exit(process: subprocess.Popen[bytes]) -> int:
    """Return the exit code of *process* once it has ended."""

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


def _address_of(process: subprocess.Popen[bytes]) -> str:
    assert process.stdout
    return process.stdout.readline().decode().strip()


def free_port() -> int:
    """
    Return a port that nothing uses, and that no outgoing connection gets.

    The daemon listens on it only when it has started: by then the system
    may have given a port of its own choice to somebody else's connection.
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
