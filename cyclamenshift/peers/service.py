"""
cyclamenshift.peers.service
===========================

The accepting side: one task for each connection, one for each call.
"""

from functools import singledispatchmethod

import trio

from ..peer import (
    Call,
    CancelCall,
    Heartbeat,
    Hello,
    Leaving,
    LeavingAck,
    Message,
    Notification,
    Reply,
)
from .connection import Connection, out_of_turn
from .exchange import Exchange


class Service:
    """Answers the calls that arrive on one connection."""

    def __init__(self, exchange: Exchange, connection: Connection) -> None:
        """Serve *connection*, which has not greeted yet."""
        self.exchange = exchange
        self.connection = connection
        self.entry_id = ''
        self.answering: dict[int, trio.CancelScope] = {}
        self.told = False
        self.ended = trio.Event()
        self.idle = trio.Event()
        self.flush_requested = trio.Event()

    async def greet(self) -> Hello:
        """Take and return the peer's greeting, and greet back."""
        greeting = self.exchange.check_greeting(
            await self.connection.receive(),
            None,
        )
        self.entry_id = greeting.entry_id
        self.connection.post(self.exchange.greeting())
        return greeting

    async def serve(self) -> None:
        """Take messages until the connection is lost."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.connection.pump)
            nursery.start_soon(self._beat)
            if self.exchange.host.draining:
                self.say_leaving()
            while True:
                self._obey(await self.connection.receive(), nursery)

    def say_leaving(self) -> None:
        """Tell the other end to ask nothing more."""
        if not self.told:
            self.told = True
            self.connection.post(Leaving())

    async def drain(self) -> None:
        """Return when nothing more comes in and all is answered."""
        await self.ended.wait()
        while self.answering:
            self.idle = trio.Event()
            await self.idle.wait()
        await self.connection.flush()

    async def _beat(self) -> None:
        reporters = [factory() for factory in self.exchange.reporters]
        while True:
            self.flush_requested = trio.Event()
            updates = [told for report in reporters for told in report()]
            self.connection.post(Heartbeat(tuple(updates)))
            heartbeat = self.exchange.settings['heartbeat']
            with self.exchange.clock.move_on_after(heartbeat):
                await self.flush_requested.wait()

    @singledispatchmethod
    def _obey(self, message: Message, nursery: trio.Nursery) -> None:
        raise out_of_turn(message)

    @_obey.register
    def _obey_heartbeat(
        self,
        message: Heartbeat,
        nursery: trio.Nursery,
    ) -> None:
        """Nothing to do: that it came is its message."""

    @_obey.register
    def _obey_call(self, message: Call, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._answer, message)

    @_obey.register
    def _obey_notification(
        self, message: Notification, nursery: trio.Nursery
    ) -> None:
        self.exchange.take(self.entry_id, message.payload)

    @_obey.register
    def _obey_cancel_call(
        self,
        message: CancelCall,
        nursery: trio.Nursery,
    ) -> None:
        scope = self.answering.get(message.number)
        if scope:
            scope.cancel()

    @_obey.register
    def _obey_leaving_ack(
        self,
        message: LeavingAck,
        nursery: trio.Nursery,
    ) -> None:
        self.ended.set()

    async def _answer(self, call: Call) -> None:
        call_handler = self.exchange.call_handler(call.payload)
        with trio.CancelScope() as scope:
            self.answering[call.number] = scope
            try:
                reply = await call_handler(self.entry_id, call.payload)
            finally:
                self._end(call.number)
            self.connection.post(Reply(call.number, reply))

    def _end(self, number: int) -> None:
        self.answering.pop(number)
        if not self.answering:
            self.idle.set()
