"""
cyclamenshift.duties.fleet
==========================

The duty that runs the fleet manager on one entry VM at a time.
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

#: The domain of the fleet manager; no service has this name.
FLEET_DOMAIN: Final = '~fleet'


@register
class FleetDuty(Duty):
    """Runs the fleet manager while this entry VM owns the fleet."""

    name = 'fleet'

    def __init__(self, kernel: Host) -> None:
        """Register for the reports of pools."""
        super().__init__(kernel)
        self.manager: FleetManager | None = None
        kernel.get(Peer).add_listener(PoolReport, self._on_pool_report)

    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the single domain of the fleet."""
        return (FLEET_DOMAIN,)

    async def serve(self, term: OwnershipTerm) -> None:
        """Run the fleet manager until cancelled."""
        self.manager = FleetManager(self.kernel, term)
        try:
            await self.manager.run()
        finally:
            self.manager = None

    def receive_report(self, report: PoolReport) -> None:
        """Pass the report of a pool to the manager if it runs here."""
        if self.manager:
            self.manager.receive_report(report)

    def dump(self) -> Dump:
        """Return a summary of the manager."""
        return self.manager.dump() if self.manager else {}

    def _on_pool_report(self, entry_id: str, report: PoolReport) -> None:
        self.receive_report(report)
