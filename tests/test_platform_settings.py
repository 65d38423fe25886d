"""
tests.test_platform_settings
============================

Settings that are derived from the file of the platform.
"""

import json
import pathlib

import pytest

from cyclamenshift.platform.settings import PlatformSource

from .builders import platform_settings

#: What workers that fail while they report good health call for.
HEALTH = {'learned_run_times', 'demand_forecast', 'worker_health'}
#: What lasting lack of VMs calls for.
PRESSURE = {'cost_ordering', 'pool_reallocation', 'admission_control'}


@pytest.mark.parametrize(
    ('contracts', 'expected'),
    [
        (['base', 'sched'], set()),
        (['base', 'health', 'sched'], HEALTH),
        (['base', 'health', 'sched', 'pressure'], HEALTH | PRESSURE),
    ],
)
def test_overload_settings_follow_the_contracts(
    contracts: list[str], expected: set[str], tmp_path: pathlib.Path
) -> None:
    """Deployments without lasting pressure had jobs refused with 429."""
    path = tmp_path / 'settings.yaml'
    path.write_text(json.dumps(platform_settings(contracts=contracts)))
    loaded = PlatformSource().load(path)
    switched_on = {name for name, on in loaded['overload'].items() if on}
    assert switched_on == expected
