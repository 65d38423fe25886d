"""
cyclamenshift.decisions.routing
===============================

Routes a request to this entry VM or to a peer.
"""

import random
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..model import Load

#: The number of random peers that are compared for one request.
PEER_CHOICES = 2


class Local(NamedTuple):
    """The request goes to the workers of this entry VM."""


class Remote(NamedTuple):
    """The request goes to the workers of the peer ``entry_id``."""

    entry_id: str


class NoRoute(NamedTuple):
    """No live entry VM owns a worker of the pool."""


Route: TypeAlias = Local | Remote | NoRoute


def choose(
    local: Load,
    remote: Mapping[str, Load],
    rng: random.Random,
) -> Route:
    """
    Return the route of a request for the pool of *local*.

    A free local slot comes first, then the better of two random peers with
    free slots (power of two choices), then the queue with the fewest
    requests for each slot.
    """
    if local.free > local.queued:
        return Local()
    free = sorted(
        entry_id for entry_id, load in remote.items() if _spare_slots(load) > 0
    )
    if free:
        sampled = rng.sample(free, min(PEER_CHOICES, len(free)))
        return Remote(max(sampled, key=lambda peer: _spare_slots(remote[peer])))
    return _shortest_queue(local, remote)


def _spare_slots(load: Load) -> int:
    return load.free - load.queued


def _shortest_queue(local: Load, remote: Mapping[str, Load]) -> Route:
    routes: list[tuple[float, str, Route]] = [
        (load.queued / load.slots, entry_id, Remote(entry_id))
        for entry_id, load in remote.items()
        if load.slots
    ]
    if local.slots:
        routes.append((local.queued / local.slots, '', Local()))
    if not routes:
        return NoRoute()
    return min(routes)[2]
