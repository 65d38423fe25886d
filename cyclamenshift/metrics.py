"""
cyclamenshift.metrics
=====================

The counters and gauges of one process, in the Prometheus text format.
"""

from aioprometheus import Counter, Gauge, Registry, render

#: The media type in which the metrics are offered.
TEXT_FORMAT = 'text/plain; version=0.0.4'


class Metrics:
    """The metrics of one process; units stand in the names."""

    def __init__(self) -> None:
        """Register every metric with a registry of its own."""
        self.registry = Registry()
        self.outcomes = self._counter(
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
        self.store_calls = self._counter(
            'store_calls_total',
            'Calls of the store, by operation and result.',
        )
        self.queued = Gauge(
            'cyclamenshift_queued_requests',
            'Requests that wait for a slot, by pool.',
            registry=self.registry,
        )

    def render(self) -> str:
        """Return every metric as text."""
        body, _headers = render(self.registry, [TEXT_FORMAT])
        return str(body.decode())

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'cyclamenshift_{name}', doc, registry=self.registry)
