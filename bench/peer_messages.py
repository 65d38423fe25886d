"""
bench.peer_messages
===================

Messages between entry VMs that serve jobs, by the size of the fleet.

Runs the real peer protocol on virtual time, in a fleet of three domains.  For
each number of entry VMs it prints what one of them sends and receives per
second with the heartbeats of the platform, first with a build that knows no
``HeartbeatRequest``.  Run it with ``python -m bench.peer_messages``.
"""

import argparse
from collections.abc import Collection
from typing import Final, NamedTuple

import pytest
import trio
from trio.testing import MockClock

from cyclamenshift.clock import MS_PER_SECOND
from cyclamenshift.decisions.heartbeats import interval_factor
from cyclamenshift.platform.settings import PEER_SETTINGS
from tests.builders import entry_settings
from tests.standins.jobs import JobCluster
from tests.standins.peer_traffic import PeerTraffic, use_earlier_build

#: Numbers of entry VMs.
COUNTS: Final = (8, 15, 44, 97)
#: The time in which all entry VMs are connected, s.
START_S: Final = 10
#: The time after the silent death of an owner that is counted, in intervals
#: between heartbeats: until the others have lost it and connected again.
DEATH_INTERVALS: Final = 12
#: The interval between heartbeats on the platform relative to the default.
SCALE: Final = (
    entry_settings()['peers']['heartbeat'] / PEER_SETTINGS['heartbeat']
)


class Figures(NamedTuple):
    """
    Messages of an entry VM per second, with the platform's heartbeats.

    ``death`` is how many an entry VM sends around the death of an owner.
    """

    idle: float
    owner: float
    received: float
    death: float


def main() -> None:
    """Measure each number of entry VMs; print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('counts', nargs='*', type=int, default=COUNTS)
    for count in parser.parse_args().counts:
        for build, earlier in (('before', range(count)), ('after', ())):
            figures = trio.run(
                _measure,
                count,
                {f'entry-{number + 1}' for number in earlier},
                clock=MockClock(autojump_threshold=0),
            )
            _print(f'{count} entry VMs, {build}', figures)


def _print(label: str, figures: Figures) -> None:
    print(
        f'{label}: sent {figures.idle:.1f}/s by one without a domain, '
        f'{figures.owner:.1f}/s by an owner; '
        f'received {figures.received:.1f}/s on average; '
        f'{figures.death:.0f} sent by one at the death of an owner',
        flush=True,
    )


async def _measure(count: int, earlier: Collection[str]) -> Figures:
    with pytest.MonkeyPatch.context() as patch:
        use_earlier_build(patch, earlier)
        async with trio.open_nursery() as nursery:
            cluster = JobCluster(nursery)
            traffic = PeerTraffic(cluster, patch)
            await cluster.start_all(count)
            await trio.sleep(START_S)
            figures = await _count(cluster, traffic, slow=not earlier)
            nursery.cancel_scope.cancel()
    return figures


async def _count(
    cluster: JobCluster, traffic: PeerTraffic, *, slow: bool
) -> Figures:
    heartbeat = entry_settings()['peers']['heartbeat']
    factor = interval_factor(len(cluster.entries) - 1) if slow else 8
    sent = await traffic.measure(factor * heartbeat)
    owners = {
        entry_id
        for entry_id, entry in cluster.entries.items()
        if entry.ownership.terms
    }
    idle = sent.keys() - owners
    cluster.crash_host(cluster.owner('desk'))
    duration = DEATH_INTERVALS * heartbeat
    at_death = await traffic.measure(duration)
    return Figures(
        idle=_mean(sent, idle) * SCALE,
        owner=_mean(sent, owners) * SCALE,
        received=_mean(sent, sent) * SCALE,
        death=_mean(at_death, idle) * duration / MS_PER_SECOND,
    )


def _mean(sent: dict[str, float], entry_ids: Collection[str]) -> float:
    return sum(sent[entry_id] for entry_id in entry_ids) / len(entry_ids)


if __name__ == '__main__':
    main()
