"""
cyclamenshift.peers.keepalive
=============================

Sends the heartbeats on all connections, and finds the lost ones.
"""

from collections.abc import Collection, Mapping
from typing import Final, Protocol

from ..clock import Clock
from ..decisions.heartbeats import (
    IDLE_MS,
    KEEPALIVE_MS,
    Intervals,
    NextPulse,
    Timing,
    Watch,
    next_idle_pulse,
    next_pulse,
)
from ..settings import PeerSettings
from .connection import Connection

#: The shortest pause between two passes over the connections, ms.
MIN_PAUSE_MS: Final = 20


class Keepalive:
    """
    How a link is watched, and when something is due on its connection.

    ``requested`` is the interval of heartbeats that the peer has asked for,
    ms; 0 if it has not.  *answers_pace* tells whether it knows ``Pace``.
    """

    def __init__(
        self, clock: Clock, settings: PeerSettings, *, answers_pace: bool
    ) -> None:
        """Start unwatched and unused."""
        self.clock = clock
        self.intervals = Intervals(settings['heartbeat'], settings['silence'])
        self.answers_pace = answers_pace
        self.watch = Watch.unwatched
        self.timing = Timing(0, 0, 0, 0)
        self.requested = 0

    @property
    def needed(self) -> bool:
        """Whether the peer is watched, or was used a short time ago."""
        unused = self.clock.now() - self.timing.used_at
        return self.watch is not Watch.unwatched or unused < IDLE_MS

    @property
    def pace(self) -> int:
        """The interval of heartbeats that the watch needs, ms, 0 for none."""
        if self.watch is Watch.unwatched:
            return 0
        return self.intervals.stretched(self.watch).heartbeat

    def use(self) -> None:
        """Record that the connection is used now."""
        self.timing = self.timing._replace(used_at=self.clock.now())

    def restart(self) -> None:
        """Start with a new connection."""
        now = self.clock.now()
        self.timing = Timing(self.timing.used_at, now, now, now)
        self.requested = 0

    def expect_data(self) -> None:
        """Count the silence of the peer from now on."""
        now = self.clock.now()
        self.timing = self.timing._replace(sent_at=now, expecting_since=now)

    def record_heartbeat(self) -> None:
        """Record that a heartbeat is sent now."""
        self.timing = self.timing._replace(sent_at=self.clock.now())

    def next_pulse(self, connection: Connection, *, calling: bool) -> NextPulse:
        """Return what is due on *connection*, which has calls if *calling*."""
        now = self.clock.now()
        timing = self.timing._replace(heard_at=connection.last_received_at)
        if self.watch is Watch.unwatched and not calling:
            return next_idle_pulse(timing, now)
        heartbeat, silence = self.intervals.stretched(self.watch)
        if calling and self.watch is not Watch.close:
            heartbeat, silence = self.intervals
        elif self.requested or self.answers_pace:
            heartbeat = self.requested or KEEPALIVE_MS
        return next_pulse(timing, silence, heartbeat, now)


class Pulsing(Protocol):
    """One end of a connection, as the heartbeat task sees it."""

    def pulse(self) -> int:
        """Do what is due; return when to look again, monotonic ms."""

    def forgive_silence(self) -> None:
        """Count the silence of the peer from now on."""


async def send_heartbeats(
    clock: Clock,
    interval: int,
    links: Mapping[str, Pulsing],
    sessions: Collection[Pulsing],
) -> None:
    """
    Do what is due on all connections, each *interval* ms or sooner.

    After a pause of the process itself, what its peers have sent meanwhile is
    not read yet, so their silence counts from then on.
    """
    due = clock.now()
    while True:
        ends = (*links.values(), *sessions)
        if clock.now() > due + interval:
            for end in ends:
                end.forgive_silence()
        now = clock.now()
        due = min((end.pulse() for end in ends), default=now + interval)
        due = max(now + MIN_PAUSE_MS, min(due, now + interval))
        await clock.sleep(clock.remaining(due))
