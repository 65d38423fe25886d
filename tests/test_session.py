"""
tests.test_session
==================

A whole session with real processes, compared with its golden file.
"""

import pathlib
from functools import partial
from typing import Any

import httpx
from syrupy.assertion import SnapshotAssertion

from .golden import TextExtension, Transcript
from .standins.processes import (
    EntryProcess,
    ProcessCluster,
    wait_for_exit,
    wait_until,
)

ENTRY_IDS = tuple(f'entry-{number}' for number in range(1, 7))
VM_IDS = ('desk-1', 'desk-2', 'desk-3', 'spare-1', 'spare-2')


class Session:
    """Sends requests and runs commands, and records their results."""

    def __init__(
        self, cluster: ProcessCluster, client: httpx.AsyncClient
    ) -> None:
        """Start an empty transcript."""
        self.cluster = cluster
        self.client = client
        self.transcript = Transcript()

    async def send_request(
        self,
        entry_id: str,
        kind: str,
        body: str,
        **headers: str,
    ) -> None:
        """Send one request and record its outcome."""
        entry = self.cluster.entries[entry_id]
        request_headers = {'Request-Kind': kind, 'Content-Type': 'text/plain'}
        request_headers.update(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        response = await self.client.post(
            f'{entry.callers_address}/v1/services/desk/requests',
            content=body,
            headers=request_headers,
        )
        header_values = ' '.join(headers.values())
        self.transcript.append(
            f'caller asks {entry_id}: {kind} {body!r} {header_values}'.rstrip(),
            f'{response.headers["Outcome"]} {response.status_code}',
            response.text,
        )

    def run_command(
        self, entry_id: str, *arguments: str | pathlib.Path
    ) -> None:
        """Run an operators' command and record what it prints."""
        entry = self.cluster.entries[entry_id]
        code, output = self.cluster.command(
            '--entry', entry.operators_address, *arguments
        )
        arguments_text = ' '.join(
            'FOLDER' if isinstance(argument, pathlib.Path) else argument
            for argument in arguments
        )
        self.transcript.append(
            f'operator at {entry_id}: {arguments_text}',
            output,
            f'exit code {code}',
        )

    async def vm_has_state(self, vm_id: str, state: str, pool: str) -> bool:
        """Return whether every entry VM sees the VM in this state and pool."""
        return all(
            [
                await self._entry_has_state(entry, vm_id, state, pool)
                for entry in self.cluster.entries.values()
            ]
        )

    async def is_config_active(self, number: int) -> bool:
        """Return whether this configuration is active at every entry VM."""
        return all(
            [
                (await self._get(entry, '/v1/config/status'))['number']
                == number
                for entry in self.cluster.entries.values()
            ]
        )

    async def list_run_events(self, key: str) -> list[str]:
        """Return the run events of *key* at all workers."""
        events = []
        for worker in self.cluster.workers.values():
            response = await self.client.get(f'{worker.address}/ledger')
            events += [
                run['event'] for run in response.json() if run['key'] == key
            ]
        return events

    async def readiness(self, entry_id: str) -> int:
        """Return the HTTP status of the readiness check of an entry VM."""
        entry = self.cluster.entries[entry_id]
        response = await self.client.get(f'{entry.callers_address}/readyz')
        return response.status_code

    async def _entry_has_state(
        self,
        entry: EntryProcess,
        vm_id: str,
        state: str,
        pool: str,
    ) -> bool:
        row = (await self._get(entry, '/v1/vms')).get(vm_id, {})
        return bool((row.get('state'), row.get('pool')) == (state, pool))

    async def _get(self, entry: EntryProcess, path: str) -> Any:
        return (
            await self.client.get(f'{entry.operators_address}{path}')
        ).json()


async def test_whole_session(
    tmp_path: pathlib.Path,
    snapshot: SnapshotAssertion,
) -> None:
    """Callers, a drain, a move, a new configuration and a planned stop."""
    with ProcessCluster(tmp_path) as cluster:
        cluster.start_store_and_workers(*VM_IDS)
        for entry_id in ENTRY_IDS:
            cluster.start_entry(entry_id)
        await cluster.wait_until_up(cluster.entries['entry-1'])
        async with httpx.AsyncClient(timeout=30) as client:
            session = Session(cluster, client)
            session.run_command(
                'entry-1', 'config', 'apply', cluster.write_config()
            )
            await cluster.wait_until_ready()
            await _send_requests(session)
            await _drain_and_move(session)
            await _reconfigure(session)
            await _stop_entry(session)
    golden = snapshot(extension_class=TextExtension)
    assert session.transcript.text() == golden


async def _send_requests(session: Session) -> None:
    for entry_id in ENTRY_IDS:
        await session.send_request(entry_id, 'look-up', f'hello {entry_id}')
    for receiver in ('entry-1', 'entry-4'):
        await session.send_request(
            receiver, 'booking', 'lift', Idempotency_Key='key-1'
        )
    await session.send_request(
        'entry-2',
        'booking',
        'another lift',
        Idempotency_Key='key-1',
    )
    await session.send_request('entry-3', 'booking', 'no key')
    await session.send_request('entry-5', 'wash', 'no such work')
    await session.send_request(
        'entry-6', 'look-up', 'slow', Request_Timeout='never'
    )
    session.transcript.append(
        'workers: runs of key-1',
        *await session.list_run_events('key-1'),
    )


async def _drain_and_move(session: Session) -> None:
    session.run_command('entry-2', 'drain', 'desk-1')
    session.run_command('entry-3', 'drain', 'desk-2')
    await wait_until(partial(session.vm_has_state, 'desk-1', 'drained', 'desk'))
    session.run_command('entry-4', 'pools')
    session.run_command('entry-5', 'move', 'spare-1', '--to', 'desk')
    await wait_until(
        partial(session.vm_has_state, 'spare-1', 'serving', 'desk')
    )
    session.run_command('entry-6', 'return', 'desk-1')
    await wait_until(partial(session.vm_has_state, 'desk-1', 'serving', 'desk'))
    session.run_command('entry-1', 'vms')
    await session.send_request('entry-1', 'look-up', 'after the move')


async def _reconfigure(session: Session) -> None:
    changes = {'services': {'desk': {'work': {'wash': {'repeatable': True}}}}}
    folder = session.cluster.write_config(changes)
    session.run_command('entry-1', 'config', 'diff', folder)
    session.run_command('entry-1', 'config', 'apply', folder, '--base', '1')
    session.run_command('entry-2', 'config', 'apply', folder, '--base', '1')
    await wait_until(partial(session.is_config_active, 2))
    await session.send_request('entry-6', 'wash', 'now there is such work')


async def _stop_entry(session: Session) -> None:
    cluster = session.cluster
    cluster.stop('entry-6')
    code = await wait_for_exit(cluster.entries['entry-6'].process)
    session.transcript.append('entry-6 stops', f'exit code {code}')
    cluster.entries.pop('entry-6')
    await cluster.wait_until_ready()
    for entry_id in ENTRY_IDS[:5]:
        await session.send_request(entry_id, 'look-up', 'after the stop')
