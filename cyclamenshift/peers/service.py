"""
cyclamenshift.peers.service
===========================

The accepting side: one task for each connection, one for each request.
"""

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from ..model import Request
from ..peer import (
    Forward,
    Heartbeat,
    Leaving,
    LeavingSeen,
    Message,
    Withdraw,
)
from .connection import Connection, out_of_turn

if TYPE_CHECKING:
    from .stream import StreamPeer


class Service:
    """Runs the requests that come in on one connection."""

    def __init__(self, peer: 'StreamPeer', connection: Connection) -> None:
        """Serve *connection*, which has not greeted yet."""
        self.peer = peer
        self.connection = connection
        self.running: dict[str, trio.CancelScope] = {}
        self.told = False
        self.ended = trio.Event()
        self.idle = trio.Event()

    async def serve(self) -> None:
        """Greet, then take messages until the connection is lost."""
        greeting = self.peer.check_greeting(
            await self.connection.receive(),
            None,
        )
        self.peer.membership.hint(greeting.entry_id, greeting.incarnation)
        await self.connection.send(self.peer.greeting())
        if self.peer.kernel.draining:
            await self.say_leaving()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.peer.beat,
                self.connection,
                self.peer.dispatcher.queues.values(),
            )
            while True:
                self._obey(await self.connection.receive(), nursery)

    async def say_leaving(self) -> None:
        """Ask the other end to forward nothing more."""
        if not self.told:
            self.told = True
            await self.connection.try_send(Leaving())

    async def drain(self) -> None:
        """Return when nothing more comes in and all is answered."""
        await self.ended.wait()
        while self.running:
            self.idle = trio.Event()
            await self.idle.wait()

    @singledispatchmethod
    def _obey(self, message: Message, nursery: trio.Nursery) -> None:
        raise out_of_turn(message)

    @_obey.register
    def _obey_heartbeat(
        self,
        message: Heartbeat,
        nursery: trio.Nursery,
    ) -> None:
        self.peer.configuration.hint(message.number, message.changes)

    @_obey.register
    def _obey_forward(self, message: Forward, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._run, message)

    @_obey.register
    def _obey_withdraw(self, message: Withdraw, nursery: trio.Nursery) -> None:
        scope = self.running.get(message.request_id)
        if scope:
            scope.cancel()

    @_obey.register
    def _obey_leaving_seen(
        self,
        message: LeavingSeen,
        nursery: trio.Nursery,
    ) -> None:
        self.ended.set()

    async def _run(self, forward: Forward) -> None:
        request = Request(
            request_id=forward.request_id,
            service=forward.service,
            work=forward.work,
            body=forward.body,
            content_type=forward.content_type,
            deadline=self.peer.clock.now() + forward.remaining,
            repeatable=forward.repeatable,
            key=forward.key,
        )
        with trio.CancelScope() as scope:
            self.running[request.request_id] = scope
            try:
                outcome = await self.peer.dispatcher.serve(request)
                await self.connection.send_answer(request, outcome)
            finally:
                self._end(request.request_id)

    def _end(self, request_id: str) -> None:
        self.running.pop(request_id)
        if not self.running:
            self.idle.set()
