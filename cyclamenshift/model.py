"""
cyclamenshift.model
===================

The core types: requests, their outcomes, VMs and entry VMs.
"""

import enum
from typing import NamedTuple, TypeAlias


class Reason(enum.StrEnum):
    """Why a request was not run, or why its outcome is unknown."""

    bad_request = 'bad-request'
    no_such_service = 'no-such-service'
    key_missing = 'key-missing'
    key_reused = 'key-reused'
    too_large = 'too-large'
    over_limit = 'over-limit'
    queue_full = 'queue-full'
    deadline = 'deadline'
    no_worker = 'no-worker'
    refused = 'refused'
    unreachable = 'unreachable'
    store_down = 'store-down'
    stopping = 'stopping'
    peer_lost = 'peer-lost'
    answer_lost = 'answer-lost'
    in_progress = 'in-progress'


class Request(NamedTuple):
    """
    A caller's request to a service.

    ``kind`` selects the settings that the service has for this kind of
    request.  ``body`` is passed on unread.  ``deadline`` is a time on the
    monotonic clock of the current process, ms.  ``key`` is the idempotency
    key; it is empty for repeatable requests.
    """

    request_id: str
    service: str
    kind: str
    body: bytes
    content_type: str
    deadline: int
    repeatable: bool
    key: str = ''


class Done(NamedTuple):
    """The endpoint ran the request and gave this complete response."""

    status: int
    content_type: str
    body: bytes


class NotRun(NamedTuple):
    """
    The request has not run and will not run.

    ``retry_after`` is in ms; 0 means that waiting does not help.
    """

    reason: Reason
    remedy: str
    retry_after: int = 0


class Unknown(NamedTuple):
    """The request may have run; ``remedy`` says how to find out."""

    reason: Reason
    remedy: str


Outcome: TypeAlias = Done | NotRun | Unknown


class VmState(enum.StrEnum):
    """The state of a VM within its pool."""

    serving = 'serving'
    leaving = 'leaving'
    drained = 'drained'
    lost = 'lost'


class Vm(NamedTuple):
    """
    A VM whose worker runs requests.

    ``epoch`` increases by one with each change of pool or state.
    ``slots`` is the number of requests that its worker runs concurrently.
    """

    vm_id: str
    pool: str
    state: VmState
    epoch: int
    data_centre: str
    rack: str
    address: str
    slots: int


class EntryVm(NamedTuple):
    """
    The registration of an entry VM.

    ``incarnation`` identifies one run of its process.  ``size`` is its CPU
    capacity in millicores.  ``answers_probes`` tells whether it knows the
    message ``HolderQuery``, and ``adjusts_heartbeats`` whether it knows
    ``HeartbeatRequest``.
    """

    entry_id: str
    data_centre: str
    host: str
    port: int
    incarnation: str
    size: int = 1000
    answers_probes: bool = False
    adjusts_heartbeats: bool = False


class Load(NamedTuple):
    """The load and free capacity of one entry VM's workers in one pool."""

    pool: str
    slots: int
    free: int
    queued: int
