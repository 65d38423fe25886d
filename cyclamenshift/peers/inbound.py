"""
cyclamenshift.peers.inbound
===========================

The incoming side: one task for each connection and one for each call.
"""

from functools import singledispatchmethod
from typing import Final

import trio

from ..peer import (
    Call,
    CancelCall,
    Heartbeat,
    HeartbeatRequest,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Reply,
)
from .connection import Connection, unexpected_message
from .context import PeerContext

#: How many times ``peers.silence`` an incoming connection may be silent.  The
#: peer that opened it decides whether it is lost; closing it here would tell a
#: peer with a slow path to this entry VM that this one is gone.
SILENCE_FACTOR: Final = 3


class InboundSession:
    """Answers the calls on one incoming connection."""

    def __init__(self, context: PeerContext, connection: Connection) -> None:
        """Serve *connection*; ``handshake`` comes first, then ``run``."""
        self.context = context
        self.connection = connection
        self.connection.silence.lost_after_s *= SILENCE_FACTOR
        self.entry_id = ''
        self.peer_process = ('', '')
        self.active_calls: dict[int, trio.CancelScope] = {}
        self.leaving_sent = False
        self.calls_ended = trio.Event()
        self.idle = trio.Event()

    async def handshake(self) -> Hello:
        """Receive and return the ``Hello`` of the peer, and reply to it."""
        hello = self.context.check_hello(
            await self.connection.receive(),
            None,
        )
        self.entry_id = hello.entry_id
        self.peer_process = (hello.entry_id, hello.incarnation)
        self.context.inbound[self.peer_process] = self.connection
        self.connection.enqueue(self.context.make_hello())
        self.context.rates.update_inbound(self.peer_process)
        return hello

    async def run(self) -> None:
        """Handle messages until the connection is lost."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.connection.send_queued)
            nursery.start_soon(self._send_heartbeats)
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

    async def _send_heartbeats(self) -> None:
        reporters = [factory() for factory in self.context.reporters]
        while True:
            updates = [update for report in reporters for update in report()]
            self.connection.enqueue(Heartbeat(tuple(updates)))
            await self.connection.timer.wait()

    @singledispatchmethod
    def _on_message(self, message: Message, nursery: trio.Nursery) -> None:
        raise unexpected_message(message)

    @_on_message.register
    def _on_heartbeat(
        self,
        message: Heartbeat,
        nursery: trio.Nursery,
    ) -> None:
        """Nothing to do: receiving it has reset the silence timeout."""

    @_on_message.register
    def _on_heartbeat_request(
        self, message: HeartbeatRequest, nursery: trio.Nursery
    ) -> None:
        self.connection.timer.request(message.factor)

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
