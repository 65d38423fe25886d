"""
cyclamenshift.duties.fleet
==========================

Manages the VMs of all pools at one entry VM at a time.
"""

from collections.abc import Iterable
from typing import Final

from ..component import Dump, Host
from ..directory import Catalog
from ..duty import Duty, OwnershipTerm
from ..fleetmessages import PoolReport
from ..managing.manager import FleetManager
from ..peer import Peer
from ..plugin import register

#: The domain of the manager; no service has such a name.
FLEET: Final = '~fleet'


@register
class FleetDuty(Duty):
    """Runs the manager of the fleet while it is owned here."""

    name = 'fleet'

    def __init__(self, kernel: Host) -> None:
        """Own no fleet yet."""
        super().__init__(kernel)
        self.manager: FleetManager | None = None
        kernel.get(Peer).add_listener(PoolReport, self._take_report)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the one domain of the fleet."""
        return (FLEET,)

    async def serve(self, term: OwnershipTerm) -> None:
        """Manage the fleet until cancelled."""
        self.manager = FleetManager(self.kernel, term)
        try:
            await self.manager.run()
        finally:
            self.manager = None

    def take(self, report: PoolReport) -> None:
        """Take what a pool reports, if the fleet is owned here."""
        if self.manager:
            self.manager.take(report)

    def dump(self) -> Dump:
        """Return the manager in short."""
        return self.manager.dump() if self.manager else {}

    def _take_report(self, entry_id: str, report: PoolReport) -> None:
        self.take(report)
