"""
cyclamenshift.jobrows
=====================

The rows in which jobs and their owners are kept, and their keys.

The part of a row is the service, so that the rows of a service change in
one transaction with the row of its owner.
"""

from typing import Final, TypedDict

from .job import Job, JobState
from .store import Key

#: Who schedules a service, or another domain.
OWNER_TABLE: Final = 'owner'
#: What callers handed in; written once.
JOB_TABLE: Final = 'job'
#: How far each job is; written by the owner only.
PROGRESS_TABLE: Final = 'progress'
#: How far each maintenance is; written by the manager of the fleet only.
MAINTENANCE_TABLE: Final = 'maintenance'
#: What a manager of the fleet leaves to its successor.
HANDOVER_TABLE: Final = 'handover'
#: The jobs that callers cancelled.
CANCEL_TABLE: Final = 'cancel'


class OwnerRow(TypedDict):
    """
    ``owner/DOMAIN/holder``: the entry VM that decides for a domain.

    ``epoch`` grows with each new holder.  A domain is a service, or one of
    the duties that exist once.
    """

    holder: str
    incarnation: str
    epoch: int


class JobRow(TypedDict):
    """``job/SERVICE/ID``: a job as it was handed in."""

    job: Job


class ActiveRun(TypedDict):
    """
    A run that may be at work: recorded before it is ordered.

    ``task`` holds occurrence, step and ordinal, ``worker`` the id and the
    start of the worker's life.
    """

    task: tuple[int, int, int]
    run: int
    worker: tuple[str, int]


class AttemptedTask(TypedDict):
    """A task that was started and is not done."""

    task: tuple[int, int, int]
    last_run: int
    failures: int
    checkpoint: str


class ProgressRow(TypedDict):
    """
    ``progress/SERVICE/ID``: how far a job is.

    ``done`` holds, for each occurrence and step, a bit for each task that
    is done, in hexadecimal.  ``finished`` names the occurrences that are
    done as a whole.  ``ended`` is when the job became final, ms since the
    epoch, else 0.
    """

    state: JobState
    done: list[tuple[int, int, str]]
    finished: list[int]
    open: list[ActiveRun]
    tried: list[AttemptedTask]
    ended: int


class CancelRow(TypedDict):
    """``cancel/SERVICE/ID``: a cancel, in ms since the epoch."""

    asked: int


class MaintenanceRow(TypedDict):
    """``maintenance/fleet/N``: the VMs that have begun their maintenance."""

    done: list[str]


class HandoverRow(TypedDict):
    """
    ``handover/fleet/manager``: the last orders of a manager that stopped.

    ``ages`` tells how long before the row was written each VM was ordered,
    ms.
    """

    epoch: int
    ages: dict[str, int]


def owner_key(domain: str) -> Key:
    """Return the key of the row of a domain's owner."""
    return Key(OWNER_TABLE, 'holder', domain)


def job_key(service: str, job_id: str) -> Key:
    """Return the key of the row of a job."""
    return Key(JOB_TABLE, job_id, service)


def progress_key(service: str, job_id: str) -> Key:
    """Return the key of the row of a job's progress."""
    return Key(PROGRESS_TABLE, job_id, service)


def cancel_key(service: str, job_id: str) -> Key:
    """Return the key of the row of a cancelled job."""
    return Key(CANCEL_TABLE, job_id, service)


def handover_key(domain: str) -> Key:
    """Return the key of the row that a manager leaves."""
    return Key(HANDOVER_TABLE, 'manager', domain)


def maintenance_key(domain: str, number: int) -> Key:
    """Return the key of the row of a maintenance."""
    return Key(MAINTENANCE_TABLE, str(number), domain)
