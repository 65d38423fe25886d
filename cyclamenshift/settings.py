"""
cyclamenshift.settings
======================

The settings of one process: their shape, defaults and loading.
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
#: The name of a plug-in or a process.
Name: TypeAlias = Annotated[str, Meta(min_length=1)]


class EntrySettings(TypedDict):
    """What this entry VM is called, and how it stops and logs."""

    id: Name
    data_centre: Name
    grace: Millis
    log_level: Literal['debug', 'info', 'warning', 'error']


class ListenSettings(TypedDict):
    """An address to listen on."""

    host: Name
    port: Port


class CallerSettings(ListenSettings):
    """The front end for callers."""

    body_limit: Size
    read_timeout: Millis
    default_timeout: Millis
    longest_timeout: Millis
    leaving_notice: Annotated[int, Meta(ge=0)]


class PeerSettings(ListenSettings):
    """The streams between entry VMs."""

    plugin: Name
    heartbeat: Millis
    silence: Millis
    frame_limit: Size


class StoreSettings(TypedDict):
    """The table and the objects that outlast every process."""

    plugin: Name
    address: str
    timeout: Millis
    poll: Millis
    claim_batch: Size
    claim_interval: Annotated[int, Meta(ge=0, le=1000)]
    claim_retention: Millis


class EndpointSettings(TypedDict):
    """The connections to the workers."""

    plugin: Name
    connect_timeout: Millis


class Settings(TypedDict):
    """Everything that one process learns at its start."""

    entry: EntrySettings
    callers: CallerSettings
    operators: ListenSettings
    peers: PeerSettings
    store: StoreSettings
    endpoint: EndpointSettings


#: The values in force where no file says otherwise.
DEFAULTS: dict[str, dict[str, Any]] = {
    'entry': {
        'id': 'entry-1',
        'data_centre': 'local',
        'grace': 30_000,
        'log_level': 'info',
    },
    'callers': {
        'host': '127.0.0.1',
        'port': 8080,
        'body_limit': 1_048_576,
        'read_timeout': 10_000,
        'default_timeout': 10_000,
        'longest_timeout': 3_600_000,
        'leaving_notice': 1_000,
    },
    'operators': {'host': '127.0.0.1', 'port': 8081},
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
        'claim_batch': 64,
        'claim_interval': 20,
        'claim_retention': 86_400_000,
    },
    'endpoint': {
        'plugin': 'memory',
        'connect_timeout': 1_000,
    },
}


def load(folder: pathlib.Path) -> Settings:
    """
    Return the settings in the YAML files of *folder*, checked.

    Raises SettingsError with file, line and remedy.
    """
    return check(document.merge_texts(document.read_folder(folder)))


def default() -> Settings:
    """Return the settings of the embedded default."""
    return check(Document({}, {}))


def check(given: Document) -> Settings:
    """Return *given* over the defaults, checked."""
    merged = merge((Document(DEFAULTS, {}), given))
    settings = cast(Settings, schema.check(merged, Settings, {}))
    store = settings['store']
    if store['plugin'] == 'http' and not store['address']:
        raise schema.fault(
            merged,
            ('store', 'plugin'),
            'the http plug-in needs store.address',
            'Add the URL of the store.',
        )
    return settings
