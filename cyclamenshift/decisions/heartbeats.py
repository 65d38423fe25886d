"""
cyclamenshift.decisions.heartbeats
==================================

How often the entry VMs of a large fleet send each other heartbeats.

It handles the load that grows with the square of the number of entry VMs:
each of them is connected to each other one.
"""

from typing import Final

#: A peer is heard if data came within this many intervals of its heartbeats.
#: At full rate that is less than ``peers.silence``, so that nobody hears a
#: peer that has ended by the time at which another entry VM has lost it.
HEARTBEATS_HEARD: Final = 2


def interval_factor(peer_count: int) -> int:
    """
    Return how far apart heartbeats are that find no loss of an owner.

    The result is a multiple of ``peers.heartbeat``.  It is about the number
    of peers, so that all of them together cost an entry VM as much as a
    single peer does at the full rate.  A power of two changes seldom while
    entry VMs join, since each change is a message to every peer.
    """
    return 1 << max(0, peer_count - 1).bit_length()
