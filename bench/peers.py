"""
bench.peers
===========

What an entry VM without work spends, by the number of entry VMs.

Starts entry VMs that serve jobs as separate processes, waits until the domains
are owned, and prints the processor time of those that own nothing and of those
that own a domain, with a linear fit.  Then it stops the process of an owner
(SIGSTOP) and kills that of another, and prints after how long another entry VM
owns the domain.  Run it with ``python -m bench.peers``.
"""

import argparse
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

import numpy as np

from tests.standins.processes import free_port, start_module

from .path import cpu_ms

#: The numbers of entry VMs, and how long each fleet settles and is measured, s.
COUNTS: Final = (8, 30, 100)
SETTLE_S: Final = 20
MEASUREMENT_S: Final = 20
#: The number of domains: two services and the fleet.
DOMAIN_COUNT: Final = 3
#: The longest wait for the owners, s.
TIMEOUT_S: Final = 120
POLL_S: Final = 0.005
#: The pause between two losses of an owner, s: a new one gets time to be seen.
PAUSE_S: Final = 5


class IdleEntry(NamedTuple):
    """The process of an entry VM, and the file with its owned domains."""

    process: subprocess.Popen[bytes]
    output: pathlib.Path

    def domains(self) -> set[str]:
        """Return the domains that it owns by its log."""
        owned: set[str] = set()
        for line in self.output.read_text().splitlines():
            entry = json.loads(line)
            if entry['text'] == 'Domain acquired.':
                owned.add(entry['domain'])
            elif entry['text'] == 'Domain released.':
                owned.discard(entry['domain'])
        return owned


class IdleCost(NamedTuple):
    """Processor time of idle entry VMs and of owners, percent of a core."""

    entry_count: int
    idle_mean: float
    idle_most: float
    owner_mean: float


def main() -> None:
    """Measure each number of entry VMs and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--counts', type=int, nargs='+', default=COUNTS)
    costs = [_measure_fleet(count) for count in parser.parse_args().counts]
    if len(costs) > 1:
        slope, intercept = np.polyfit(
            [cost.entry_count for cost in costs],
            [cost.idle_mean for cost in costs],
            1,
        )
        print(f'idle = {intercept:.3f} + {slope:.5f} x entries, % of a core')


def _measure_fleet(count: int) -> IdleCost:
    with tempfile.TemporaryDirectory() as folder:
        store, address = start_module('store')
        entries: list[IdleEntry] = []
        try:
            entries.extend(_start(pathlib.Path(folder), count, address))
            cost = _measure_cost(entries)
            print(
                f'{cost.entry_count} entry VMs:'
                f' idle {cost.idle_mean:.3f}% on average,'
                f' {cost.idle_most:.3f}% at most,'
                f' owners {cost.owner_mean:.3f}%',
                flush=True,
            )
            _measure_take_overs(entries)
        finally:
            for process in (store, *(each.process for each in entries)):
                process.kill()
                process.wait()
    return cost


def _start(folder: pathlib.Path, count: int, store: str) -> Iterator[IdleEntry]:
    for number in range(count):
        output = folder / f'entry-{number}'
        with output.open('wb') as file:
            process = subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    'tests.standins.idle_entry',
                    f'entry-{number}',
                    store,
                    str(free_port()),
                ),
                stdout=file,
                stderr=subprocess.DEVNULL,
            )
        yield IdleEntry(process, output)


def _measure_cost(entries: Sequence[IdleEntry]) -> IdleCost:
    _wait_for_owners(entries)
    time.sleep(SETTLE_S)
    before = [cpu_ms(entry.process.pid) for entry in entries]
    started = time.monotonic()
    time.sleep(MEASUREMENT_S)
    elapsed = time.monotonic() - started
    # 1 % of a core is 10 ms of CPU time per second.
    spent = [
        (cpu_ms(entry.process.pid) - earlier) / elapsed / 10
        for entry, earlier in zip(entries, before, strict=True)
    ]
    owning = [bool(entry.domains()) for entry in entries]
    idle = [cost for cost, owns in zip(spent, owning, strict=True) if not owns]
    owners = [cost for cost, owns in zip(spent, owning, strict=True) if owns]
    return IdleCost(
        len(entries),
        statistics.mean(idle),
        max(idle),
        statistics.mean(owners),
    )


def _measure_take_overs(entries: Sequence[IdleEntry]) -> None:
    for number in (signal.SIGKILL, signal.SIGSTOP):
        time.sleep(PAUSE_S)
        owner = next(
            entry
            for entry in entries
            if entry.domains() and entry.process.poll() is None
        )
        domain = min(owner.domains())
        others = [entry for entry in entries if entry is not owner]
        started = time.monotonic()
        os.kill(owner.process.pid, number)
        _wait_until_owned(others, domain)
        elapsed = time.monotonic() - started
        print(f'  {number.name}: owned again after {elapsed * 1000:.0f} ms')
        owner.process.kill()
        owner.process.wait()
        owner.output.write_text('')


def _wait_for_owners(entries: Sequence[IdleEntry]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while sum(len(entry.domains()) for entry in entries) < DOMAIN_COUNT:
        if time.monotonic() > deadline:
            raise TimeoutError('the domains have no owners')
        time.sleep(POLL_S)


def _wait_until_owned(entries: Sequence[IdleEntry], domain: str) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not any(domain in entry.domains() for entry in entries):
        if time.monotonic() > deadline:
            raise TimeoutError(f'{domain} has no owner')
        time.sleep(POLL_S)


if __name__ == '__main__':
    main()
