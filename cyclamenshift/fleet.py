"""
cyclamenshift.fleet
===================

The configuration of the fleet: services, pools and VMs, and its checks.
"""

import pathlib
from typing import (
    Annotated,
    Any,
    Final,
    NamedTuple,
    TypeAlias,
    TypedDict,
    cast,
)

from msgspec import Meta

from . import document, schema
from .decisions.merging import Document
from .errors import SettingsError

#: A share of a pool, in per cent.
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=100)]
#: A count of at least one.
Count: TypeAlias = Annotated[int, Meta(ge=1)]


class WorkFields(TypedDict):
    """One kind of work of a service."""

    repeatable: bool
    long: bool


class ServiceFields(TypedDict):
    """
    One service.

    ``availability`` is the share of its pool that must keep serving, and
    ``queue`` bounds the requests waiting for it at one entry VM.
    """

    pool: str
    availability: Percent
    queue: Count
    work: dict[str, WorkFields]


class PoolFields(TypedDict):
    """One pool; a spare pool lends its VMs before any other."""

    spare: bool


class VmFields(TypedDict):
    """One VM: its first pool, its place and its worker."""

    pool: str
    data_centre: str
    rack: str
    address: Annotated[str, Meta(min_length=1)]
    slots: Count


class Fleet(TypedDict):
    """The whole configuration that entry VMs agree on."""

    services: dict[str, ServiceFields]
    pools: dict[str, PoolFields]
    vms: dict[str, VmFields]


class CheckedFleet(NamedTuple):
    """A checked configuration and the files that it was merged from."""

    fleet: Fleet
    texts: dict[str, str]
    merged: Document


#: The values of fields that a file may leave out.
DEFAULTS: dict[type, dict[str, Any]] = {
    WorkFields: {'repeatable': False, 'long': False},
    ServiceFields: {'availability': 75, 'queue': 256, 'work': {}},
    PoolFields: {'spare': False},
    VmFields: {'slots': 8},
}


#: Where the fleet is in a folder that holds the settings of an entry VM.
FLEET_FOLDER: Final = 'fleet'


def load(folder: pathlib.Path) -> CheckedFleet:
    """Return the configuration in *folder*; raises SettingsError."""
    texts = document.read_folder(folder)
    try:
        return check(texts)
    except SettingsError as error:
        below = folder / FLEET_FOLDER
        if not below.is_dir():
            raise
        remedy = f'{error.remedy} The fleet is in {below}.'
        raise SettingsError(error.problem, remedy) from error


def check(texts: dict[str, str]) -> CheckedFleet:
    """
    Merge and check the files in *texts*, given by name.

    Raises SettingsError with file, line and remedy at the first fault.
    """
    merged = document.merge_texts(texts)
    fleet = cast(Fleet, schema.check(merged, Fleet, DEFAULTS))
    for name, service in fleet['services'].items():
        _check_pool(merged, fleet, ('services', name), service['pool'])
    for vm_id, vm in fleet['vms'].items():
        _check_pool(merged, fleet, ('vms', vm_id), vm['pool'])
    _check_addresses(merged, fleet)
    return CheckedFleet(fleet, texts, merged)


def _check_pool(
    merged: Document,
    fleet: Fleet,
    path: tuple[str, ...],
    pool: str,
) -> None:
    if pool not in fleet['pools']:
        raise schema.fault(
            merged,
            (*path, 'pool'),
            f'there is no pool {pool!r}',
            'Add it under pools, or name one that is there.',
        )


def _check_addresses(merged: Document, fleet: Fleet) -> None:
    seen: dict[str, str] = {}
    for vm_id, vm in fleet['vms'].items():
        other = seen.setdefault(vm['address'], vm_id)
        if other != vm_id:
            raise schema.fault(
                merged,
                ('vms', vm_id, 'address'),
                f'the VM {other} has this address already',
                'Give each VM its own address.',
            )
