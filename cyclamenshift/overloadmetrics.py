"""
cyclamenshift.overloadmetrics
=============================

What the decisions under insufficient capacity do, and for which accounts.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from aioprometheus import Counter, Gauge, Registry

from .decisions.accounts.outcomes import AccountOutcomes, no_outcomes
from .job import JobState

#: The labels and the value of each series of a collector.
Series: TypeAlias = list[tuple[dict[str, str], Any]]


class LabelledReading(Gauge):
    """A gauge with one label, whose values are computed when it is read."""

    label = 'account'

    def __init__(
        self,
        name: str,
        doc: str,
        source: Callable[[], Mapping[str, int]],
        registry: Registry,
    ) -> None:
        """Read the values from *source*."""
        super().__init__(f'cyclamenshift_{name}', doc, registry=registry)
        self.source = source

    def get_all(self) -> Series:
        """Return the current value of each label value."""
        return [
            ({self.label: key}, number) for key, number in self.source().items()
        ]


class ServiceReading(LabelledReading):
    """Such a gauge by service."""

    label = 'service'


class OverloadMetrics:
    """
    The jobs that were refused and that finished, at this entry VM.

    ``accounts`` counts them by account, and ``running`` and ``waiting`` are
    replaced by what knows the runs, millicores, and the tasks that wait.
    """

    def __init__(self, registry: Registry) -> None:
        """Start at 0."""
        self.refused = Counter(
            'cyclamenshift_jobs_refused_total',
            'Jobs refused, by service and whether capacity came in their time.',
            registry=registry,
        )
        self.completed = Counter(
            'cyclamenshift_jobs_completed_total',
            'Accepted jobs that completed, by service and whether in time.',
            registry=registry,
        )
        self.forecast_peaks = Counter(
            'cyclamenshift_forecast_peaks_total',
            'Forecast peaks of demand, by service and whether they came.',
            registry=registry,
        )
        self.ejected_workers = ServiceReading(
            'ejected_workers',
            'Workers that get no runs but probes, by service owned here.',
            dict,
            registry,
        )
        self.accounts: AccountOutcomes = no_outcomes()
        self.running = LabelledReading(
            'account_running_millicores',
            'The cpu that the runs of an account have, at services owned here.',
            dict,
            registry,
        )
        self.waiting = LabelledReading(
            'account_waiting_tasks',
            'Tasks of an account that wait, at services owned here.',
            dict,
            registry,
        )
        self.served = LabelledReading(
            'account_worst_served_percent',
            'Jobs in time of the worst-served tenth of accounts, per cent.',
            self.accounts.worst_served,
            registry,
        )

    def record_end(
        self, service: str, account: str, state: JobState, *, in_time: bool
    ) -> None:
        """Count a job that has finished in *state*."""
        completed = state is JobState.completed
        if completed:
            self.completed.inc(
                {'service': service, 'in_time': 'yes' if in_time else 'no'}
            )
        if account:
            finished = self.accounts.in_time if in_time else self.accounts.late
            counter = finished if completed else self.accounts.failed
            counter[account] += 1
