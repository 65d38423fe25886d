"""
tests.test_processes
====================

The process stand-ins: choice of ports, and detection of ended processes.
"""

import pathlib
import socket

import pytest

from .standins.processes import ProcessCluster, free_port


def test_ports_do_not_collide_with_outgoing_connections() -> None:
    """Listeners get ports that no outgoing connection can occupy before."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        outgoing = []
        for _connection in range(20):
            client = socket.create_connection(listener.getsockname())
            outgoing.append(client.getsockname()[1])
            client.close()
    assert max(free_port() for _port in range(20)) < min(outgoing)


async def test_waiting_for_an_ended_entry_vm_fails(
    tmp_path: pathlib.Path,
) -> None:
    """Waiting for an entry VM that ended fails at once, with the reason."""
    with ProcessCluster(tmp_path) as cluster:
        cluster.start_store_and_workers('desk-1')
        entry = cluster.start_entry('entry-1')
        entry.process.kill()
        entry.process.wait()
        with pytest.raises(AssertionError, match='has ended'):
            await cluster.wait_until_ready()
