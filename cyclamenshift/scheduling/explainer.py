"""
cyclamenshift.scheduling.explainer
==================================

Explains where a job would go now, from the state of its scheduler.

Nothing here changes that state: what a scheduling pass or an admission would
change is copied first.
"""

from collections import Counter
from contextlib import nullcontext

from ..decisions.explanation import (
    AccountRoom,
    NextPass,
    find_order,
    find_placement,
)
from ..decisions.overload.worker_states import Rank
from ..decisions.progress import JobProgress, Task
from ..decisions.urgency import Ranking
from ..directory import Queue
from ..job import Job
from .explanations import (
    Explanation,
    NextStart,
    account_detail,
    admission_detail,
    run_time_detail,
    start_detail,
)
from .placer import Placer
from .service import ServiceScheduler
from .suspects import Suspects
from .worker_session import WorkerSession


class Explainer:
    """Explains jobs by the state of one scheduler that has loaded its jobs."""

    def __init__(self, scheduler: ServiceScheduler, placer: Placer) -> None:
        """Look at *scheduler* and its *placer*."""
        self.scheduler = scheduler
        self.placer = placer
        self.state = scheduler.state
        self.tracker = scheduler.tracker
        self.account_limits = scheduler.account_limits
        self.clock = scheduler.clock

    def explain_new(self, job: Job, queue: Queue) -> Explanation:
        """Explain a job that is submitted now."""
        run_times = self.tracker.run_times
        with run_times.order_kept() if run_times else nullcontext():
            progress = JobProgress(job, queue, run_times)
            waiting = progress.open_due(self.clock.wall_time())
            within = self.account_limits.would_be_within_share(job.account)
            explanation = self._explain(progress, waiting, within=within)
            explanation['admission'] = admission_detail(
                self.scheduler.admission.preview(progress)
            )
        return explanation

    def explain_tracked(self, progress: JobProgress) -> Explanation:
        """Explain a job that has been accepted."""
        run_times = self.tracker.run_times
        job_id = progress.job.job_id
        waiting = [
            task
            for task in self.tracker.waiting.values()
            if task.task_id.job_id == job_id
        ]
        within = job_id not in self.account_limits.beyond_share
        with run_times.order_kept() if run_times else nullcontext():
            explanation = self._explain(progress, waiting, within=within)
        explanation['tracked'] = True
        explanation['state'] = str(progress.state)
        return explanation

    def _explain(
        self, progress: JobProgress, waiting: list[Task], *, within: bool
    ) -> Explanation:
        job = progress.job
        due = progress.next_due()
        return Explanation(
            job=job.job_id,
            tracked=False,
            state='new',
            queue=job.queue,
            service=self.state.service,
            epoch=self.state.term.epoch,
            suspended=progress.suspended,
            runs=len(progress.attempts()),
            due_in_ms=max(0, due - self.clock.wall_time()) if due else None,
            account=account_detail(
                job.account,
                self._room_of(job.account),
                within_share=within,
            ),
            run_times=run_time_detail(progress),
            admission=None,
            start=self._start_of(waiting, within=within),
            workers=self._count_workers(),
        )

    def _start_of(
        self, waiting: list[Task], *, within: bool
    ) -> NextStart | None:
        """Return what would become of the first step that waits."""
        if not waiting:
            return None
        step_id = min(task.task_id.step_id for task in waiting)
        own = [task for task in waiting if task.task_id.step_id == step_id]
        next_pass = self._next_pass(waiting, within=within)
        order = find_order(
            {
                task.task_id: task
                for task in (*self.tracker.waiting.values(), *waiting)
            }.values(),
            step_id,
            next_pass.wall_time,
            next_pass.ranking,
        )
        return start_detail(own[0], order, find_placement(own, next_pass))

    def _next_pass(self, waiting: list[Task], *, within: bool) -> NextPass:
        """Return what the next pass would look at, with tasks that join it."""
        job = waiting[0].job.job
        budget = self.account_limits.budget()
        candidates = self.placer.candidates(
            self.clock.now(), self.state.health.peek_rank
        )
        free_at = {key: each.free for key, each in candidates.items()}
        suspects = Suspects(
            self.state,
            self.placer.isolation_waits.copy(),
            self.clock.now(),
            budget,
        )
        free = self._free_orders()
        return NextPass(
            tasks=self._joined(suspects.others, waiting),
            candidates=candidates,
            free_at=free_at,
            suspects=suspects.place(candidates) if free else [],
            free=free,
            rules=self.placer.rules(budget),
            ranking=self._ranking(job, within=within),
            wall_time=self.clock.wall_time(),
            knows_workers=self.state.knows_workers,
            account=self._room_of(job.account),
        )

    def _free_orders(self) -> int:
        """Return how many tasks the next pass may start."""
        window = self.state.order_window
        service = self.state.service
        return window.free(service) if window.ready(service) else 0

    def _ranking(self, job: Job, *, within: bool) -> Ranking:
        ranking = self.placer.rank_jobs(job.account)
        if within:
            return ranking
        return ranking._replace(
            beyond_share={*ranking.beyond_share, job.job_id}
        )

    def _joined(self, others: list[Task], waiting: list[Task]) -> list[Task]:
        """Return the tasks of a pass, with those of a job that is new."""
        new = (
            task for task in waiting if task.task_id not in self.tracker.waiting
        )
        return [*others, *new]

    def _room_of(self, account: str) -> AccountRoom | None:
        limits = self.account_limits
        limit = limits.limits.get(account)
        if limit is None:
            return None
        return AccountRoom(
            limit=limit,
            allowed=limits.allotments.allowed(account, limits.version),
            used=self.tracker.account_usages.of(account),
            confirmed=limits.is_confirmed,
        )

    def _count_workers(self) -> dict[str, int]:
        """Count the workers by whether they are usable, or why they are not."""
        now = self.clock.now()
        return dict(
            Counter(
                self._condition_of(session, now)
                for session in self.state.sessions.values()
                if not session.closed
            )
        )

    def _condition_of(self, session: WorkerSession, now: int) -> str:
        obstacle = session.obstacle(now)
        if obstacle:
            return obstacle
        instance = session.worker.instance
        attempts = self.tracker.attempts_by_worker.get(instance, {})
        rank = self.state.health.peek_rank(instance, attempts)
        if rank not in {Rank.unavailable, Rank.lasting}:
            return 'usable'
        is_ejected = self.state.health.is_ejected(instance)
        return 'ejected' if is_ejected else 'busy with a trial'
