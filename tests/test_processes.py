"""
tests.test_processes
====================

What the tests that start processes rely on.
"""

import pathlib
import socket

import pytest

from .standins.processes import ProcessCluster, free_port


def test_port_is_not_one_of_outgoing_connections() -> None:
    """No connection can take a port before its listener has started."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        outgoing = []
        for _connection in range(20):
            client = socket.create_connection(listener.getsockname())
            outgoing.append(client.getsockname()[1])
            client.close()
    assert max(free_port() for _port in range(20)) < min(outgoing)


async def test_entry_vm_that_ended_is_said_so(tmp_path: pathlib.Path) -> None:
    """Waiting for it fails at once, with the reason."""
    with ProcessCluster(tmp_path) as site:
        site.start_store_and_workers('desk-1')
        entry = site.start_entry('entry-1')
        entry.process.kill()
        entry.process.wait()
        with pytest.raises(AssertionError, match='has ended'):
            await site.wait_until_ready()
