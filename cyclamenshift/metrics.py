"""
cyclamenshift.metrics
=====================

The counters, gauges and histograms of one process, as Prometheus text.
"""

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .loadmetrics import BUCKETS_MS, LabelledTally, LoadMetrics

#: Media type of the Prometheus text format.
TEXT_FORMAT: Final = 'text/plain; version=0.0.4'


class Metrics:
    """The metrics of a process; names include their unit."""

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self.registry = Registry()
        self.load = LoadMetrics(self.registry)
        self.requests = self._counter(
            'requests_total',
            'Requests answered, by service and outcome.',
        )
        self.attempts = self._counter(
            'attempts_total',
            'Attempts at a worker, by kind of outcome.',
        )
        self.forwards = self._counter(
            'forwards_total',
            'Requests forwarded to another entry VM, by peer.',
        )
        self.late_answers = self._counter(
            'late_answers_total',
            'Answers that came after their request was settled.',
        )
        self.store_calls = self._tally(
            'store_calls_total',
            'Calls of the store, by operation and result.',
        )
        self.run_orders = self._tally(
            'run_orders_total',
            'Orders to start a run, by service and result.',
        )
        self.run_ends = self._tally(
            'run_ends_total',
            'Runs that ended, by service and how.',
        )
        self.vm_orders = self._counter(
            'vm_orders_total',
            'Orders to move or maintain a VM, by kind and result.',
        )
        self.answer_ms = self._histogram(
            'answer_ms',
            'Time until a caller was answered, by method, ms.',
        )
        self.run_start_ms = self._histogram(
            'run_start_ms',
            'Time from planning a run to its start, by service, ms.',
        )
        self.job_ms = self._histogram(
            'job_ms',
            'Time from accepting a job to its end, by service and state, ms.',
        )
        self.queued_requests = Gauge(
            'cyclamenshift_queued_requests',
            'Requests that wait for a slot, by pool.',
            registry=self.registry,
        )

    def render(self) -> str:
        """Return all metrics in the text format."""
        body, _headers = render(self.registry, [TEXT_FORMAT])
        return str(body.decode())

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f'cyclamenshift_{name}',
            doc,
            registry=self.registry,
            buckets=BUCKETS_MS,
        )

    def _tally(self, name: str, doc: str) -> LabelledTally:
        return LabelledTally(f'cyclamenshift_{name}', doc, self.registry)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'cyclamenshift_{name}', doc, registry=self.registry)
