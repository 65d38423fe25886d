"""
cyclamenshift.duty
==================

The base class of duties: the work on domains with one owner at a time.

A domain, such as a service or the fleet, is owned by one entry VM, which
its row in the store names.
"""

import abc
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, NamedTuple

import trio

from .component import Component
from .directory import Catalog
from .ownerrows import OwnerRow, owner_key
from .store import Check, Conflict


class TermEnd(NamedTuple):
    """
    Why a term ended.

    ``found_by`` tells which call found ``row`` in place of the term's.
    """

    found_by: str
    row: object


class OwnershipTerm:
    """
    The ownership of a domain, valid while the owner row is unchanged.

    ``epoch`` is the fencing token of all orders for the domain.
    ``confirmed_at`` is the monotonic time in ms at which the latest call
    was sent that found the row unchanged.  ``resumed`` tells whether an
    earlier process of this entry VM was the last owner.  ``takeover`` has
    what is logged about the previous owner, ``end`` why the term ended.
    """

    resumed = False

    def __init__(
        self,
        domain: str,
        row: OwnerRow,
        version: int,
        confirmed_at: int,
    ) -> None:
        """Own *domain* as recorded in *row*, which has *version*."""
        self.domain = domain
        self.key = owner_key(domain)
        self.row = row
        self.version = version
        self.confirmed_at = confirmed_at
        self.cancel_scope = trio.CancelScope()
        self.lost = False
        self.takeover: Mapping[str, Any] = {}
        self.end: TermEnd | None = None

    @property
    def epoch(self) -> int:
        """The epoch that fences every order given during this term."""
        return self.row['epoch']

    def check(self) -> Check:
        """Return the precondition of every write during this term."""
        return Check(self.key, self.version)

    def confirm(self, sent_at: int) -> None:
        """Record that a call sent at *sent_at* found the row unchanged."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def still_valid(self, conflict: Conflict, found_by: str) -> bool:
        """
        Return whether the term outlasts *conflict*, met by call *found_by*.

        If the conflict shows the owner row, checks it and adopts its
        version.
        """
        for row in conflict.rows:
            if row.key == self.key:
                return self.check_row(dict(row.fields), row.version, found_by)
        return True

    def check_row(self, fields: object, version: int, found_by: str) -> bool:
        """
        Adopt the version of an owner row with the same *fields*.

        Any other fields revoke the term; *found_by* names the call that read
        them.  Returns whether the term is valid.
        """
        if fields == self.row:
            self.version = version
        else:
            self.revoke(TermEnd(found_by, fields))
        return not self.lost

    def revoke(self, end: TermEnd) -> None:
        """End the term, since the owner row is no longer that of the term."""
        if self.end is None:
            self.end = end
        self.lost = True
        self.cancel_scope.cancel()


class Duty(Component):
    """Does the work of the domains of one kind that this entry VM owns."""

    kind = 'duty'
    work_kinds = frozenset(('jobs',))
    stage: ClassVar[int] = 7

    @abc.abstractmethod
    def domains(self, catalog: Catalog) -> Iterable[str]:
        """Return the domains that exist under *catalog*."""

    def is_able(self, domain: str) -> bool:
        """Return whether the duty reaches what it needs for *domain*."""
        return True

    @abc.abstractmethod
    async def serve(self, term: OwnershipTerm) -> None:
        """Do the work of a domain until cancelled."""
