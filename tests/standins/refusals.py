"""
tests.standins.refusals
=======================

Workers that are cut off, so that connections to them are refused.
"""

import random
from typing import Final, NamedTuple

import trio

from .race_events import Scenario
from .race_scripts import apply_event

#: How long a worker refuses connections, ms.
CUT_RANGE_MS: Final = (50, 5_500)


class RefuseConnections(NamedTuple):
    """
    A worker works on, but refuses connections for ``cut_ms``.

    ``pick`` chooses the worker.
    """

    pick: int
    cut_ms: int


def draw_refusal(rng: random.Random) -> RefuseConnections:
    """Draw a cut of any worker."""
    return RefuseConnections(rng.randrange(100), rng.randint(*CUT_RANGE_MS))


@apply_event.register
async def _refuse_connections(
    event: RefuseConnections, scenario: Scenario
) -> None:
    workers = scenario.workers()
    if workers:
        worker_id = workers[event.pick % len(workers)]
        refused = scenario.cluster.workers.faults.refused
        refused.add(worker_id)
        await trio.sleep(event.cut_ms / 1000)
        refused.discard(worker_id)
