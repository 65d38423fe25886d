"""
cyclamenshift.decisions.heartbeats
==================================

Decides when a connection gets a heartbeat, and when it counts as lost.

An entry VM asks the peers that it watches for regular heartbeats.  Its other
connections get none, so its cost does not grow with the number of its peers.
"""

import enum
from typing import Final, NamedTuple

#: How many times as long the intervals of a distant watch are.
DISTANT_FACTOR: Final = 4
#: How long an unwatched connection stays open after its last use, ms; longer
#: than the usual pause between two requests for the same peer.
IDLE_MS: Final = 10_000
#: How often a watcher shows that it is still there, ms.
KEEPALIVE_MS: Final = 10_000


class Watch(enum.IntEnum):
    """How closely a peer is watched."""

    #: It is connected only while it is used.
    unwatched = 0
    #: It is kept connected; its loss may be found late.
    distant = 1
    #: Its loss has to be found as soon as possible.
    close = 2


class Pulse(enum.Enum):
    """What is due on a connection."""

    nothing = enum.auto()
    heartbeat = enum.auto()
    #: Nothing has come from the peer in time.
    lost = enum.auto()
    #: The connection is not used any more.
    idle = enum.auto()


class Timing(NamedTuple):
    """
    The times of one connection, monotonic ms.

    ``sent_at`` is when the last heartbeat was sent, ``expecting_since`` since
    when the peer has to send something regularly.
    """

    used_at: int
    heard_at: int
    sent_at: int
    expecting_since: int


class Intervals(NamedTuple):
    """The interval of heartbeats, and the silence that means a loss, ms."""

    heartbeat: int
    silence: int

    def stretched(self, watch: Watch) -> 'Intervals':
        """Return the intervals for a connection under *watch*."""
        factor = DISTANT_FACTOR if watch is Watch.distant else 1
        return Intervals(self.heartbeat * factor, self.silence * factor)


class NextPulse(NamedTuple):
    """What is due now, and when to look again, monotonic ms."""

    pulse: Pulse
    at: int


def next_pulse(
    timing: Timing,
    silence: int,
    send_interval: int,
    now: int,
) -> NextPulse:
    """
    Return what is due on a connection on which the peer sends regularly.

    It is lost after *silence* ms; a heartbeat is due each *send_interval* ms.
    """
    lost_at = max(timing.heard_at, timing.expecting_since) + silence
    send_at = timing.sent_at + send_interval
    if now >= lost_at:
        return NextPulse(Pulse.lost, now)
    if now >= send_at:
        return NextPulse(Pulse.heartbeat, min(lost_at, now + send_interval))
    return NextPulse(Pulse.nothing, min(lost_at, send_at))


def next_idle_pulse(timing: Timing, now: int) -> NextPulse:
    """Return what is due on a connection that is neither watched nor used."""
    idle_at = timing.used_at + IDLE_MS
    if now >= idle_at:
        return NextPulse(Pulse.idle, now)
    return NextPulse(Pulse.nothing, idle_at)
