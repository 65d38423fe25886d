"""
cyclamenshift.peers.links
=========================

The links to all registered peers, and how closely each is watched.
"""

from collections.abc import Mapping
from functools import partial

import trio

from ..controls.membership import Membership
from ..decisions.heartbeats import Watch
from ..model import EntryVm
from .context import PeerContext
from .link import Link, OpenStream


class LinkTable:
    """
    One link for each registered peer.

    ``watched`` tells how closely each peer is watched; None watches all.
    """

    def __init__(self, context: PeerContext, open_stream: OpenStream) -> None:
        """Start without links; ``track`` adds them."""
        self.context = context
        self.open_stream = open_stream
        self.by_id: dict[str, Link] = {}
        self.watched: Mapping[str, Watch] | None = None

    async def track(
        self, membership: Membership, nursery: trio.Nursery
    ) -> None:
        """Add and remove links as the registrations change."""
        links: dict[EntryVm, Link] = {}
        while True:
            changed = membership.changed
            members = set(membership.registered.values())
            for removed in links.keys() - members:
                self._remove(links.pop(removed))
            for added in members - links.keys():
                links[added] = self._add(added, nursery)
            await changed.wait()

    def watch(self, watched: Mapping[str, Watch]) -> None:
        """Watch the peers in *watched*, and connect to others on demand."""
        self.watched = watched
        for link in self.by_id.values():
            link.adjust_watch(self._watch_of(link))

    def find(self, entry_id: str, incarnation: str) -> Link | None:
        """Return the link to a process, None if it is not registered."""
        link = self.by_id.get(entry_id)
        is_current = link and link.entry.incarnation == incarnation
        return link if is_current else None

    def _add(self, entry: EntryVm, nursery: trio.Nursery) -> Link:
        link = Link(
            self.context,
            entry,
            self.open_stream,
            partial(_start, nursery),
        )
        self.by_id[entry.entry_id] = link
        link.adjust_watch(self._watch_of(link))
        return link

    def _remove(self, link: Link) -> None:
        link.retire()
        if self.by_id.get(link.entry.entry_id) is link:
            self.by_id.pop(link.entry.entry_id)

    def _watch_of(self, link: Link) -> Watch:
        if self.watched is None:
            return Watch.close
        return self.watched.get(link.entry.entry_id, Watch.unwatched)


def _start(nursery: trio.Nursery, link: Link) -> None:
    nursery.start_soon(link.run)
