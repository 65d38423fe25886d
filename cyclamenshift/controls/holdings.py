"""
cyclamenshift.controls.holdings
===============================

What an entry VM tells its peers of the domains that it owns.
"""

from collections.abc import Mapping

from ..duty import Tenure
from ..jobmessages import Holding, Holdings
from ..peer import Body


class HoldingsNews:
    """Tells one connection what this entry VM owns, when that changes."""

    def __init__(self, tenures: Mapping[str, Tenure]) -> None:
        """Have told nothing yet."""
        self.tenures = tenures
        self.told: Holdings | None = None

    def __call__(self) -> tuple[Body, ...]:
        """Return the holdings if they have changed."""
        holdings = Holdings(
            tuple(
                Holding(domain, tenure.epoch)
                for domain, tenure in self.tenures.items()
            ),
        )
        if holdings == self.told:
            return ()
        self.told = holdings
        return (holdings,)
