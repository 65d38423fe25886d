"""
cyclamenshift.controls.holders
==============================

What an entry VM knows of the holders of domains.
"""

from collections.abc import Collection

from ..clock import Clock
from ..component import Dump
from ..decisions.owners import HolderStatus, is_isolated
from ..decisions.watching import PeerView, watched_peers
from ..jobmessages import HolderQuery
from ..ownerrows import OwnerRow
from ..model import EntryVm
from ..peer import Peer
from ..rows import decode_row
from ..store import ABSENT, Row
from .membership import Membership


class Holders:
    """
    The rows of the domains, and the state of the entry VMs in them.

    ``epochs`` has the latest epoch of each domain and when it became known.
    ``reported`` has the domains that each connected peer reports to own, with
    their epochs; ``doubtful`` the domains of which the connection to the holder
    was lost.  ``isolated_since`` is since when this entry VM seems to be
    cut off from its peers, monotonic ms, None if it does not.
    """

    def __init__(
        self,
        clock: Clock,
        peer: Peer,
        membership: Membership,
    ) -> None:
        """Know no domain yet."""
        self.clock = clock
        self.peer = peer
        self.membership = membership
        self.epochs: dict[str, tuple[int, int]] = {}
        self.rows: dict[str, OwnerRow] = {}
        self.reported: dict[str, dict[str, int]] = {}
        self.doubtful: set[str] = set()
        self.watched_view: PeerView | None = None
        self.isolated_since: int | None = None

    def record_epoch(self, domain: str, epoch: int) -> None:
        """Record the latest *epoch* of a domain and when it became known."""
        known = self.epochs.get(domain)
        if known is None or known[0] < epoch:
            self.epochs[domain] = (epoch, self.clock.now())

    def record_row(self, domain: str, row: OwnerRow) -> None:
        """Record the owner row of a domain, unless a later one is known."""
        known = self.rows.get(domain)
        if known is None or known['epoch'] <= row['epoch']:
            self.rows[domain] = row
        self.record_epoch(domain, row['epoch'])

    def forget_reported(self, entry_id: str) -> None:
        """Forget what a peer has reported, as its connection has ended."""
        self.doubtful.update(self.reported.pop(entry_id, ()))

    def take_doubtful(self) -> list[HolderQuery]:
        """Return and clear the questions about holders in doubt."""
        queries = [
            HolderQuery(domain, row['holder'], row['epoch'])
            for domain, row in self.rows.items()
            if domain in self.doubtful
        ]
        self.doubtful.clear()
        return queries

    def watch_peers(self, vacant: Collection[str]) -> None:
        """Watch the peers that matter, while the *vacant* domains are so."""
        view = self.view(vacant)
        if view != self.watched_view:
            self.watched_view = view
            self.peer.watch(watched_peers(view))

    def owner_of(self, domain: str) -> str | None:
        """Return the peer that owns *domain*, None if it has no live owner."""
        alive = self.peer.alive()
        row = self.rows.get(domain)
        epoch = row['epoch'] if row else 0
        owners = [
            (reported[domain], entry_id)
            for entry_id, reported in self.reported.items()
            if entry_id in alive and reported.get(domain, 0) >= max(1, epoch)
        ]
        if owners:
            return max(owners)[1]
        return row['holder'] if row and self._holds(domain, row) else None

    def check_isolation(self) -> None:
        """Check whether this entry VM still hears enough of its peers."""
        tried = self.peer.tried().intersection(self.membership.registered)
        if not is_isolated(tried, self.peer.responding()):
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = self.clock.now()

    def status_of(self, domain: str, row: Row) -> HolderStatus | None:
        """Return the status of the holder in *row*; None if it has none."""
        if row.version == ABSENT:
            return None
        holder = decode_row(row, OwnerRow)
        self.record_row(domain, holder)
        entry_id = holder['holder']
        return HolderStatus(
            row=holder,
            registered=self._registered(entry_id),
            connected=entry_id in self.peer.reachable(),
            known_for=self.clock.now() - self.epochs[domain][1],
        )

    def view(self, vacant: Collection[str]) -> PeerView:
        """Return what is known of the peers and the domains."""
        own = self.membership.own
        registered = self.membership.registered
        holders = {domain: row['holder'] for domain, row in self.rows.items()}
        return PeerView(
            own=own,
            members={**registered, own.entry_id: own},
            down=registered.keys() - self.peer.alive(),
            holders=holders,
            vacant=vacant,
        )

    def describe(self, status: HolderStatus | None, vacant_since: int) -> Dump:
        """Return why a domain is taken from its holder, for the log."""
        if status is None:
            return {}
        return {
            'previous': status.row,
            'connected': status.connected,
            'registered': status.registered is not None,
            'known_ms': status.known_for,
            'vacant_ms': self.clock.now() - vacant_since,
            'peers_connected': len(self.peer.reachable()),
            'peers_registered': len(self.membership.registered),
        }

    def _holds(self, domain: str, row: OwnerRow) -> bool:
        """Return whether the holder in *row* seems to own the domain."""
        holder = row['holder']
        entry = self.membership.registered.get(holder)
        if entry is None or entry.incarnation != row['incarnation']:
            return False
        if holder not in self.peer.alive():
            return False
        return holder not in self.reported

    def _registered(self, entry_id: str) -> EntryVm | None:
        if entry_id == self.membership.own.entry_id:
            return self.membership.own
        return self.membership.registered.get(entry_id)
