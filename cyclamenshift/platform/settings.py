"""
cyclamenshift.platform.settings
===============================

Settings from the file that the platform puts on each machine.
"""

import pathlib
from typing import Any, Final, NotRequired, TypedDict, cast

import yaml

from .. import settings
from ..clock import MS_PER_SECOND
from ..decisions.merging import Document
from ..errors import SettingsError
from ..plugin import register
from ..source import Source
from .wire import Unreadable, convert, parse_address

#: A core, in thousandths.
CORE: Final = 1_000
#: How long a worker works on without hearing from its scheduler, ms; the
#: platform's longest lease bounds it.
LEASE_MS: Final = 4_000
#: How long tasks may work on while nobody reaches the store, ms: longer than
#: its usual outages of four to six seconds.
HORIZON_MS: Final = 7_000
#: The same for the manager of the fleet, where the file does not say, ms.
MANAGER_LEASE_MS: Final = 3_000
#: How often peers show that they live, and when a silent one is lost, ms: a
#: successor takes over well within the shortest lease.
PEERS: Final = {'heartbeat': 250, 'silence': 800}
#: How long a final job can be asked for, where the file does not say, s.
STATUS_S: Final = 120
#: How long a process that stops still takes requests, ms: the platform looks
#: at readiness each second and goes by two looks.
LEAVING_MS: Final = 2_600
#: Where operators ask; it stands in deploy/system.toml too.
METRICS_PORT: Final = 9464
#: The name of the adapter's plug-ins.
NAME: Final = 'platform'

#: What the processor of a machine gives.
LimitsBody = TypedDict('LimitsBody', {'cpuShare': float, 'cpuCores': float})
#: Where the process listens.
ListenBody = TypedDict(
    'ListenBody',
    {
        # Towards clients, whom this package calls callers.
        'front': NotRequired[str],
        'ready': NotRequired[str],
        # Towards the other processes of the system, not operators.
        'control': NotRequired[str],
    },
)
#: The bounds that the platform sets; those that are used here.
BoundsBody = TypedDict(
    'BoundsBody',
    {
        # How long a process may take to stop.
        'graceS': NotRequired[float],
        # The longest lease of a worker.
        'maxHoldMs': NotRequired[int],
        # How long the state of a job can be asked for.
        'status_s': NotRequired[float],
        # For how long nobody else may order after a manager of the fleet.
        'leaseMs': NotRequired[int],
    },
)
#: The address of one of the platform's services.
ServiceBody = TypedDict('ServiceBody', {'address': str})
#: The whole file; what is not named here is not used.
SettingsBody = TypedDict(
    'SettingsBody',
    {
        'node': str,
        'ip': str,
        'zone': str,
        'listen': ListenBody,
        'limits': LimitsBody,
        'bounds': BoundsBody,
        'platform': ServiceBody,
        'cloud': ServiceBody,
    },
)


@register
class PlatformSource(Source):
    """Reads the platform's own layout."""

    name = NAME

    def load(self, path: pathlib.Path) -> settings.Settings:
        """Return the settings in the file *path*."""
        try:
            values = yaml.safe_load(path.read_text(encoding='utf-8'))
        except (OSError, yaml.YAMLError) as error:
            raise SettingsError(
                f'{path}: the file can not be read: {error}.',
                'Start the process where the platform has put the file.',
            ) from error
        body = convert(values, SettingsBody)
        if isinstance(body, Unreadable):
            raise SettingsError(
                f'{path}: {body.reason}.',
                'Compare the file with the version of the platform.',
            )
        return settings.check(Document(_values(body), {}))


def _values(body: SettingsBody) -> dict[str, Any]:
    bounds = body['bounds']
    longest = bounds.get('maxHoldMs', LEASE_MS)
    limits = body['limits']
    size = limits['cpuShare'] * limits['cpuCores'] * CORE
    grace = round(bounds.get('graceS', 1) * MS_PER_SECOND)
    return {
        'entry': {
            'id': body['node'],
            'data_centre': body['zone'],
            'work': 'jobs',
            'size': max(1, round(size)),
            'grace': grace,
        },
        'callers': {
            'plugin': NAME,
            'leaving_notice': min(LEAVING_MS, grace // 2),
            **_listen(body, 'front'),
        },
        'readiness': _listen(body, 'ready'),
        'operators': {
            'plugin': 'job-operators',
            'host': body['ip'],
            'port': METRICS_PORT,
        },
        'peers': {**_listen(body, 'control'), **PEERS},
        'store': {'plugin': NAME, 'address': body['platform']['address']},
        'jobs': {
            'plugin': NAME,
            'lease': min(LEASE_MS, longest),
            'lease_horizon': HORIZON_MS,
            'keep_final': round(
                bounds.get('status_s', STATUS_S) * MS_PER_SECOND
            ),
            'manager_lease': bounds.get('leaseMs', MANAGER_LEASE_MS),
            'provider': body['cloud']['address'],
        },
    }


def _listen(body: SettingsBody, name: str) -> dict[str, Any]:
    listen = cast(dict[str, str], body['listen'])
    if name not in listen:
        return {'host': body['ip'], 'port': 0}
    address = parse_address(listen[name])
    return {'host': address.host, 'port': address.port}
