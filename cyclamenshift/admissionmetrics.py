"""
cyclamenshift.admissionmetrics
==============================

How good the decisions to admit or refuse jobs were.
"""

from aioprometheus import Counter, Registry


class AdmissionMetrics:
    """Counters of the jobs that were refused, and of those that completed."""

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
