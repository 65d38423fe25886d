"""
cyclamenshift.scheduling.placer
===============================

Places the waiting tasks of one service and starts them.
"""

from collections.abc import Callable, Iterable, Mapping
from itertools import chain
from typing import Final, TypeAlias

import trio

from ..decisions.accounts.allotments import NO_LIMITS, StartBudget
from ..decisions.candidates import Candidate, Placement
from ..decisions.copies import SlowRun, slow_runs
from ..decisions.isolation import IsolationWaits
from ..decisions.lending import total_resources
from ..decisions.overload.worker_states import Rank
from ..decisions.placement import (
    PlacementRules,
    may_fit,
    place,
    share_checkpoint,
)
from ..decisions.progress import Attempt, Task, WorkerInstance
from ..decisions.urgency import NO_RANKING, Ranking, most_urgent_first
from ..job import NO_RESOURCES, RunId
from .account_limits import AccountLimits
from .orders import RunStarter
from .state import ServiceState
from .suspects import Suspects

#: How many of the jobs that wait for capacity are logged.
LOGGED_JOBS: Final = 5
#: How often the job that is too late by the most goes first, ms.  So the wait
#: of each is bounded, and jobs that can be in time get nearly all capacity.
PROMOTION_INTERVAL_MS: Final = 1_000

#: Returns the rank of a worker that has these attempts.
RankOf: TypeAlias = Callable[[WorkerInstance, Mapping[RunId, Attempt]], Rank]


