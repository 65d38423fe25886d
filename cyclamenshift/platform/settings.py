"""
cyclamenshift.platform.settings
===============================

Loads the settings from the file that the platform puts on each machine.
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

#: The CPU capacity of one core, millicores.
MILLICORES_PER_CORE: Final = 1_000
#: Duration of a worker's lease, ms, for which it works on without contact to
#: its scheduler.  The longest lease that the platform allows limits it.
LEASE_MS: Final = 4_000
#: Time for which tasks may run while the store is unreachable, ms.  It is
#: longer than the usual outages of the store, which last 4 to 6 s.
LEASE_HORIZON_MS: Final = 7_000
#: Default time that a new fleet manager waits before its first order, ms.
DEFAULT_MANAGER_LEASE_MS: Final = 3_000
#: Interval of the heartbeats between peers, and the silence after which a
#: peer is considered lost, ms.  They are short enough for a successor to take
#: over well within the shortest lease.
PEER_SETTINGS: Final = {'heartbeat': 250, 'silence': 800}
#: Default time for which the state of a finished job can be queried, s.
DEFAULT_STATUS_RETENTION_S: Final = 120
#: Time for which a stopping process still accepts requests, ms.  The platform
#: probes readiness every second and acts after two probes.
DRAIN_DELAY_MS: Final = 2_600
#: Default time within which a configuration must be in force, ms.
DEFAULT_APPLY_MS: Final = 2_000
#: Default size of the largest value of a row, bytes.
DEFAULT_ROW_BYTES: Final = 65_536
#: Default time within which a worker that announced its end must be avoided,
#: ms.
DEFAULT_DRAIN_MS: Final = 2_000
#: Default time that a worker takes to stop a run, ms.
DEFAULT_STOP_MS: Final = 1_000
#: The port of the operators' front end; deploy/system.toml repeats it.
METRICS_PORT: Final = 9464
#: The settings of overload by the contract that switches them on: workers that
#: fail while they report good health, with uneven demand, and lasting pressure.
#: Without pressure, refusals cost callers more than waiting: on entry VMs short
#: of processor time, waits of tasks don't tell that VMs are short.
OVERLOAD_SETTINGS: Final = {
    'learned_run_times': 'health',
    'demand_forecast': 'health',
    'worker_health': 'health',
    'cost_ordering': 'pressure',
    'pool_reallocation': 'pressure',
    'admission_control': 'pressure',
}
#: The name of the adapter's plug-ins.
PLUGIN_NAME: Final = 'platform'

#: The share of the CPU that the process may use, and the number of cores.
CpuSection = TypedDict('CpuSection', {'cpuShare': float, 'cpuCores': float})
#: The addresses that the process listens on.
ListenSection = TypedDict(
    'ListenSection',
    {
        # For the platform's clients, which the core calls callers.
        'front': NotRequired[str],
        'ready': NotRequired[str],
        # For the peers, not for operators.
        'control': NotRequired[str],
    },
)
#: The limits that the platform sets, as far as they are used here.
BoundsSection = TypedDict(
    'BoundsSection',
    {
        # The maximum time that a process may take to stop.
        'graceS': NotRequired[float],
        # The maximum lease of a worker.
        'maxHoldMs': NotRequired[int],
        # The time for which the state of a finished job can be queried.
        'status_s': NotRequired[float],
        # The time after the last order of a fleet manager within which
        # nobody else may give orders.
        'leaseMs': NotRequired[int],
        # The time from storing a configuration until it must be in force.
        'configApplyMs': NotRequired[int],
        # The time after a worker announced its end within which tasks may
        # still start there.
        'drainMs': NotRequired[int],
        # The time that a worker takes to stop a run.
        'stopMs': NotRequired[int],
    },
)
#: The platform's store.
StoreSection = TypedDict(
    'StoreSection',
    {
        'address': str,
        # The largest value of a row, in base64, bytes.
        'rowBytes': NotRequired[int],
    },
)
#: One of the platform's services.
ServiceSection = TypedDict('ServiceSection', {'address': str})
#: The whole file; other keys are ignored.
SettingsFile = TypedDict(
    'SettingsFile',
    {
        'node': str,
        'ip': str,
        'zone': str,
        'listen': ListenSection,
        'limits': CpuSection,
        'bounds': BoundsSection,
        # The parts of the platform's rules that are in force.
        'contracts': NotRequired[list[str]],
        'platform': StoreSection,
        'cloud': ServiceSection,
    },
)


@register
class PlatformSource(Source):
    """Loads the settings from the platform's own file format."""

    name = PLUGIN_NAME

    def load(self, path: pathlib.Path) -> settings.Settings:
        """Return the validated settings in the file *path*."""
        try:
            values = yaml.safe_load(path.read_text(encoding='utf-8'))
        except (OSError, yaml.YAMLError) as error:
            raise SettingsError(
                f'{path}: cannot read the file: {error}.',
                'Start the process where the platform has put the file.',
            ) from error
        body = convert(values, SettingsFile)
        if isinstance(body, Unreadable):
            raise SettingsError(
                f'{path}: {body.reason}.',
                'Check that the file matches the version of the platform.',
            )
        return settings.check(Document(_convert_settings(body), {}))


def _convert_settings(body: SettingsFile) -> dict[str, Any]:
    bounds = body['bounds']
    max_lease = bounds.get('maxHoldMs', LEASE_MS)
    limits = body['limits']
    cpu = limits['cpuShare'] * limits['cpuCores'] * MILLICORES_PER_CORE
    grace = round(bounds.get('graceS', 1) * MS_PER_SECOND)
    return {
        'entry': {
            'id': body['node'],
            'data_centre': body['zone'],
            'work': 'jobs',
            'size': max(1, round(cpu)),
            'grace': grace,
        },
        'callers': {
            'plugin': PLUGIN_NAME,
            'leaving_notice': min(DRAIN_DELAY_MS, grace // 2),
            **_listen_address(body, 'front'),
        },
        'readiness': _listen_address(body, 'ready'),
        'operators': {
            'plugin': 'job-operators',
            'host': body['ip'],
            'port': METRICS_PORT,
        },
        'peers': {**_listen_address(body, 'control'), **PEER_SETTINGS},
        'store': {
            'plugin': PLUGIN_NAME,
            'address': body['platform']['address'],
            'row_limit': body['platform'].get('rowBytes', DEFAULT_ROW_BYTES),
        },
        'overload': {
            setting: contract in body.get('contracts', ())
            for setting, contract in OVERLOAD_SETTINGS.items()
        },
        'jobs': {
            'plugin': PLUGIN_NAME,
            'lease': min(LEASE_MS, max_lease),
            'max_lease': max_lease,
            'lease_horizon': LEASE_HORIZON_MS,
            'keep_final': round(
                bounds.get('status_s', DEFAULT_STATUS_RETENTION_S)
                * MS_PER_SECOND
            ),
            'manager_lease': bounds.get('leaseMs', DEFAULT_MANAGER_LEASE_MS),
            'configuration_age': bounds.get('configApplyMs', DEFAULT_APPLY_MS),
            'registration_age': bounds.get('drainMs', DEFAULT_DRAIN_MS),
            'stop_time': bounds.get('stopMs', DEFAULT_STOP_MS),
            'provider': body['cloud']['address'],
        },
    }


def _listen_address(body: SettingsFile, name: str) -> dict[str, Any]:
    listen = cast(dict[str, str], body['listen'])
    if name not in listen:
        return {'host': body['ip'], 'port': 0}
    address = parse_address(listen[name])
    return {'host': address.host, 'port': address.port}
