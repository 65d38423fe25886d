"""
bench.claims
============

Store transactions and added latency of claims, by rate and commit interval.

Runs the real claims and row writer with the fakes of the tests, in virtual
time: a commit takes 3 ms and a run on a worker 10 ms.  Run it with
``python -m bench.claims``.
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
    RequestCluster,
    RequestEntry,
)
from tests.standins.shared_store import STORE_CALL_MS

#: Requests per second at one entry VM, and commit intervals.
REQUEST_RATES: Final = (10, 100, 400, 800)
COMMIT_INTERVALS_MS: Final = (0, 20, 50, 100)
#: Number of requests in each run.
REQUEST_COUNT: Final = 2_000
#: Lowest and highest value, ms, and number of significant digits.
HISTOGRAM_OPTIONS: Final = (1, 60_000, 3)
#: Minimum latency: the run, and the commits of the claim and of the outcome.
MIN_LATENCY_MS: Final = DEFAULT_RUN_MS + 2 * STORE_CALL_MS


class Result(NamedTuple):
    """Result of one run; the latencies include the minimum latency."""

    transactions_per_s: float
    rows_per_transaction: float
    p50_ms: int
    p99_ms: int
    done_count: int


def main() -> None:
    """Print the results for each request rate and commit interval."""
    print('rate/s  interval  transactions/s  rows each  wait p50  wait p99')
    for rate in REQUEST_RATES:
        for interval in COMMIT_INTERVALS_MS:
            clock = MockClock(autojump_threshold=0)
            result = trio.run(measure, rate, interval, clock=clock)
            print(
                f'{rate:6}  {interval:8}  {result.transactions_per_s:14.0f}'
                f'  {result.rows_per_transaction:9.1f}'
                f'  {result.p50_ms - MIN_LATENCY_MS:8}'
                f'  {result.p99_ms - MIN_LATENCY_MS:8}'
                f'  done {result.done_count}',
            )


async def measure(rate: int, interval: int) -> Result:
    """Send *rate* bookings per second to one entry VM."""
    histogram = HdrHistogram(*HISTOGRAM_OPTIONS)
    async with trio.open_nursery() as nursery:
        cluster = RequestCluster(nursery)
        entry = (await cluster.start_all(1, {'desk': 40}))[0]
        entry.kernel.settings['store']['claim_batch'] = 256
        row_writer = entry.claims.row_writer
        row_writer.interval = interval
        started = trio.current_time()
        async with trio.open_nursery() as callers:
            for number in range(REQUEST_COUNT):
                callers.start_soon(_run_request, entry, number, histogram)
                await trio.sleep(1 / rate)
        elapsed = trio.current_time() - started
        await cluster.wait_until(partial(_all_claims_finished, entry))
        nursery.cancel_scope.cancel()
    return Result(
        row_writer.batches / elapsed,
        row_writer.rows_written / row_writer.batches,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        histogram.get_total_count(),
    )


async def _run_request(
    entry: RequestEntry, number: int, histogram: HdrHistogram
) -> None:
    started = entry.kernel.clock.now()
    request = booking(f'key-{number}', deadline=started + 60_000)
    outcome = await entry.claims.run_once(request, entry.dispatcher.handle)
    if isinstance(outcome, Done):
        histogram.record_value(entry.kernel.clock.now() - started)


def _all_claims_finished(entry: RequestEntry) -> bool:
    return not entry.claims.unfinished


if __name__ == '__main__':
    main()
