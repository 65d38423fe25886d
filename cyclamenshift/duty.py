"""
cyclamenshift.duty
==================

The base of what one entry VM at a time does for all: its domains.
"""

import abc
from collections.abc import Iterable
from typing import ClassVar

import trio

from .component import Component
from .directory import Catalog
from .jobrows import OwnerRow, owner_key
from .store import Check, Conflict


class OwnershipTerm:
    """
    The right to decide for a domain while its row stands unchanged.

    ``epoch`` fences every order.  ``confirmed_at`` is when a call was sent,
    monotonic ms, that showed the row to stand.  ``resumed`` tells whether
    this entry VM owned the domain before it restarted, and nobody since.
    """

    resumed = False

    def __init__(
        self,
        domain: str,
        row: OwnerRow,
        version: int,
        confirmed_at: int,
    ) -> None:
        """Hold *domain* by *row*, which has *version*."""
        self.domain = domain
        self.key = owner_key(domain)
        self.row = row
        self.version = version
        self.confirmed_at = confirmed_at
        self.cancel_scope = trio.CancelScope()
        self.lost = False

    @property
    def epoch(self) -> int:
        """The fence of every order given under this tenure."""
        return self.row['epoch']

    def check(self) -> Check:
        """Return the condition of every write under this tenure."""
        return Check(self.key, self.version)

    def confirm(self, asked_at: int) -> None:
        """Note that a call sent at *asked_at* found the row in place."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def still_valid(self, conflict: Conflict) -> bool:
        """Return whether the row is still this tenure's, and follow it."""
        for row in conflict.rows:
            if row.key == self.key:
                return self.check_row(dict(row.fields), row.version)
        return True

    def check_row(self, fields: object, version: int) -> bool:
        """Take the version under which the same row stands now."""
        if fields == self.row:
            self.version = version
        else:
            self.revoke()
        return not self.lost

    def revoke(self) -> None:
        """Give up: the row is another's."""
        self.lost = True
        self.cancel_scope.cancel()


class Duty(Component):
    """Does the work of the domains that this entry VM owns."""

    kind = 'duty'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 7

    @abc.abstractmethod
    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the domains that *catalog* makes necessary."""

    @abc.abstractmethod
    async def serve(self, term: OwnershipTerm) -> None:
        """Decide for a domain until cancelled."""