class Placer:
    """Starts waiting tasks, as many as the order window allows."""

    def __init__(
        self,
        state: ServiceState,
        nursery: trio.Nursery,
        account_limits: AccountLimits,
    ) -> None:
        """Start runs in tasks of *nursery*, within *account_limits*."""
        self.state = state
        self.nursery = nursery
        self.tracker = state.tracker
        self.clock = state.clock
        self.isolation_waits = IsolationWaits()
        self.jobs_without_capacity: set[str] = set()
        self.account_limits = account_limits
        self.next_promotion = 0
        self.budget = NO_LIMITS
        self.ranking = NO_RANKING

    def place(self) -> None:
        """Start the most urgent tasks that fit, then copies of slow runs."""
        now = self.clock.now()
        slow = self._slow_runs(now)
        if not self.tracker.waiting:
            self.jobs_without_capacity.clear()
        if not self.tracker.waiting and not slow:
            self.account_limits.request(NO_LIMITS)
            return
        if not self.state.order_window.ready(self.state.service):
            self.state.order_window.wake_when_ready(self.state.wake)
            return
        candidates = self.candidates(now, self.state.health.rank)
        self.budget = self.account_limits.budget()
        self.ranking = self.rank_jobs()
        if self.ranking.promotes:
            self.next_promotion = now + PROMOTION_INTERVAL_MS
        suspects = Suspects(self.state, self.isolation_waits, now, self.budget)
        self._start(suspects.place(candidates))
        suspects.log_shared_placements()
        self._place_most_urgent(suspects.others, candidates)
        if self.state.order_window.free(self.state.service):
            self._log_capacity_shortage(candidates)
        else:
            self.state.order_window.wake_when_ready(self.state.wake)
        copied = [run.attempt.task for run in slow]
        copies = self._place_most_urgent(copied, candidates)
        self._log_copies(slow, copies)
        self.account_limits.request(self.budget)

    def candidates(
        self, now: int, rank_of: RankOf
    ) -> dict[WorkerInstance, Candidate]:
        """Return the workers that accept tasks, ranked by *rank_of*."""
        if not self.state.knows_workers:
            return {}
        return {
            instance: Candidate(
                session.worker,
                session.worker.resources.minus(
                    self.tracker.used.get(instance, NO_RESOURCES)
                ),
                rank,
            )
            for instance, session in self.state.sessions.items()
            if session.usable(now)
            and (
                rank := rank_of(
                    instance,
                    self.tracker.attempts_by_worker.get(instance, {}),
                )
            )
            is not Rank.unavailable
        }

    def rank_jobs(self, *joining: str) -> Ranking:
        """
        Return what the order of the waiting tasks depends on now.

        The accounts *joining* have tasks that wait, besides those tracked.
        """
        capacity = total_resources(
            [
                session.worker.resources
                for session in self.state.sessions.values()
                if not session.closed
            ]
        )
        overload = self.state.kernel.settings['overload']
        by_cost = overload['cost_ordering']
        promotes = by_cost and self.clock.now() >= self.next_promotion
        return Ranking(
            accounts=self.account_limits.accounts,
            over_share=self.account_limits.over_share(capacity, joining),
            beyond_share=self.account_limits.beyond_share,
            capacity=capacity.cpu if by_cost else 0,
            promotes=promotes,
        )

    def rules(self, budget: StartBudget) -> PlacementRules:
        """Return what bounds the placements of a pass with *budget*."""
        return PlacementRules(
            budget, self._rack_of if self.state.health.enabled else None
        )

    def _place_most_urgent(
        self,
        tasks: Iterable[Task],
        candidates: dict[WorkerInstance, Candidate],
    ) -> list[Placement]:
        """Place and start as many tasks as the order window allows."""
        urgent = most_urgent_first(
            may_fit(tasks, candidates.values()),
            self.clock.wall_time(),
            self.ranking,
        )
        free = self.state.order_window.free(self.state.service)
        placements = place(
            urgent, candidates, free, rules=self.rules(self.budget)
        )
        self._start(placements)
        return placements

    def _start(self, placements: Iterable[Placement]) -> None:
        for placement in placements:
            if placement.task.step.gang and not placement.task.task_id.ordinal:
                share_checkpoint(placement.task)
            attempt = self.tracker.plan(
                placement.task,
                placement.instance,
                placement.number,
                self.clock.now(),
            )
            self.state.health.record_start(attempt)
            session = self.state.sessions[placement.instance]
            starter = RunStarter(self.state, session, attempt)
            self.state.order_window.enter(self.state.service)
            self.nursery.start_soon(starter.run)

    def _slow_runs(self, now: int) -> list[SlowRun]:
        silent = {
            instance
            for instance, session in self.state.sessions.items()
            if session.misses
        }
        by_worker = self.tracker.attempts_by_worker.values()
        attempts = chain.from_iterable(runs.values() for runs in by_worker)
        return slow_runs(attempts, silent, now)

    def _log_copies(
        self,
        slow: Iterable[SlowRun],
        copies: Iterable[Placement],
    ) -> None:
        copied = {run.attempt.task.task_id: run for run in slow}
        for copy in copies:
            run = copied[copy.task.task_id]
            self.state.log.note(
                'Speculative copy chosen.',
                run=run.attempt.run,
                worker=run.attempt.instance[0],
                copy_worker=copy.instance[0],
                age_ms=run.age,
                usual_ms=run.typical,
                silent=run.silent,
            )

    def _log_capacity_shortage(
        self, candidates: dict[WorkerInstance, Candidate]
    ) -> None:
        """Log once which jobs start to wait for capacity."""
        if not all(
            session.has_reported for session in self.state.sessions.values()
        ):
            return
        short = {task.task_id.job_id for task in self.tracker.waiting.values()}
        new = sorted(short - self.jobs_without_capacity)
        self.jobs_without_capacity = short
        if new:
            self.state.log.note(
                'Jobs waiting for capacity.',
                count=len(new),
                jobs=new[:LOGGED_JOBS],
                tasks_waiting=len(self.tracker.waiting),
                workers_usable=len(candidates),
                workers=len(self.state.sessions),
            )

    def _rack_of(self, instance: WorkerInstance) -> str:
        session = self.state.sessions.get(instance)
        return session.worker.rack if session else ''
