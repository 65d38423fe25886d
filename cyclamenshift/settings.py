"""
cyclamenshift.settings
======================

The settings of a process: types, defaults and loading.
"""

import pathlib
from typing import Annotated, Any, Literal, TypeAlias, TypedDict, cast

from msgspec import Meta

from . import document, schema
from .decisions.merging import Document, merge

#: A TCP port; 0 lets the system choose one.
Port: TypeAlias = Annotated[int, Meta(ge=0, le=65535)]
#: A duration in milliseconds.
Millis: TypeAlias = Annotated[int, Meta(ge=1, le=86_400_000)]
#: A number of bytes.
Size: TypeAlias = Annotated[int, Meta(ge=1)]
#: A number of rows per transaction.  Each row takes a check and a write, and
#: the store of the platform accepts 100 entries per call.
Rows: TypeAlias = Annotated[int, Meta(ge=1, le=50)]
#: The name of a plug-in or a process.
Name: TypeAlias = Annotated[str, Meta(min_length=1)]


class EntrySettings(TypedDict):
    """
    Identity, shutdown and logging of this entry VM.

    ``work`` is the kind of work that it serves.  ``size`` is its CPU capacity
    in millicores.
    """

    id: Name
    data_centre: Name
    work: Literal['requests', 'jobs']
    size: Size
    grace: Millis
    log_level: Literal['debug', 'info', 'warning', 'error']


class ListenSettings(TypedDict):
    """An address to listen on."""

    host: Name
    port: Port


class OperatorSettings(ListenSettings):
    """The HTTP front end for operators."""

    plugin: Name


class CallerSettings(ListenSettings):
    """The HTTP front end for callers."""

    plugin: Name
    body_limit: Size
    read_timeout: Millis
    default_timeout: Millis
    longest_timeout: Millis
    leaving_notice: Annotated[int, Meta(ge=0)]


class PeerSettings(ListenSettings):
    """The connections between entry VMs."""

    plugin: Name
    heartbeat: Millis
    silence: Millis
    frame_limit: Size


class StoreSettings(TypedDict):
    """The persistent store of rows and objects."""

    plugin: Name
    address: str
    timeout: Millis
    poll: Millis
    claim_batch: Rows
    claim_interval: Annotated[int, Meta(ge=0, le=1000)]
    claim_retention: Millis
    row_limit: Size
    transaction_limit: Size


class JobSettings(TypedDict):
    """
    Job scheduling.

    ``lease`` is how long a worker keeps running tasks without contact to its
    scheduler; a worker accepts none above ``max_lease``. ``lease_horizon``
    limits every lease, counted from the last confirmation of ownership.
    ``keep_final`` is how long the state of a finished job can be queried. A
    new fleet manager waits ``manager_lease`` before its first order.
    ``provider`` is the address of the VM provider. A configuration that was
    not confirmed for ``configuration_age`` decides no request, and no task
    starts by registrations older than ``registration_age``.  A worker stops a
    run within ``stop_time``.
    """

    plugin: Name
    lease: Millis
    max_lease: Millis
    lease_horizon: Millis
    keep_final: Millis
    manager_lease: Millis
    configuration_age: Millis
    registration_age: Millis
    stop_time: Millis
    provider: str


class OverloadSettings(TypedDict):
    """
    What the schedulers do about uneven demand and insufficient capacity.

    Each is off by default, so that a deployment is served as before until its
    settings ask for it.
    """

    learned_run_times: bool
    demand_forecast: bool
    worker_health: bool
    cost_ordering: bool
    pool_reallocation: bool
    admission_control: bool


class EndpointSettings(TypedDict):
    """The connections to workers."""

    plugin: Name
    connect_timeout: Millis


class Settings(TypedDict):
    """All settings of a process."""

    entry: EntrySettings
    callers: CallerSettings
    readiness: ListenSettings
    operators: OperatorSettings
    peers: PeerSettings
    store: StoreSettings
    endpoint: EndpointSettings
    jobs: JobSettings
    overload: OverloadSettings


#: The default settings.
DEFAULTS: dict[str, dict[str, Any]] = {
    'entry': {
        'id': 'entry-1',
        'data_centre': 'local',
        'work': 'requests',
        'size': 1000,
        'grace': 30_000,
        'log_level': 'info',
    },
    'callers': {
        'plugin': 'callers',
        'host': '127.0.0.1',
        'port': 8080,
        'body_limit': 1_048_576,
        'read_timeout': 10_000,
        'default_timeout': 10_000,
        'longest_timeout': 3_600_000,
        'leaving_notice': 1_000,
    },
    'readiness': {'host': '127.0.0.1', 'port': 0},
    'operators': {
        'plugin': 'operators',
        'host': '127.0.0.1',
        'port': 8081,
    },
    'peers': {
        'plugin': 'stream',
        'host': '127.0.0.1',
        'port': 8082,
        'heartbeat': 500,
        'silence': 2_000,
        'frame_limit': 4_194_304,
    },
    'store': {
        'plugin': 'memory',
        'address': '',
        'timeout': 2_000,
        'poll': 1_000,
        'claim_batch': 50,
        'claim_interval': 20,
        'claim_retention': 86_400_000,
        'row_limit': 65_536,
        'transaction_limit': 1_000_000,
    },
    'endpoint': {
        'plugin': 'memory',
        'connect_timeout': 1_000,
    },
    'jobs': {
        'plugin': 'memory',
        'lease': 4_000,
        'max_lease': 10_000,
        'lease_horizon': 9_000,
        'keep_final': 120_000,
        'manager_lease': 3_000,
        'configuration_age': 3_000,
        'registration_age': 3_000,
        'stop_time': 1_000,
        'provider': '',
    },
    'overload': {
        'learned_run_times': False,
        'demand_forecast': False,
        'worker_health': False,
        'cost_ordering': False,
        'pool_reallocation': False,
        'admission_control': False,
    },
}


def load(folder: pathlib.Path) -> Settings:
    """
    Load and validate the settings in the YAML files of *folder*.

    Raises SettingsError with file, line and remedy if they are invalid.
    """
    return check(document.merge_texts(document.read_folder(folder)))


def default() -> Settings:
    """Return the default settings."""
    return check(Document({}, {}))


def check(overrides: Document) -> Settings:
    """Apply *overrides* to the defaults and validate the result."""
    merged = merge((Document(DEFAULTS, {}), overrides))
    settings = cast(Settings, schema.check(merged, Settings, {}))
    store = settings['store']
    if store['plugin'] == 'http' and not store['address']:
        raise schema.error_at(
            merged,
            ('store', 'plugin'),
            'the http plug-in requires store.address',
            'Add the URL of the store.',
        )
    return settings
