"""
cyclamenshift.decisions.overload.time_comparison
================================================

Compares run times, and the times for which runs have been at work so far.
"""

from collections.abc import Iterable

from ...job import StepId
from ..progress import Attempt, WorkerInstance
from .slowness import (
    NOTHING_OVERDUE,
    SUSPECT_SLOWDOWN,
    EstimateErrors,
    OverdueRuns,
    Sample,
    compare_siblings,
    has_typical_time,
)
from .step_records import StepRecord, StepRecords


class TimeComparison:
    """Compares with the step elsewhere, or else with the estimate."""

    def __init__(self, steps: StepRecords) -> None:
        """Use the run times in *steps*."""
        self.steps = steps
        self.errors = EstimateErrors()

    def compare(
        self,
        record: StepRecord | None,
        instance: WorkerInstance,
        elapsed: float,
        estimate: int,
    ) -> Sample | None:
        """Compare a run time at a worker, None if too little is known."""
        sample = record and compare_siblings(record, instance, elapsed)
        return sample or self.errors.compare(elapsed, estimate)

    def find_overdue(
        self,
        attempts: Iterable[Attempt],
        instance: WorkerInstance,
        earliest: int,
        now: int,
    ) -> OverdueRuns:
        """Return what the runs say that started after *earliest*, ms."""
        samples: dict[StepId, Sample] = {}
        since = now
        for attempt in attempts:
            started_at = now - attempt.seen_for
            sample = self._compare_attempt(attempt, instance)
            is_slow = sample and sample.excess >= SUSPECT_SLOWDOWN
            if sample and is_slow and started_at >= earliest:
                step_id = attempt.task.task_id.step_id
                samples[step_id] = max(sample, samples.get(step_id, sample))
                since = min(since, started_at)
        if not samples:
            return NOTHING_OVERDUE
        return OverdueRuns(since, tuple(samples.values()))

    def _compare_attempt(
        self, attempt: Attempt, instance: WorkerInstance
    ) -> Sample | None:
        """Compare the time for which a run was seen at work."""
        task = attempt.task
        elapsed = attempt.seen_for
        if not elapsed or not has_typical_time(task.step):
            return None
        record = self.steps.by_step.get(task.task_id.step_id)
        return self.compare(record, instance, elapsed, task.step.estimate)
