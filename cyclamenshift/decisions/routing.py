"""
cyclamenshift.decisions.routing
===============================

Which entry VM takes a request: this one, or a peer with free slots.
"""

import random
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..model import Load

#: How many peers are compared for one request.
CHOICES = 2


class Local(NamedTuple):
    """This entry VM's own workers take the request."""


class Remote(NamedTuple):
    """The owner called ``entry_id`` takes the request."""

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
    Return where a request for the pool of *local* goes.

    A free slot here comes first, then the better of two random peers with
    free slots, then the shortest queue for each slot.
    """
    if local.free > local.queued:
        return Local()
    free = sorted(
        entry_id for entry_id, load in remote.items() if _spare(load) > 0
    )
    if free:
        drawn = rng.sample(free, min(CHOICES, len(free)))
        return Remote(max(drawn, key=lambda peer: _spare(remote[peer])))
    return _shortest_queue(local, remote)


def _spare(load: Load) -> int:
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
