"""
cyclamenshift.jobmessages
=========================

The bodies with which entry VMs speak of jobs and of who owns them.
"""

from typing import NamedTuple

from .job import Job, JobState
from .peer import register_payload


class OwnedDomain(NamedTuple):
    """A domain that an entry VM owns, and the epoch of its row."""

    domain: str
    epoch: int


@register_payload
class Holdings(NamedTuple):
    """Everything that the sender owns."""

    domains: tuple[OwnedDomain, ...]


@register_payload
class JobOffer(NamedTuple):
    """Store this job; sent to the owner of its service."""

    service: str
    job: Job


@register_payload
class NotOwned(NamedTuple):
    """The receiver does not own the service, so it did nothing."""


@register_payload
class JobStored(NamedTuple):
    """A job was stored; sent to the owner of its service."""

    service: str
    job: Job


@register_payload
class JobCancelled(NamedTuple):
    """A caller's cancel was stored; sent to the owner of the service."""

    service: str
    job_id: str


@register_payload
class StateQuery(NamedTuple):
    """How does this job stand?"""

    service: str
    job_id: str


@register_payload
class StateAnswer(NamedTuple):
    """
    How a job stands; ``state`` is None where the owner knows no such job.

    ``owned`` is false if the receiver does not own the service.
    """

    owned: bool
    queue: str
    state: JobState | None


@register_payload
class CountQuery(NamedTuple):
    """How many jobs of this queue have not begun?"""

    service: str
    queue: str


@register_payload
class CountAnswer(NamedTuple):
    """How many; ``owned`` is false if the receiver can't tell."""

    owned: bool
    waiting: int
