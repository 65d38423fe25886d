"""
bench.claims
============

Transactions and added wait of claims, against rate and commit interval.

Runs the real claims and row writer on virtual time, over the tests' fakes: a
commit takes 3 ms, a worker 10 ms.  ``python -m bench.claims``.
"""

from functools import partial
from typing import Final, NamedTuple

import trio
from hdrh.histogram import HdrHistogram
from trio.testing import MockClock

from cyclamenshift.model import Done
from tests.builders import booking
from tests.standins.fakes import (
    DEFAULT_RUN_MS,
    STORE_CALL_MS,
    RequestCluster,
    RequestEntry,
)

#: Requests a second at one entry VM, and intervals between commits, ms.
RATES: Final = (10, 100, 400, 800)
INTERVALS: Final = (0, 20, 50, 100)
#: Requests of each run.
REQUESTS: Final = 2_000
#: The bounds of the histogram, ms, and its precision.
HISTOGRAM: Final = (1, 60_000, 3)
#: What a request takes with its claim and its record, at the least, ms.
LEAST_MS: Final = DEFAULT_RUN_MS + 2 * STORE_CALL_MS


class Result(NamedTuple):
    """What one run gave."""

    transactions: float
    rows: float
    p50: int
    p99: int
    done: int


def main() -> None:
    """Print one row for each rate and interval."""
    print('rate/s  interval  transactions/s  rows each  wait p50  wait p99')
    for rate in RATES:
        for interval in INTERVALS:
            clock = MockClock(autojump_threshold=0)
            result = trio.run(measure, rate, interval, clock=clock)
            print(
                f'{rate:6}  {interval:8}  {result.transactions:14.0f}'
                f'  {result.rows:9.1f}  {result.p50 - LEAST_MS:8}'
                f'  {result.p99 - LEAST_MS:8}  done {result.done}',
            )


async def measure(rate: int, interval: int) -> Result:
    """Send bookings at *rate* to one entry VM."""
    histogram = HdrHistogram(*HISTOGRAM)
    async with trio.open_nursery() as nursery:
        cluster = RequestCluster(nursery)
        entry = (await cluster.start_all(1, {'desk': 40}))[0]
        entry.kernel.settings['store']['claim_batch'] = 256
        row_writer = entry.claims.row_writer
        row_writer.interval = interval
        started = trio.current_time()
        async with trio.open_nursery() as callers:
            for number in range(REQUESTS):
                callers.start_soon(_ask, entry, number, histogram)
                await trio.sleep(1 / rate)
        elapsed = trio.current_time() - started
        await cluster.wait_until(partial(_idle, entry))
        nursery.cancel_scope.cancel()
    return Result(
        row_writer.batches / elapsed,
        row_writer.rows_written / row_writer.batches,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        histogram.get_total_count(),
    )


async def _ask(
    entry: RequestEntry, number: int, histogram: HdrHistogram
) -> None:
    started = entry.kernel.clock.now()
    request = booking(f'key-{number}', deadline=started + 60_000)
    outcome = await entry.claims.run_once(request, entry.dispatcher.handle)
    if isinstance(outcome, Done):
        histogram.record_value(entry.kernel.clock.now() - started)


def _idle(entry: RequestEntry) -> bool:
    return not entry.claims.unfinished


if __name__ == '__main__':
    main()
