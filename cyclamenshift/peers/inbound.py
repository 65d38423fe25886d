"""
cyclamenshift.peers.inbound
===========================

The incoming side: one task for each connection and one for each call.
"""

from functools import singledispatchmethod
from typing import Final

import trio

from ..clock import MS_PER_SECOND
from ..peer import (
    Call,
    CancelCall,
    Heartbeat,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Pace,
    Payload,
    Reply,
    Reporter,
)
from .connection import Connection, unexpected_message
from .context import PeerContext


#: How long an incoming connection may be silent, ms.  The peer that opened it
#: decides whether it is lost; closing it here would tell a peer with a slow
#: path to this entry VM that this one is gone.  So this is only for peers whose
#: hosts are lost, and longer than they keep idle connections.
MAX_SILENCE_MS: Final = 30_000


class InboundSession:
    """Answers the calls on one incoming connection."""

    def __init__(self, context: PeerContext, connection: Connection) -> None:
        """Serve *connection*; ``handshake`` comes first, then ``run``."""
        self.context = context
        self.connection = connection
        self.entry_id = ''
        self.peer_process = ('', '')
        self.active_calls: dict[int, trio.CancelScope] = {}
        self.leaving_sent = False
        self.calls_ended = trio.Event()
        self.idle = trio.Event()
        self.reporters: list[Reporter] = []
        self.interval = 0
        self.sent_at = 0

    async def handshake(self) -> Hello:
        """Receive and return the ``Hello`` of the peer, and reply to it."""
        with trio.fail_after(self.connection.silence / MS_PER_SECOND):
            received = await self.connection.receive()
        hello = self.context.check_hello(received, None)
        self.entry_id = hello.entry_id
        self.peer_process = (hello.entry_id, hello.incarnation)
        self.context.inbound[self.peer_process] = self.connection
        self.interval = self.context.settings['heartbeat']
        self.connection.enqueue(self.context.make_hello())
        return hello

    async def run(self) -> None:
        """Handle messages until the connection is lost."""
        self.reporters = [factory() for factory in self.context.reporters]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.connection.send_queued)
            self._send_heartbeat()
            if self.context.host.draining:
                self.send_leaving()
            while True:
                self._on_message(await self.connection.receive(), nursery)

    def send_leaving(self) -> None:
        """Ask the peer to send no more calls, unless already done."""
        if not self.leaving_sent:
            self.leaving_sent = True
            self.connection.enqueue(Leaving())

    async def drain(self) -> None:
        """Return when no more calls can arrive and all replies are sent."""
        await self.calls_ended.wait()
        while self.active_calls:
            self.idle = trio.Event()
            await self.idle.wait()
        await self.connection.flush()

    def pulse(self) -> int:
        """
        Send a heartbeat if one is due; return when to look again.

        Ends the connection of a peer that is lost.
        """
        now = self.context.clock.now()
        if self.connection.silent_for() > MAX_SILENCE_MS:
            self.connection.abort()
        if not self.interval:
            return now + MAX_SILENCE_MS
        if now >= self.sent_at + self.interval:
            self._send_heartbeat()
        return self.sent_at + self.interval

    def forgive_silence(self) -> None:
        """Nothing to do: only hosts that are lost are silent for so long."""

    def flush_updates(self) -> None:
        """Send the status updates that are due, if there are any."""
        updates = self._updates()
        if updates:
            self.connection.enqueue(Heartbeat(updates))

    def _updates(self) -> tuple[Payload, ...]:
        return tuple(update for report in self.reporters for update in report())

    def _send_heartbeat(self) -> None:
        self.sent_at = self.context.clock.now()
        self.connection.enqueue(Heartbeat(self._updates()))

    @singledispatchmethod
    def _on_message(self, message: Message, nursery: trio.Nursery) -> None:
        raise unexpected_message(message)

    @_on_message.register
    def _on_heartbeat(
        self,
        message: Heartbeat,
        nursery: trio.Nursery,
    ) -> None:
        self._send_heartbeat()

    @_on_message.register
    def _on_pace(self, message: Pace, nursery: trio.Nursery) -> None:
        self.interval = message.interval

    @_on_message.register
    def _on_call(self, message: Call, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._answer_call, message)

    @_on_message.register
    def _on_notification(
        self, message: Notification, nursery: trio.Nursery
    ) -> None:
        self.context.dispatch_payload(self.entry_id, message.payload)

    @_on_message.register
    def _on_cancel_call(
        self,
        message: CancelCall,
        nursery: trio.Nursery,
    ) -> None:
        scope = self.active_calls.get(message.number)
        if scope:
            scope.cancel()

    @_on_message.register
    def _on_leaving_ack(
        self,
        message: LeavingAck,
        nursery: trio.Nursery,
    ) -> None:
        self.calls_ended.set()

    async def _answer_call(self, call: Call) -> None:
        call_handler = self.context.get_call_handler(call.payload)
        with trio.CancelScope() as scope:
            self.active_calls[call.number] = scope
            try:
                reply = await call_handler(self.entry_id, call.payload)
            finally:
                self._remove_call(call.number)
            self.connection.enqueue(Reply(call.number, reply))

    def _remove_call(self, number: int) -> None:
        self.active_calls.pop(number)
        if not self.active_calls:
            self.idle.set()
