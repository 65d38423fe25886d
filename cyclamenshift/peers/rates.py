"""
cyclamenshift.peers.rates
=========================

Which peers send heartbeats at the full rate to this entry VM.

There are two connections between two entry VMs, each with heartbeats both
ways.  Only those on the connection that this entry VM opened decide whether it
has lost the peer, and only the loss of a peer that owns domains must be found
soon.  So the receiver requests the rate of each direction.
"""

from collections.abc import Mapping
from functools import partial
from typing import TypeAlias

from ..decisions.heartbeats import interval_factor
from ..model import EntryVm
from ..peer import Heartbeat
from .connection import Connection

#: The entry VM id and the incarnation of a process.
Process: TypeAlias = tuple[str, str]


class HeartbeatRates:
    """
    Requests heartbeats from the connected peers, as often as they are needed.

    Each connection starts at the full rate.  Only peers whose build knows
    ``HeartbeatRequest`` are asked for another one.
    """

    def __init__(self, inbound: Mapping[Process, Connection]) -> None:
        """Start without peers; *inbound* are the connections they opened."""
        self.inbound = inbound
        self.outbound: dict[Process, Connection] = {}
        self.full_rate: set[Process] = set()
        self.factor = 1

    def resize(self, peer_count: int) -> None:
        """Use the rates for a fleet with *peer_count* peers."""
        factor = interval_factor(peer_count)
        if factor != self.factor:
            self.factor = factor
            for process in tuple(self.outbound):
                self._update(process)

    def add(self, entry: EntryVm, connection: Connection) -> None:
        """Add the connection to a peer, which is at the full rate."""
        process = (entry.entry_id, entry.incarnation)
        connection.silence.on_change = partial(
            self._on_silence, process, connection
        )
        if entry.adjusts_heartbeats:
            self.outbound[process] = connection
            self.full_rate.add(process)
            self._update(process)

    def remove(self, process: Process) -> None:
        """Remove a lost connection; the peer is heard on its own then."""
        if self.outbound.pop(process, None):
            self.full_rate.discard(process)
            self._update(process)
        self.check()

    def change_rate(self, process: Process, *, full: bool) -> None:
        """Set whether the loss of a peer must be found soon."""
        change = self.full_rate.add if full else self.full_rate.discard
        if process in self.outbound:
            change(process)
            self._update(process)

    def update_inbound(self, process: Process) -> None:
        """
        Request the heartbeats that a peer sends on its own connection.

        They are needed while the connection to it is lost or quiet.
        """
        connection = self.inbound.get(process)
        outbound = self.outbound.get(process)
        is_heard = outbound and not outbound.silence.quiet
        if connection:
            _request(connection, self.factor if is_heard else 1)

    def check(self) -> None:
        """
        Request a heartbeat from each peer that was not heard lately.

        This is for disturbances, which may have reached several peers: the
        others that are gone must be known by the time of a take-over.
        """
        for connection in self.outbound.values():
            connection.check()

    def _on_silence(self, process: Process, connection: Connection) -> None:
        self.update_inbound(process)
        if connection.silence.quiet:
            # A host that refuses what belongs to a lost connection shows it
            # only when something is sent.
            connection.enqueue(Heartbeat(()))
            self.check()

    def _update(self, process: Process) -> None:
        connection = self.outbound.get(process)
        if connection:
            is_needed = process in self.full_rate
            _request(connection, 1 if is_needed else self.factor)
        self.update_inbound(process)


def _request(connection: Connection, factor: int) -> None:
    if factor != connection.silence.factor:
        connection.request_heartbeats(factor)
