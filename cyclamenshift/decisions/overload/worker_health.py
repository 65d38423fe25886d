"""
cyclamenshift.decisions.overload.worker_health
==============================================

Finds workers that fail what they start, or are slow, and readmits them.

The load: at the peak of demand a seventh of the workers fail all that they
start for some seconds, or take several times as long, and report good health.
A task has about four attempts, so that few of them may be spent there.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from ...job import RunId, RunOutcome
from ..progress import Attempt, WorkerInstance
from ..reports import EndedRun
from .failures import Failure
from .pool_health import SUSPICION_MS, PoolHealth
from .slowness import (
    BATCH_SIZE,
    SUSPECT_SLOWDOWN,
    Sample,
    compare_siblings,
    has_typical_time,
    own_times,
)
from .step_records import RunTime, StepRecord, StepRecords
from .time_comparison import TimeComparison
from .worker_states import (
    LATE_TRIAL_MS,
    MAX_PROBE_DELAY_MS,
    HealthState,
    Rank,
    WorkerRecord,
    is_at_work,
    judge,
    rank_of_probe,
)

#: How often the running runs are looked at, ms: as often as workers report.
CHECK_INTERVAL_MS: Final = 1_000
#: How many done tasks of a step make the failures of others be weighed anew.
FIRST_DONE: Final = 8
NO_ATTEMPTS: Final[Mapping[RunId, Attempt]] = {}


class WorkerHealth(PoolHealth):
    """The health of the workers of one pool, kept by its scheduler."""

    def __init__(self) -> None:
        """Start without workers; ``retain`` tells of them."""
        super().__init__()
        self.steps = StepRecords()
        self.run_times = TimeComparison(self.steps)
        self.next_check = 0

    def check_running(
        self,
        attempts_by_worker: Mapping[WorkerInstance, Mapping[RunId, Attempt]],
        now: int,
    ) -> None:
        """Look for workers with overdue runs, from time to time."""
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL_MS
        for instance, worker in self.workers.items():
            overdue = self.run_times.find_overdue(
                attempts_by_worker.get(instance, {}).values(),
                instance,
                worker.readmitted_at,
                now,
            )
            if overdue != worker.slowness.overdue:
                worker.slowness.overdue = overdue
                self._evaluate(worker, now)

    def rank(
        self,
        instance: WorkerInstance,
        now: int,
        attempts: Mapping[RunId, Attempt] = NO_ATTEMPTS,
    ) -> Rank:
        """
        Return the rank of a worker at *now* that has these *attempts*.

        A suspect without new evidence is readmitted, and an ejected one whose
        probe is at work.
        """
        worker = self.workers.get(instance)
        if worker and worker.is_cleared(now):
            self.readmit(worker, 'no new evidence', now)
        elif worker and worker.probe and worker.probe in attempts:
            self._check_probe(worker, attempts[worker.probe], now)
        return self.peek_rank(instance, now, attempts)

    def peek_rank(
        self,
        instance: WorkerInstance,
        now: int,
        attempts: Mapping[RunId, Attempt] = NO_ATTEMPTS,
    ) -> Rank:
        """Return the rank of a worker without readmitting it."""
        worker = self.workers.get(instance)
        if worker is None or worker.state is HealthState.healthy:
            return Rank.healthy
        if worker.ejected:
            return _rank_ejected(worker, attempts, now)
        if worker.is_cleared(now):
            return Rank.healthy
        return self._rank_suspect(worker, attempts.values(), now)

    def record_start(
        self, instance: WorkerInstance, run: RunId, now: int
    ) -> None:
        """Take note of a run that is started, which may be a probe."""
        worker = self.workers.get(instance)
        if worker is None or not worker.ejected:
            return
        if worker.failing or now >= worker.until:
            worker.probe = run
            self.change(worker, HealthState.probed, 'delay is over')

    def record_end(
        self, run: EndedRun, instance: WorkerInstance, now: int
    ) -> None:
        """Learn from the end of a run at a worker."""
        worker = self.workers.get(instance)
        if worker is None or worker.predates(run, now):
            return
        record = self.steps.get(run.task)
        probed = worker.probe == run.run
        is_slow = probed and self._is_slow(worker, run, record)
        if run.outcome is RunOutcome.failed:
            self._record_failure(worker, Failure(run.task, record), now)
        elif run.outcome is RunOutcome.done:
            self._record_done(worker, run, record, now)
        elif run.outcome is RunOutcome.stopped:
            self._record_overtaken(worker, run, record, now)
        if probed:
            self._end_probe(worker, run, now, is_slow=is_slow)

    def _rank_suspect(
        self, worker: WorkerRecord, attempts: Iterable[Attempt], now: int
    ) -> Rank:
        """Limit the runs at a worker that fails, unless many seem to."""
        unhealthy = sum(
            each.state is not HealthState.healthy
            for each in self.workers.values()
        )
        if not worker.failing or unhealthy > self.quota:
            return Rank.suspected
        is_busy = any(
            not each.task.step.long_running or not is_at_work(each)
            for each in attempts
        )
        if is_busy:
            return Rank.unavailable
        evidence_age = now - (worker.until - SUSPICION_MS)
        is_late = evidence_age >= LATE_TRIAL_MS
        return Rank.late_trial if is_late else Rank.trial

    def _check_probe(
        self, worker: WorkerRecord, attempt: Attempt, now: int
    ) -> None:
        """
        Readmit an ejected worker whose probe is at work.

        That tells nothing of the run times of a slow one, which stays
        suspected if the probe has no run time to compare.
        """
        lasting = attempt.task.step.long_running
        if not is_at_work(attempt):
            return
        if worker.failing:
            self.readmit(worker, 'probe at work', now)
        elif lasting:
            worker.probe = None
            worker.until = now + SUSPICION_MS
            self.change(worker, HealthState.suspected, 'probe at work')

    def _record_failure(
        self, worker: WorkerRecord, failure: Failure, now: int
    ) -> None:
        instance = worker.ends.instance
        record = failure.record
        if worker.state is HealthState.healthy:
            if not failure.is_excused(self.ejected | {instance}):
                self.pool_rate.record(failed=True)
        worker.ends.add_failure(failure)
        record.failed[instance] += 1
        self._evaluate(worker, now)
        # The failure may excuse earlier ones of the step at other workers.
        for other in record.failed.keys() - {instance}:
            suspect = self.workers.get(other)
            if suspect and suspect.state is HealthState.suspected:
                self._evaluate(suspect, now)

    def _record_done(
        self,
        worker: WorkerRecord,
        run: EndedRun,
        record: StepRecord,
        now: int,
    ) -> None:
        if run.task.step.long_running:
            return
        if worker.state is HealthState.healthy:
            self.pool_rate.record(failed=False)
        worker.ends.add_success()
        record.done += 1
        if run.run_time is not None and has_typical_time(run.task.step):
            elapsed = max(1, run.run_time)
            record.times.append(RunTime(worker.ends.instance, elapsed))
        if worker.state is HealthState.suspected:
            self._evaluate(worker, now)
        # It proves that the step can succeed where others failed.
        if record.done <= FIRST_DONE:
            for other in record.failed:
                self._evaluate(self.workers.get(other), now)
        is_over = record.done >= run.task.step.tasks
        if record.times and (is_over or len(record.times) >= BATCH_SIZE):
            self._compare(record, run.task.step.estimate, now)

    def _compare(self, record: StepRecord, estimate: int, now: int) -> None:
        """Compare the run times of a step between its workers."""
        for instance, elapsed in own_times(record.times):
            worker = self.workers.get(instance)
            sample = self.run_times.compare(record, instance, elapsed, estimate)
            if worker and worker.state is HealthState.healthy:
                self.run_times.errors.learn(elapsed, estimate)
            self._add_sample(worker, sample, now)
        times = sorted(each.elapsed for each in record.times)
        record.typical = times[(len(times) - 1) // 2]
        record.times = []

    def _record_overtaken(
        self,
        worker: WorkerRecord,
        run: EndedRun,
        record: StepRecord,
        now: int,
    ) -> None:
        """Learn from a run that was stopped since another one was faster."""
        if run.run_time is None or not run.task.done:
            return
        sample = compare_siblings(
            record, worker.ends.instance, max(1, run.run_time)
        )
        # It would have taken longer, so only a slow one says something.
        if sample and sample.excess >= SUSPECT_SLOWDOWN:
            self._add_sample(worker, sample, now)

    def _add_sample(
        self, worker: WorkerRecord | None, sample: Sample | None, now: int
    ) -> None:
        if worker and sample and not worker.ejected:
            worker.slowness.add(sample, now)
            if sample.excess >= SUSPECT_SLOWDOWN:
                self._evaluate(worker, now)

    def _evaluate(self, worker: WorkerRecord | None, now: int) -> None:
        """Suspect, eject or clear a worker by all evidence."""
        if worker is None or worker.ejected:
            return
        evidence = self.weigh(worker)
        state = judge(evidence, worker.slowness.measure())
        if state is HealthState.ejected and len(self.ejected) >= self.quota:
            state = HealthState.suspected
        if state is HealthState.healthy and not evidence.total:
            worker.ends.ends.clear()
        if state is HealthState.healthy and worker.suspected_slow:
            # The few runs that it still gets do not tell whether it recovered.
            return
        worker.failing = evidence.failing
        delays = {
            HealthState.suspected: SUSPICION_MS,
            HealthState.ejected: worker.delay,
        }
        worker.until = now + delays.get(state, 0)
        if state is not worker.state:
            reason = 'failures' if worker.failing else 'run times'
            self.change(worker, state, reason)

    def _end_probe(
        self, worker: WorkerRecord, run: EndedRun, now: int, *, is_slow: bool
    ) -> None:
        worker.probe = None
        if run.outcome is RunOutcome.done and not is_slow:
            self.readmit(worker, 'probe succeeded', now)
        elif run.outcome is RunOutcome.failed or is_slow:
            worker.delay = min(MAX_PROBE_DELAY_MS, 2 * worker.delay)
            worker.until = now + worker.delay
            self.change(worker, HealthState.ejected, 'probe failed')

    def _is_slow(
        self, worker: WorkerRecord, run: EndedRun, record: StepRecord
    ) -> bool:
        """Return whether the probe of a slow worker was slow again."""
        if worker.failing or run.run_time is None:
            return False
        sample = self.run_times.compare(
            record,
            worker.ends.instance,
            max(1, run.run_time),
            run.task.step.estimate,
        )
        return sample is not None and sample.excess >= SUSPECT_SLOWDOWN


def _rank_ejected(
    worker: WorkerRecord, attempts: Mapping[RunId, Attempt], now: int
) -> Rank:
    """Return the rank of an ejected worker that has these *attempts*."""
    if worker.probe in attempts:
        return Rank.unavailable
    if now >= worker.until:
        return rank_of_probe(now - worker.until)
    return Rank.lasting if now >= worker.lasting_from else Rank.unavailable
