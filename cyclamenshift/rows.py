"""
cyclamenshift.rows
==================

The rows that the system keeps in the platform's table, and their keys.
"""

from typing import Final, Literal, TypedDict, TypeVar

import msgspec

from .errors import ProtocolError
from .model import VmState
from .platform import Row

#: The row that names the configuration in force.
HEAD_KEY: Final = 'config/head'
#: The row whose version moves with every change of a VM.
CHANGES_KEY: Final = 'fleet/changes'
#: The prefixes of the other rows.
VM_PREFIX: Final = 'vm/'
BUDGET_PREFIX: Final = 'budget/'
CLAIM_PREFIX: Final = 'claim/'
ENTRY_PREFIX: Final = 'entry/'


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


def vm_key(vm_id: str) -> str:
    """Return the key of the row of a VM."""
    return f'{VM_PREFIX}{vm_id}'


def budget_key(service: str) -> str:
    """Return the key of the row of a service's budget."""
    return f'{BUDGET_PREFIX}{service}'


def claim_key(key: str) -> str:
    """Return the key of the claim row for an idempotency key."""
    return f'{CLAIM_PREFIX}{key}'


def entry_key(entry_id: str) -> str:
    """Return the key of the registration row of an entry VM."""
    return f'{ENTRY_PREFIX}{entry_id}'


def typed(row: Row, shape: type[RowType]) -> RowType:
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
