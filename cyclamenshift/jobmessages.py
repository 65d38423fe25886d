"""
cyclamenshift.jobmessages
=========================

The peer messages about jobs and the ownership of domains.
"""

from typing import NamedTuple

from .job import Job, JobState
from .peer import register_payload


class OwnedDomain(NamedTuple):
    """A domain that an entry VM owns, with the epoch of its owner row."""

    domain: str
    epoch: int


@register_payload
class Holdings(NamedTuple):
    """The domains that the sender owns."""

    domains: tuple[OwnedDomain, ...]


@register_payload
class HolderQuery(NamedTuple):
    """
    Asks whether the called entry VM hears the holder of a domain.

    Only an entry VM whose registration has ``answers_probes`` knows it.
    """

    domain: str
    holder: str
    epoch: int


@register_payload
class HolderAnswer(NamedTuple):
    """Whether the holder is heard and reports to own the domain."""

    heard: bool


@register_payload
class JobOffer(NamedTuple):
    """Asks the owner of a service to store a job."""

    service: str
    job: Job


@register_payload
class NotOwned(NamedTuple):
    """The called entry VM does not own the service and did nothing."""


@register_payload
class JobRefused(NamedTuple):
    """
    The owner of the service refused a job, which has not run and will not.

    The caller should submit it again in ``retry_after`` ms.
    """

    reason: str
    retry_after: int


@register_payload
class JobStored(NamedTuple):
    """Notifies the owner of a service that a job was stored."""

    service: str
    job: Job


@register_payload
class JobCancelled(NamedTuple):
    """Notifies the owner of a service that a cancellation was stored."""

    service: str
    job_id: str


@register_payload
class StateQuery(NamedTuple):
    """Asks the owner of a service for the state of a job."""

    service: str
    job_id: str


@register_payload
class StateAnswer(NamedTuple):
    """
    The state of a job; None if the owner knows no such job.

    ``owned`` is false if the called entry VM does not own the service.
    ``account`` is the client account of the job.
    """

    owned: bool
    queue: str
    state: JobState | None
    account: str = ''


@register_payload
class CountQuery(NamedTuple):
    """Asks the owner of a service how many jobs of a queue are waiting."""

    service: str
    queue: str


@register_payload
class CountAnswer(NamedTuple):
    """The count; ``owned`` is false if the called entry VM can't tell."""

    owned: bool
    waiting: int
