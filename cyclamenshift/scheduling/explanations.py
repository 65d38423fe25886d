"""
cyclamenshift.scheduling.explanations
=====================================

The explanation of a job, as shown to operators.
"""

from typing import Any, TypedDict

from ..decisions.accounts.usage import UNLIMITED
from ..decisions.explanation import AccountRoom, StepOrder, StepPlacement
from ..decisions.overload.admission_control import Rejected, earliest_return
from ..decisions.progress import JobProgress, Task
from ..decisions.schedules import typical_run_time
from ..job import Resources
from .admission import Preview


class AccountDetail(TypedDict):
    """
    The account of a job.

    ``limit`` is that over all services; ``allotted``, ``running`` and ``left``
    are those of this service.  They are None without a limit, and a resource
    without one is left out.
    """

    name: str
    within_share: bool
    limit: dict[str, int] | None
    allotted: dict[str, int] | None
    running: dict[str, int] | None
    left: dict[str, int] | None


class RunTimeDetail(TypedDict):
    """The estimates and predictions by step, and what follows, ms."""

    estimates: list[int]
    predictions: list[int]
    longest_chain: int
    objective: int


class AdmissionDetail(TypedDict):
    """
    Whether a new job would be admitted, and the backlog that decides it, ms.

    If not, the caller should return at a time between ``retry_from`` and
    ``retry_to``, which depends on the id of the job.
    """

    admitted: bool
    reason: str
    retry_from: int
    retry_to: int
    backlog: int
    oldest_wait: int


class NextStart(TypedDict):
    """
    What becomes of the first step that waits.

    ``workers`` counts the tasks that would start now by worker; ``reason``
    tells why the others would not, empty if all would.
    """

    occurrence: int
    step: int
    tasks: int
    steps_before: int
    steps_waiting: int
    promoted: bool
    key: dict[str, Any]
    workers: dict[str, int]
    reason: str


class Explanation(TypedDict):
    """
    Where a job would go, and why.

    ``admission`` is None for a job that was accepted before, and ``start`` if
    no task of it waits.  ``workers`` counts those of the service by whether
    they are usable, or why they are not.
    """

    job: str
    tracked: bool
    state: str
    queue: str
    service: str
    epoch: int
    suspended: bool
    runs: int
    due_in_ms: int | None
    account: AccountDetail | None
    run_times: RunTimeDetail
    admission: AdmissionDetail | None
    start: NextStart | None
    workers: dict[str, int]


def account_detail(
    name: str, room: AccountRoom | None, *, within_share: bool
) -> AccountDetail | None:
    """Return the details of an account, None for a job without one."""
    if not name:
        return None
    detail = AccountDetail(
        name=name,
        within_share=within_share,
        limit=None,
        allotted=None,
        running=None,
        left=None,
    )
    if room:
        detail['limit'] = _limited_amounts(room.limit, room)
        detail['allotted'] = _limited_amounts(room.allowed, room)
        detail['running'] = _limited_amounts(room.used, room)
        detail['left'] = _limited_amounts(room.left, room)
    return detail


def run_time_detail(progress: JobProgress) -> RunTimeDetail:
    """Return what is expected of the run times of a job."""
    job = progress.job
    return RunTimeDetail(
        estimates=[step.estimate for step in job.steps],
        predictions=[
            typical_run_time(job, step, progress.run_times)
            for step in job.steps
        ],
        longest_chain=max(progress.schedule.tails, default=0),
        objective=progress.schedule.objective,
    )


def admission_detail(preview: Preview) -> AdmissionDetail:
    """Return what would be decided about a new job."""
    detail = AdmissionDetail(
        admitted=True,
        reason='',
        retry_from=0,
        retry_to=0,
        backlog=preview.backlog.drain_time,
        oldest_wait=preview.backlog.oldest_wait,
    )
    if isinstance(preview.admission, Rejected):
        earliest = earliest_return(preview.backlog)
        detail['admitted'] = False
        detail['reason'] = preview.admission.reason
        detail['retry_from'] = earliest
        detail['retry_to'] = 2 * earliest
    return detail


def start_detail(
    task: Task, order: StepOrder, placement: StepPlacement
) -> NextStart:
    """Return what becomes of the step of *task*."""
    return NextStart(
        occurrence=task.task_id.occurrence,
        step=task.task_id.step,
        tasks=placement.tasks,
        steps_before=order.before,
        steps_waiting=order.waiting,
        promoted=order.promoted,
        key={**order.key._asdict(), 'timeliness': order.key.timeliness.name},
        workers=dict(placement.workers),
        reason=placement.reason or '',
    )


def _limited_amounts(amounts: Resources, room: AccountRoom) -> dict[str, int]:
    """Return those of *amounts* that the account has a limit of."""
    return {
        name: amount
        for (name, amount), limit in zip(
            amounts._asdict().items(), room.limit, strict=True
        )
        if limit < UNLIMITED
    }
