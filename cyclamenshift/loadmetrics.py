"""
cyclamenshift.loadmetrics
=========================

The load of a process: its traffic, delays and queues.

These metrics are updated for each message, so they are plain dicts that only
become label sets when they are read.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import Any, Final, NamedTuple, TypeAlias

from aioprometheus import Counter, Gauge, Histogram, Registry

from .overloadmetrics import OverloadMetrics

#: Upper bounds of the latency buckets, ms; an unbounded one follows.
BUCKETS_MS: Final = (
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1_000.0,
    2_500.0,
    5_000.0,
    10_000.0,
    30_000.0,
)
#: Upper bounds of the buckets of the run time over the expected one: a tenth,
#: the factors 1.5 and 2.5, and the factor 6 (two standard deviations of the
#: estimates of one deployment), to both sides.
RATIO_BUCKETS: Final = (0.167, 0.4, 0.667, 0.9, 1.1, 1.5, 2.5, 6.0)
#: The labels and the value of each series of a collector.
Series: TypeAlias = list[tuple[dict[str, str], Any]]


class Worst(NamedTuple):
    """The longest time of an interval, ms, and its label value."""

    elapsed: int
    key: str


class Tally(Counter):
    """
    A counter with one label, for frequent events.
    """

    def __init__(
        self, name: str, doc: str, label: str, registry: Registry
    ) -> None:
        """Start at 0; *label* is the name of the label."""
        super().__init__(name, doc, registry=registry)
        self.label = label
        self.totals: defaultdict[str, int] = defaultdict(int)

    def increase(self, key: str, amount: int) -> None:
        """Increase the total of the label value *key*."""
        self.totals[key] += amount

    def get_all(self) -> Series:
        """Return the total of each label value."""
        return [
            ({self.label: key}, total) for key, total in self.totals.items()
        ]


class LabelledTally(Counter):
    """A counter with several labels, for frequent events."""

    def __init__(self, name: str, doc: str, registry: Registry) -> None:
        """Start at 0."""
        super().__init__(name, doc, registry=registry)
        self.totals: defaultdict[tuple[tuple[str, str], ...], int] = (
            defaultdict(int)
        )

    def inc(self, labels: dict[str, str]) -> None:
        """Count an event; *labels* are always given in the same order."""
        self.totals[tuple(labels.items())] += 1

    def get_all(self) -> Series:
        """Return the total of each label set, its labels sorted by name."""
        return [
            (dict(sorted(labels)), total)
            for labels, total in self.totals.items()
        ]


class Timing(Histogram):
    """A histogram with at most one label, for frequent events."""

    def __init__(
        self, name: str, doc: str, label: str, registry: Registry
    ) -> None:
        """Start empty; an empty *label* means a single series."""
        super().__init__(name, doc, registry=registry, buckets=BUCKETS_MS)
        self.label = label
        self.counts: defaultdict[str, list[int]] = defaultdict(_empty_buckets)
        self.sums: defaultdict[str, int] = defaultdict(int)
        self.worst = Worst(0, '')

    def record(self, elapsed: int, key: str = '') -> None:
        """Count a time of *elapsed* ms under the label value *key*."""
        self.counts[key][bisect_left(BUCKETS_MS, elapsed)] += 1
        self.sums[key] += elapsed
        if elapsed > self.worst.elapsed:
            self.worst = Worst(elapsed, key)

    def take_worst(self) -> Worst:
        """Return the longest time since the previous call."""
        worst = self.worst
        self.worst = Worst(0, '')
        return worst

    def get_all(self) -> Series:
        """Return the cumulative buckets of each label value."""
        return [
            ({self.label: key} if key else {}, self._cumulative(key))
            for key in self.counts
        ]

    def _cumulative(self, key: str) -> dict[float | str, int]:
        bounds = (*BUCKETS_MS, float('inf'))
        cumulative = tuple(accumulate(self.counts[key]))
        return {
            **dict(zip(bounds, cumulative, strict=True)),
            'count': cumulative[-1],
            'sum': self.sums[key],
        }


class Reading(Gauge):
    """A gauge with one label, whose values are computed when it is read."""

    def __init__(
        self, name: str, doc: str, label: str, registry: Registry
    ) -> None:
        """Read nothing until ``source`` is set."""
        super().__init__(name, doc, registry=registry)
        self.label = label
        self.source: Callable[[], Mapping[str, int]] = dict

    def get_all(self) -> Series:
        """Return the current value of each label value."""
        return [
            ({self.label: key}, number) for key, number in self.source().items()
        ]


class LoadMetrics:
    """The metrics of the load of a process."""

    def __init__(self, registry: Registry) -> None:
        """Create the metrics in *registry*."""
        self.registry = registry
        self.sent_bytes = self._tally(
            'sent_bytes_total',
            'Bytes sent to peers and servers, by kind.',
        )
        self.received_bytes = self._tally(
            'received_bytes_total',
            'Bytes received from peers and servers, by kind.',
        )
        self.call_ms = self._timing(
            'call_ms',
            'Time of a call that the server does not hold, by operation, ms.',
            'operation',
        )
        self.frame_wait_ms = self._timing(
            'frame_wait_ms',
            'Time that a message to a peer waited until it was sent, ms.',
        )
        self.loop_delay_ms = self._timing(
            'loop_delay_ms',
            'Time by which the event loop woke a task too late, ms.',
        )
        self.activation_lag_ms = self._timing(
            'activation_lag_ms',
            'Longest possible delay of an activated configuration, ms.',
        )
        self.tasks_waiting = self._reading(
            'tasks_waiting',
            'Tasks that wait for a worker, by service owned here.',
            'service',
        )
        self.orders_in_flight = self._reading(
            'orders_in_flight',
            'Runs with an order that is not settled, by service owned here.',
            'service',
        )
        self.jobs_left_out = self._reading(
            'jobs_left_out',
            'Jobs whose progress the store rejects, by service owned here.',
            'service',
        )
        self.overload = OverloadMetrics(registry)
        self.run_time_ratio = Histogram(
            'cyclamenshift_run_time_ratio',
            'Run time of a step over the estimated or the predicted one.',
            registry=registry,
            buckets=RATIO_BUCKETS,
        )
        self.owned_epochs = self._reading(
            'owned_epoch',
            'Epoch of each domain that this entry VM owns.',
            'domain',
        )

    def record_run_time(
        self, service: str, estimate: int, predicted: int, actual: float
    ) -> None:
        """Compare a run time with what was expected, ms, 0 if unknown."""
        expected = {'estimate': estimate, 'prediction': predicted}
        for basis, run_time in expected.items():
            if run_time:
                labels = {'service': service, 'basis': basis}
                self.run_time_ratio.observe(labels, actual / run_time)

    def _timing(self, name: str, doc: str, label: str = '') -> Timing:
        return Timing(f'cyclamenshift_{name}', doc, label, self.registry)

    def _tally(self, name: str, doc: str) -> Tally:
        return Tally(f'cyclamenshift_{name}', doc, 'kind', self.registry)

    def _reading(self, name: str, doc: str, label: str) -> Reading:
        return Reading(f'cyclamenshift_{name}', doc, label, self.registry)


def _empty_buckets() -> list[int]:
    return [0 for _bound in (*BUCKETS_MS, None)]
