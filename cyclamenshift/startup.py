"""
cyclamenshift.startup
=====================

Chooses the components of a process, and offers the first configuration.
"""

import pathlib
import uuid
from typing import Final, TypeVar

from . import document, fleet, kernel, logs, plugin, settings
from .component import Component
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

MemberType = TypeVar('MemberType', bound=Component)

#: The folder below the settings that holds the first configuration.
FLEET_FOLDER: Final = 'fleet'
#: The operator's name on a configuration applied at the first start.
FIRST_OPERATOR: Final = 'first start'
#: The wait before a first configuration is offered again, ms.
OFFER_DELAY_MS: Final = 1_000

log = logs.get_logger('startup')


def load_initial_fleet(folder: pathlib.Path) -> dict[str, str] | None:
    """
    Return the checked files of the first configuration, None without.

    Raises SettingsError when they are wrong.
    """
    fleet_folder = folder / FLEET_FOLDER
    if not fleet_folder.is_dir():
        return None
    return fleet.check(document.read_folder(fleet_folder)).texts


def choose_components(chosen: settings.Settings) -> list[type[Component]]:
    """
    Return the classes of the components that the settings name.

    Raises PluginError for a name that no plug-in has.
    """
    kernel.load_families()
    work = chosen['entry']['work']
    return [
        plugin.find(Store, chosen['store']['plugin']),
        plugin.find(Peer, chosen['peers']['plugin']),
        *_choose_clients(chosen),
        *components_for(Control, work),
        *components_for(Duty, work),
        plugin.find(Frontend, chosen['callers']['plugin']),
        plugin.find(Frontend, chosen['operators']['plugin']),
    ]


def components_for(base: type[MemberType], work: str) -> list[type[MemberType]]:
    """Return the members of the family of *base* that *work* needs."""
    return [
        member for member in plugin.members(base) if work in member.work_kinds
    ]


def _choose_clients(chosen: settings.Settings) -> list[type[Component]]:
    if chosen['entry']['work'] == 'requests':
        return [plugin.find(Endpoint, chosen['endpoint']['plugin'])]
    name = chosen['jobs']['plugin']
    return [
        plugin.find(WorkerClient, name),
        plugin.find(Directory, name),
        plugin.find(VmProvider, name),
    ]


async def apply_initial_config(
    process: kernel.Kernel, texts: dict[str, str]
) -> None:
    """Apply *texts* if the table has no configuration yet."""
    configuration = process.get(Configuration)
    while configuration.active_config is None:
        proposal = Proposal(texts, 0, uuid.uuid4().hex, FIRST_OPERATOR)
        result = await configuration.apply(proposal)
        if isinstance(result, AppliedChange):
            log.note('Applied the first configuration.')
            return
        log.warning('The first configuration waits.', reason=result.reason)
        await process.clock.sleep(OFFER_DELAY_MS)
        await configuration.refresh()
