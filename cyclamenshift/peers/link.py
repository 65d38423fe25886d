"""
cyclamenshift.peers.link
========================

The dialling side: one task for each peer, over all its connections.
"""

import itertools
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import TypeAlias

import trio
from trio.abc import Stream

from ..clock import MS_PER_SECOND
from ..errors import ProtocolError
from ..model import EntryVm
from ..peer import (
    Call,
    CancelCall,
    Heartbeat,
    Leaving,
    LeavingAck,
    Message,
    NoReply,
    Notification,
    Payload,
    Reply,
)
from .connection import LOST, Connection, out_of_turn
from .exchange import Exchange

#: The wait before a lost peer is dialled again, ms.
REDIAL_MS = 200

#: How long opening a connection may take, ms.
DIAL_MS = 500

#: Opens a stream to a peer; raises OSError.
Dialler: TypeAlias = Callable[[EntryVm], Awaitable[Stream]]

NOT_CONNECTED = NoReply(sent=False, reason='not connected')
LEFT = NoReply(sent=True, reason='connection lost')
SILENT = NoReply(sent=True, reason='no reply in time')


class PendingCall:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        """Start without a reply."""
        self.reply: Payload | NoReply = SILENT
        self.settled = trio.Event()

    def settle(self, reply: Payload | NoReply) -> None:
        """Give the reply to the task that waits."""
        self.reply = reply
        self.settled.set()


class Link:
    """What is known of one peer, and the task that keeps it connected."""

    def __init__(
        self,
        exchange: Exchange,
        entry: EntryVm,
        dialler: Dialler,
    ) -> None:
        """Start unconnected."""
        self.exchange = exchange
        self.clock = exchange.clock
        self.entry = entry
        self.dialler = dialler
        self.connection: Connection | None = None
        self.calls: dict[int, PendingCall] = {}
        self.numbers = itertools.count(1)
        self.leaving = False
        self.retired = False
        self.lost_count = 0
        self.alive = False

    @property
    def usable(self) -> bool:
        """Whether the peer accepts calls now."""
        return self.connection is not None and not self.leaving

    async def keep(self) -> None:
        """Dial the peer again whenever its connection is lost."""
        while not self.retired:
            lost = await self._dial()
            if lost:
                continue
            if self.alive:
                self.alive = False
                self.exchange.notice(self.entry.entry_id)
            await self.clock.sleep(REDIAL_MS)

    def retire(self) -> None:
        """Ask nothing more; end when the present connection does."""
        self.leaving = True
        self.retired = True

    async def call(self, payload: Payload, timeout: int) -> Payload | NoReply:
        """Send a call and return the reply, waiting up to *timeout* ms."""
        connection = self.connection
        if connection is None or self.leaving:
            return NOT_CONNECTED
        number = next(self.numbers)
        call = PendingCall()
        self.calls[number] = call
        connection.post(Call(number, payload))
        try:
            with self.clock.move_on_after(timeout):
                await call.settled.wait()
        finally:
            if self.calls.pop(number, None):
                connection.post(CancelCall(number))
        return call.reply

    def notify(self, payload: Payload) -> bool:
        """Send a notification; return whether there is a connection for it."""
        if self.connection is None:
            return False
        self.connection.post(Notification(payload))
        return True

    async def _dial(self) -> bool:
        """Use one connection; return whether there was one that got lost."""
        lost_before = self.lost_count
        try:
            with trio.fail_after(DIAL_MS / MS_PER_SECOND):
                stream = await self.dialler(self.entry)
        except (OSError, trio.TooSlowError):
            return False
        await self._serve(stream)
        return self.lost_count > lost_before

    async def _serve(self, stream: Stream) -> None:
        connection = self.exchange.connect(stream)
        try:
            async with connection:
                await self._use(connection)
        except* LOST:
            self.exchange.log.note(
                'Lost a peer.',
                peer=self.entry.entry_id,
                silent_ms=self.clock.now() - connection.heard_at,
            )
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.exchange.log.error(
                    'A peer is not understood.',
                    peer=self.entry.entry_id,
                    problem=str(error),
                )
        finally:
            self._lose()

    async def _use(self, connection: Connection) -> None:
        connection.post(self.exchange.greeting())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.pump)
            self.exchange.check_greeting(
                await connection.receive(),
                self.entry,
            )
            self.connection = connection
            self.alive = True
            self.leaving = self.retired
            self.exchange.log.note(
                'Connected to a peer.',
                peer=self.entry.entry_id,
            )
            self.exchange.notice(self.entry.entry_id)
            nursery.start_soon(self._beat, connection)
            while True:
                self._take(await connection.receive())

    async def _beat(self, connection: Connection) -> None:
        while True:
            connection.post(Heartbeat(()))
            await self.clock.sleep(self.exchange.settings['heartbeat'])

    def _lose(self) -> None:
        if self.connection is None:
            return
        self.connection = None
        self.lost_count += 1
        for call in self.calls.values():
            call.settle(LEFT)
        self.calls.clear()
        self.exchange.notice(self.entry.entry_id)

    @singledispatchmethod
    def _take(self, message: Message) -> None:
        raise out_of_turn(message)

    @_take.register
    def _take_reply(self, message: Reply) -> None:
        call = self.calls.pop(message.number, None)
        if call is None:
            late = self.exchange.host.metrics.late_answers
            late.inc({'from': self.entry.entry_id})
        else:
            call.settle(message.payload)

    @_take.register
    def _take_heartbeat(self, message: Heartbeat) -> None:
        for payload in message.updates:
            self.exchange.take(self.entry.entry_id, payload)

    @_take.register
    def _take_leaving(self, message: Leaving) -> None:
        self.leaving = True
        if self.connection:
            self.connection.post(LeavingAck())
        self.exchange.log.note('A peer leaves.', peer=self.entry.entry_id)
        self.exchange.notice(self.entry.entry_id)
