"""
cyclamenshift.model
===================

The core types: requests, their outcomes, VMs and entry VMs.
"""

import enum
from typing import NamedTuple, TypeAlias


class Reason(enum.StrEnum):
    """Why a request was not run, or why its fate is not known."""

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
    One caller's request.

    The body is opaque; ``deadline`` is in the monotonic milliseconds of
    the process that holds the request.  ``key`` is the idempotency key,
    empty for repeatable work.
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
    """The endpoint ran the request; this is its whole answer."""

    status: int
    content_type: str
    body: bytes


class NotRun(NamedTuple):
    """
    The request certainly did not run and will not run.

    ``retry_after`` is in milliseconds; 0 where waiting does not help.
    """

    reason: Reason
    remedy: str
    retry_after: int = 0


class Unknown(NamedTuple):
    """The request may have run; the remedy says how to find out."""

    reason: Reason
    remedy: str


Outcome: TypeAlias = Done | NotRun | Unknown


class VmState(enum.StrEnum):
    """Where a VM stands between serving and gone."""

    serving = 'serving'
    leaving = 'leaving'
    drained = 'drained'
    lost = 'lost'


class Vm(NamedTuple):
    """
    A VM whose worker runs requests.

    ``epoch`` grows by one with each change of pool or state.
    ``slots`` is how many requests its worker runs at a time.
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
    An entry VM as the other entry VMs know it.

    ``size`` is its processor time, in thousandths of a core.
    """

    entry_id: str
    data_centre: str
    host: str
    port: int
    incarnation: str
    size: int = 1000


class Load(NamedTuple):
    """What one entry VM's own workers of one pool have to offer."""

    pool: str
    slots: int
    free: int
    queued: int
