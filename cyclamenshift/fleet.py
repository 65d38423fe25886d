"""
cyclamenshift.fleet
===================

The configuration of the fleet (services, pools and VMs) and its validation.
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

#: A share of a pool in percent.
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=100)]
#: A positive number.
Count: TypeAlias = Annotated[int, Meta(ge=1)]


class RequestKindFields(TypedDict):
    """A kind of request of a service."""

    repeatable: bool
    long: bool


class ServiceFields(TypedDict):
    """
    A service.

    ``availability`` is the share of its pool that must remain in service.
    ``queue`` is the maximum number of its requests queued at one entry VM.
    """

    pool: str
    availability: Percent
    queue: Count
    work: dict[str, RequestKindFields]


class PoolFields(TypedDict):
    """A pool; VMs are lent from spare pools first."""

    spare: bool


class VmFields(TypedDict):
    """A VM: its initial pool, its location and its worker."""

    pool: str
    data_centre: str
    rack: str
    address: Annotated[str, Meta(min_length=1)]
    slots: Count


class Fleet(TypedDict):
    """The configuration that all entry VMs share."""

    services: dict[str, ServiceFields]
    pools: dict[str, PoolFields]
    vms: dict[str, VmFields]


class CheckedFleet(NamedTuple):
    """A valid configuration and the files that it was merged from."""

    fleet: Fleet
    texts: dict[str, str]
    merged: Document


#: Default values of optional fields.
DEFAULTS: dict[type, dict[str, Any]] = {
    RequestKindFields: {'repeatable': False, 'long': False},
    ServiceFields: {'availability': 75, 'queue': 256, 'work': {}},
    PoolFields: {'spare': False},
    VmFields: {'slots': 8},
}


#: The sub-folder of the settings that holds the fleet configuration.
FLEET_FOLDER: Final = 'fleet'


def load(folder: pathlib.Path) -> CheckedFleet:
    """Load and validate the configuration in *folder*; see ``check``."""
    texts = document.read_folder(folder)
    try:
        return check(texts)
    except SettingsError as error:
        fleet_folder = folder / FLEET_FOLDER
        if not fleet_folder.is_dir():
            raise
        remedy = f'{error.remedy} The fleet configuration is in {fleet_folder}.'
        raise SettingsError(error.problem, remedy) from error


def check(texts: dict[str, str]) -> CheckedFleet:
    """
    Merge and validate *texts*, a mapping of file names to contents.

    Raises SettingsError with file, line and remedy at the first error.
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
        raise schema.error_at(
            merged,
            (*path, 'pool'),
            f'unknown pool {pool!r}',
            'Add it under pools or use an existing one.',
        )


def _check_addresses(merged: Document, fleet: Fleet) -> None:
    vm_by_address: dict[str, str] = {}
    for vm_id, vm in fleet['vms'].items():
        other = vm_by_address.setdefault(vm['address'], vm_id)
        if other != vm_id:
            raise schema.error_at(
                merged,
                ('vms', vm_id, 'address'),
                f'the address is already used by VM {other}',
                'Give each VM a unique address.',
            )
