"""
cyclamenshift.rows
==================

The rows that the system keeps in the platform's table, and their keys.
"""

from typing import Final, Literal, TypedDict, TypeVar

import msgspec

from .errors import ProtocolError
from .model import VmState
from .store import Key, Row

#: The row that names the configuration in force.
HEAD_KEY: Final = Key('config', 'head')
#: The row whose version moves with every change of a VM.
CHANGES_KEY: Final = Key('fleet', 'changes')
#: The tables of the other rows.
VM_TABLE: Final = 'vm'
BUDGET_TABLE: Final = 'budget'
CLAIM_TABLE: Final = 'claim'
ENTRY_TABLE: Final = 'entry'


class VmRow(TypedDict):
    """
    ``vm/ID``: the one pool of a VM, and its state.

    ``target`` is the pool that a leaving VM goes to, empty to stay drained.
    """

    pool: str
    state: VmState
    epoch: int
    target: str


class BudgetRow(TypedDict):
    """
    ``budget/SERVICE``: counts of the VMs in the pool of a service.

    ``floor`` is the least number of them that must be serving.
    """

    pool: str
    members: int
    unavailable: int
    floor: int


class ChangesRow(TypedDict):
    """``fleet/changes``: the VMs of the latest change."""

    vms: list[str]


class HeadRow(TypedDict):
    """``config/head``: the accepted configuration, by digest."""

    number: int
    digest: str
    change_id: str
    operator: str


class EntryRow(TypedDict):
    """``entry/ID``: where an entry VM listens for its peers."""

    data_centre: str
    host: str
    port: int
    incarnation: str
    size: int


class ClaimRow(TypedDict):
    """
    ``claim/KEY``: the only right to run a request.

    ``attempt`` names the entry VM's attempt that holds the claim; ``body``
    is in base 64.
    ``expires`` is in milliseconds since the epoch.
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
    """Return the key of the row of a VM."""
    return Key(VM_TABLE, vm_id)


def budget_key(service: str) -> Key:
    """Return the key of the row of a service's budget."""
    return Key(BUDGET_TABLE, service)


def claim_key(key: str) -> Key:
    """Return the key of the claim row for an idempotency key."""
    return Key(CLAIM_TABLE, key)


def entry_key(entry_id: str) -> Key:
    """Return the key of the registration row of an entry VM."""
    return Key(ENTRY_TABLE, entry_id)


def decode_row(row: Row, shape: type[RowType]) -> RowType:
    """
    Return the fields of *row* as a *shape*.

    Raises ProtocolError for a row of another shape.
    """
    try:
        return msgspec.convert(row.fields, shape)
    except msgspec.ValidationError as error:
        raise ProtocolError(
            f'The row {row.key} has a wrong shape: {error}.',
            'Compare the versions of the entry VMs; upgrade the older ones.',
        ) from error
