"""
cyclamenshift.controls.relayed_read
===================================

A read of the store that is put to several relays until one answers it.

A read can be repeated, unlike a commit, so a relay that is slow, paused or cut
off from the store does not hold it up.
"""

from collections.abc import Awaitable, Callable, Iterable
from functools import singledispatch
from typing import Final, TypeAlias

import trio

from ..clock import Clock
from ..peer import NoReply, Payload
from ..store import Unavailable
from ..storemessages import FollowCall, ScanCall

#: How much longer than the store holds a read a relay may take before the next
#: one is asked, ms: longer than a slow store takes, so that reads are seldom
#: repeated.
PATIENCE_MS: Final = 400

#: The same for the scan of a table, which takes as long as the rows need to
#: pass two small links.  Another relay then sends them once more.
SCAN_PATIENCE_MS: Final = 1_500

#: Calls a relay, which may hold the read for some ms.
CallRelay: TypeAlias = Callable[[str, Payload, int], Awaitable[Payload]]


class RelayedRead:
    """The first useful reply to one read."""

    def __init__(self, clock: Clock, call_relay: CallRelay) -> None:
        """Start without a reply; *call_relay* returns NoReply for none."""
        self.clock = clock
        self.call_relay = call_relay
        self.reply: Payload | None = None
        self.attempt_ended = trio.Event()

    async def run(
        self, relays: Iterable[str], call: Payload, wait: int
    ) -> Payload | None:
        """
        Ask *relays* one after the other; return None if none is of use.

        The next one is asked at once when one fails, and otherwise some time
        after the end of the time *wait* for which the store may hold the
        read, ms.  Those that were asked may still reply.
        """
        held_until = self.clock.now() + wait
        async with trio.open_nursery() as nursery:
            for relay in relays:
                hold = self.clock.remaining(held_until)
                self.attempt_ended = trio.Event()
                nursery.start_soon(
                    self._ask, relay, _with_hold(call, hold), hold, nursery
                )
                with self.clock.move_on_after(hold + _patience(call)):
                    await self.attempt_ended.wait()
        return self.reply

    async def _ask(
        self, relay: str, call: Payload, hold: int, nursery: trio.Nursery
    ) -> None:
        reply = await self.call_relay(relay, call, hold)
        if isinstance(reply, NoReply | Unavailable):
            self.attempt_ended.set()
            return
        self.reply = reply
        nursery.cancel_scope.cancel()


@singledispatch
def _patience(call: Payload) -> int:
    """Return how long a reply may take before the next relay is asked, ms."""
    return PATIENCE_MS


@_patience.register
def _scan_patience(call: ScanCall) -> int:
    return SCAN_PATIENCE_MS


@singledispatch
def _with_hold(call: Payload, hold: int) -> Payload:
    """Return the same read, which may be held for *hold* ms if any."""
    return call


@_with_hold.register
def _follow_with_hold(call: FollowCall, hold: int) -> Payload:
    return call._replace(wait=hold)
