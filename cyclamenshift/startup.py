"""
cyclamenshift.startup
=====================

Selects the components of a process and applies the initial configuration.
"""

import pathlib
import uuid
from typing import Final

from . import document, fleet, kernel, logs, plugin, settings
from .component import Component, ComponentType
from .control import Control
from .controls.configuration import AppliedChange, Configuration, Proposal
from .directory import Directory
from .duty import Duty
from .endpoint import Endpoint
from .frontend import Frontend
from .peer import Peer
from .provider import VmProvider
from .store import Store
from .worker import WorkerClient

#: The sub-folder of the settings that holds the initial configuration.
FLEET_FOLDER: Final = 'fleet'
#: The operator recorded for the initial configuration.
INITIAL_OPERATOR: Final = 'first start'
#: Delay before another attempt to apply the initial configuration, ms.
RETRY_DELAY_MS: Final = 1_000

log = logs.get_logger('startup')


def load_initial_fleet(folder: pathlib.Path) -> dict[str, str] | None:
    """
    Return the validated files of the initial configuration, if any.

    Raises SettingsError if they are invalid.
    """
    fleet_folder = folder / FLEET_FOLDER
    if not fleet_folder.is_dir():
        return None
    return fleet.check(document.read_folder(fleet_folder)).texts


def choose_components(
    process_settings: settings.Settings,
) -> list[type[Component]]:
    """
    Return the classes of the components that the settings select.

    Raises PluginError if a plug-in name is not registered.
    """
    kernel.load_plugins()
    work = process_settings['entry']['work']
    return [
        plugin.find(Store, process_settings['store']['plugin']),
        plugin.find(Peer, process_settings['peers']['plugin']),
        *_choose_clients(process_settings),
        *components_for(Control, work),
        *components_for(Duty, work),
        plugin.find(Frontend, process_settings['callers']['plugin']),
        plugin.find(Frontend, process_settings['operators']['plugin']),
    ]


def components_for(
    base: type[ComponentType], work: str
) -> list[type[ComponentType]]:
    """Return the plug-ins of the kind of *base* that *work* needs."""
    return [
        component_class
        for component_class in plugin.find_all(base)
        if work in component_class.work_kinds
    ]


def _choose_clients(
    process_settings: settings.Settings,
) -> list[type[Component]]:
    if process_settings['entry']['work'] == 'requests':
        return [plugin.find(Endpoint, process_settings['endpoint']['plugin'])]
    name = process_settings['jobs']['plugin']
    return [
        plugin.find(WorkerClient, name),
        plugin.find(Directory, name),
        plugin.find(VmProvider, name),
    ]


async def apply_initial_config(
    running_kernel: kernel.Kernel, texts: dict[str, str]
) -> None:
    """Apply *texts* if the store has no configuration yet."""
    configuration = running_kernel.get(Configuration)
    while configuration.active_config is None:
        proposal = Proposal(texts, 0, uuid.uuid4().hex, INITIAL_OPERATOR)
        result = await configuration.apply(proposal)
        if isinstance(result, AppliedChange):
            log.note('Applied the initial configuration.')
            return
        log.warning(
            'Retrying to apply the initial configuration.', reason=result.reason
        )
        await running_kernel.clock.sleep(RETRY_DELAY_MS)
        await configuration.refresh()
