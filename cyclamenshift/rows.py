"""
cyclamenshift.rows
==================

The rows of configuration, VMs, claims and entry VMs, and their keys.
"""

from typing import Final, Literal, NotRequired, TypedDict, TypeVar

import msgspec

from .errors import ProtocolError
from .model import VmState
from .store import Key, Row

#: The row that names the active configuration.
HEAD_KEY: Final = Key('config', 'head')
#: The row whose version increases with each change of a VM.
CHANGES_KEY: Final = Key('fleet', 'changes')
#: The tables of the other rows.
VM_TABLE: Final = 'vm'
BUDGET_TABLE: Final = 'budget'
CLAIM_TABLE: Final = 'claim'
ENTRY_TABLE: Final = 'entry'


class VmRow(TypedDict):
    """
    ``vm/ID``: the pool of a VM and its state.

    ``target`` is the pool that a leaving VM moves to; it is empty for a VM
    that stays drained.
    """

    pool: str
    state: VmState
    epoch: int
    target: str


class BudgetRow(TypedDict):
    """
    ``budget/SERVICE``: the disruption budget of a service's pool.

    ``members`` counts its VMs, ``unavailable`` those that are not serving;
    ``floor`` is the minimum number of VMs that must be serving.
    """

    pool: str
    members: int
    unavailable: int
    floor: int


class ChangesRow(TypedDict):
    """``fleet/changes``: the ids of the VMs in the latest change."""

    vms: list[str]


class HeadRow(TypedDict):
    """``config/head``: the number and digest of the active configuration."""

    number: int
    digest: str
    change_id: str
    operator: str


class EntryRow(TypedDict):
    """
    ``entry/ID``: the address at which an entry VM accepts its peers.

    ``answers_probes`` and ``adjusts_heartbeats`` are absent in the rows of
    earlier versions.
    """

    data_centre: str
    host: str
    port: int
    incarnation: str
    size: int
    answers_probes: NotRequired[bool]
    adjusts_heartbeats: NotRequired[bool]


class ClaimRow(TypedDict):
    """
    ``claim/KEY``: the exclusive right to run a request, and its outcome.

    ``attempt`` is the id of the attempt that holds the claim.  ``body`` is
    in base64; ``expires`` is in ms since the epoch.
    """

    attempt: str
    request_id: str
    digest: str
    state: Literal['claimed', 'done', 'not-run', 'unknown']
    status: int
    content_type: str
    body: str
    expires: int


RowType = TypeVar('RowType')


def vm_key(vm_id: str) -> Key:
    """Return the key of a VM's row."""
    return Key(VM_TABLE, vm_id)


def budget_key(service: str) -> Key:
    """Return the key of the budget row of a service."""
    return Key(BUDGET_TABLE, service)


def claim_key(key: str) -> Key:
    """Return the key of the claim row for an idempotency key."""
    return Key(CLAIM_TABLE, key)


def entry_key(entry_id: str) -> Key:
    """Return the key of the registration row of an entry VM."""
    return Key(ENTRY_TABLE, entry_id)


def decode_row(row: Row, row_type: type[RowType]) -> RowType:
    """
    Return the fields of *row*, validated against the type *row_type*.

    Raises ProtocolError if they don't match it.
    """
    try:
        return msgspec.convert(row.fields, row_type)
    except (msgspec.ValidationError, RecursionError) as error:
        raise ProtocolError(
            f'The row {row.key} has unexpected fields: {error}.',
            'Compare the versions of the entry VMs and upgrade the older ones.',
        ) from error
