"""
cyclamenshift.jobrows
=====================

The rows of jobs, maintenances and owners of domains, and their keys.

The partition of a row is its domain, that is a service or the fleet, so
that a transaction on rows of a domain can check the row of its owner.
"""

from typing import Final, NotRequired, TypedDict, cast

from .compatibility import trim_defaults
from .job import Job, JobState
from .store import Key

#: The owner of each domain.
OWNER_TABLE: Final = 'owner'
#: The jobs as submitted by callers; each row is written once.
JOB_TABLE: Final = 'job'
#: The progress of each job; written only by the owner of its service.
PROGRESS_TABLE: Final = 'progress'
#: The progress of each maintenance; written only by the fleet manager.
MAINTENANCE_TABLE: Final = 'maintenance'
#: The state that a fleet manager passes on to its successor.
HANDOVER_TABLE: Final = 'handover'
#: The cancellations requested by callers.
CANCEL_TABLE: Final = 'cancel'


class OwnerRow(TypedDict):
    """
    ``owner/DOMAIN/holder``: the entry VM that owns a domain.

    ``epoch`` increases with each new holder.  A domain is a service, or a
    duty that exists once, such as managing the fleet.
    """

    holder: str
    incarnation: str
    epoch: int


class JobRow(TypedDict):
    """``job/SERVICE/ID``: a job as it was submitted."""

    job: Job


class ActiveRun(TypedDict):
    """
    A run that may be active; it is recorded before the start order is sent.

    ``task`` holds occurrence, step and ordinal; ``worker`` holds the id and
    the start time of the worker instance.
    """

    task: tuple[int, int, int]
    run: int
    worker: tuple[str, int]


class SuspectedCrashRow(TypedDict):
    """
    A crash of ``worker``, an instance, that is not proved.

    The run of the task had got to ``age``, ms, or to more if it is not
    ``known``.  ``alone`` is whether no other cause is likely.
    """

    worker: tuple[str, int]
    age: int
    known: bool
    alone: bool


class AttemptedTask(TypedDict):
    """
    A task that was started at least once and is not done.

    It is left out if its last run is active and it has neither failed, nor
    saved a checkpoint, nor been at a crash; the active run then holds the
    same.  Rows of earlier builds lack ``failed_runs``, the numbers of the runs
    in ``failures``, ``crashes``, the crashes in a row that it may have
    caused and the greatest age of its run at such a moment, ms,
    ``uncertain``, how many of these came at an unknown age, and
    ``suspected``, the crashes that are not proved.
    """

    task: tuple[int, int, int]
    last_run: int
    failures: int
    checkpoint: str
    failed_runs: NotRequired[list[int]]
    crashes: NotRequired[tuple[int, int]]
    uncertain: NotRequired[int]
    suspected: NotRequired[list[SuspectedCrashRow]]


class ProgressRow(TypedDict):
    """
    ``progress/SERVICE/ID``: the progress of a job.

    ``done`` holds an occurrence, a step and a bitmap, in hexadecimal, of
    the tasks that are done.  ``finished`` lists the occurrences that are
    completely done.  ``ended`` is the time at which the job reached its
    final state, ms since the epoch, or 0.  ``unstarted`` is set while runs
    were planned and none was started; rows of earlier builds lack it.
    """

    state: JobState
    done: list[tuple[int, int, str]]
    finished: list[int]
    open: list[ActiveRun]
    tried: list[AttemptedTask]
    ended: int
    unstarted: NotRequired[bool]


class CancelRow(TypedDict):
    """``cancel/SERVICE/ID``: when a cancellation was requested, epoch ms."""

    asked: int


class MaintenanceRow(TypedDict):
    """``maintenance/fleet/N``: the VMs whose maintenance has been started."""

    done: list[str]


class HandoverRow(TypedDict):
    """
    ``handover/fleet/manager``: the last orders of a stopped fleet manager.

    ``ages`` maps the id of each VM to the age of the last order for it when
    the row was written, ms.
    """

    epoch: int
    ages: dict[str, int]


def owner_key(domain: str) -> Key:
    """Return the key of the owner row of a domain."""
    return Key(OWNER_TABLE, 'holder', domain)


def job_row(job: Job) -> JobRow:
    """
    Return the row of a job.

    An empty account is left out, so that builds without accounts can read the
    rows of jobs that have none.
    """
    return JobRow(job=cast(Job, trim_defaults(job)))


def job_key(service: str, job_id: str) -> Key:
    """Return the key of a job's row."""
    return Key(JOB_TABLE, job_id, service)


def progress_key(service: str, job_id: str) -> Key:
    """Return the key of the progress row of a job."""
    return Key(PROGRESS_TABLE, job_id, service)


def cancel_key(service: str, job_id: str) -> Key:
    """Return the key of the cancellation row of a job."""
    return Key(CANCEL_TABLE, job_id, service)


def handover_key(domain: str) -> Key:
    """Return the key of the handover row of a domain's manager."""
    return Key(HANDOVER_TABLE, 'manager', domain)


def maintenance_key(domain: str, number: int) -> Key:
    """Return the key of a maintenance's progress row."""
    return Key(MAINTENANCE_TABLE, str(number), domain)
