"""
cyclamenshift.peers.calls
=========================

The calls on one link that wait for their replies.
"""

import itertools
from typing import Final

import trio

from ..peer import Call, CancelCall, NoReply, Payload
from .connection import Connection

NOT_CONNECTED: Final = NoReply(sent=False, reason='not connected')
CONNECTION_LOST: Final = NoReply(sent=True, reason='connection lost')
TIMED_OUT: Final = NoReply(sent=True, reason='no reply in time')


class PendingCall:
    """A call and its reply, once it has arrived."""

    def __init__(self) -> None:
        """Start without a reply."""
        self.reply: Payload | NoReply = TIMED_OUT
        self.settled = trio.Event()

    def settle(self, reply: Payload | NoReply) -> None:
        """Set the reply and wake the caller that waits for it."""
        self.reply = reply
        self.settled.set()


class PendingCalls:
    """Numbers calls and matches their replies."""

    def __init__(self) -> None:
        """Start without a call."""
        self.by_number: dict[int, PendingCall] = {}
        self.numbers = itertools.count(1)

    async def exchange(
        self, connection: Connection, payload: Payload
    ) -> Payload | NoReply:
        """Send a call and return its reply; cancel the call if cancelled."""
        number = next(self.numbers)
        call = PendingCall()
        self.by_number[number] = call
        connection.enqueue(Call(number, payload))
        try:
            await call.settled.wait()
        finally:
            if self.by_number.pop(number, None):
                connection.enqueue(CancelCall(number))
        return call.reply

    def settle(self, number: int, reply: Payload) -> bool:
        """Settle a call; return False if it is not pending any more."""
        call = self.by_number.pop(number, None)
        if call:
            call.settle(reply)
        return call is not None

    def settle_all(self, reply: NoReply) -> None:
        """Settle every call with *reply*."""
        for call in self.by_number.values():
            call.settle(reply)
        self.by_number.clear()
