"""
cyclamenshift.peers.link
========================

The outgoing side: one task for each peer, which reconnects to it.
"""

import itertools
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import TypeAlias

import trio
from trio.abc import Stream

from ..clock import MS_PER_SECOND
from ..errors import ProtocolError
from ..http1 import CONNECT_ERRORS
from ..model import EntryVm
from ..peer import (
    Call,
    CancelCall,
    Heartbeat,
    HeartbeatRequest,
    Leaving,
    LeavingAck,
    Message,
    NoReply,
    Notification,
    Payload,
    Reply,
)
from .connection import CONNECTION_ERRORS, Connection, unexpected_message
from .context import PeerContext

#: The delay between failed attempts to connect, ms.
RECONNECT_DELAY_MS = 200

#: Time limit for opening a connection, ms.
CONNECT_TIMEOUT_MS = 500

#: Opens a stream to a peer; raises OSError.
OpenStream: TypeAlias = Callable[[EntryVm], Awaitable[Stream]]

NOT_CONNECTED = NoReply(sent=False, reason='not connected')
CONNECTION_LOST = NoReply(sent=True, reason='connection lost')
TIMED_OUT = NoReply(sent=True, reason='no reply in time')


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


class Link:
    """The outgoing connection to one peer, which is reopened when lost."""

    def __init__(
        self,
        context: PeerContext,
        entry: EntryVm,
        open_stream: OpenStream,
    ) -> None:
        """Start unconnected; ``run`` connects."""
        self.context = context
        self.clock = context.clock
        self.entry = entry
        self.process = (entry.entry_id, entry.incarnation)
        self.open_stream = open_stream
        self.connection: Connection | None = None
        self.pending_calls: dict[int, PendingCall] = {}
        self.call_numbers = itertools.count(1)
        self.leaving = False
        self.retired = False
        self.lost_connections = 0
        self.alive = False
        self.refused = False

    @property
    def usable(self) -> bool:
        """Whether the peer accepts calls now."""
        return self.connection is not None and not self.leaving

    async def run(self) -> None:
        """
        Connect, and reconnect whenever the connection is lost.

        The first attempt after a loss is made at once; while attempts fail,
        they are repeated with a delay.  The peer is alive until an attempt is
        refused, or fails while nothing comes on its own connection either.
        """
        while not self.retired:
            was_connected = await self._connect_once()
            if was_connected:
                continue
            if self.alive and not self._is_heard():
                self.alive = False
                self.context.notify_watchers(self.entry.entry_id)
            await self.clock.sleep(RECONNECT_DELAY_MS)

    def retire(self) -> None:
        """Stop sending calls; ``run`` returns once the connection ends."""
        self.leaving = True
        self.retired = True

    def last_heard(self) -> int | None:
        """
        Return when data last came on a connection in either direction.

        Returns None if there is no connection.
        """
        connections = (self.connection, self.context.inbound.get(self.process))
        return max(
            (each.last_received_at for each in connections if each),
            default=None,
        )

    async def call(self, payload: Payload, timeout: int) -> Payload | NoReply:
        """Send a call and return the reply, waiting up to *timeout* ms."""
        connection = self.connection
        if connection is None or self.leaving:
            return NOT_CONNECTED
        number = next(self.call_numbers)
        call = PendingCall()
        self.pending_calls[number] = call
        connection.enqueue(Call(number, payload))
        connection.check()
        try:
            with self.clock.move_on_after(timeout):
                await call.settled.wait()
        finally:
            if self.pending_calls.pop(number, None):
                connection.enqueue(CancelCall(number))
        return call.reply

    def notify(self, payload: Payload) -> bool:
        """Send a notification; return whether there is a connection."""
        if self.connection is None:
            return False
        self.connection.enqueue(Notification(payload))
        return True

    async def _connect_once(self) -> bool:
        """Open and use one connection; return whether it was established."""
        lost_before = self.lost_connections
        try:
            with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
                stream = await self.open_stream(self.entry)
        except CONNECT_ERRORS as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            return False
        self.refused = False
        await self._run_connection(stream)
        return self.lost_connections > lost_before

    def _is_heard(self) -> bool:
        heard_at = self.last_heard()
        if self.refused or heard_at is None:
            return False
        inbound = self.context.inbound.get(self.process)
        if inbound and inbound.silence.is_reply_pending:
            return True
        silent_ms = self.clock.now() - heard_at
        return silent_ms < self.context.settings['silence']

    async def _run_connection(self, stream: Stream) -> None:
        connection = self.context.make_connection(stream)
        try:
            async with connection:
                await self._process_messages(connection)
        except* CONNECTION_ERRORS:
            self.context.log.note(
                'Lost a peer.',
                peer=self.entry.entry_id,
                silent_ms=self.clock.now() - connection.last_received_at,
            )
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.context.log.error(
                    'Protocol error on a peer connection.',
                    peer=self.entry.entry_id,
                    problem=str(error),
                )
        except* Exception as unexpected:
            self.context.log.exception(
                'Failed to handle the messages of a peer.',
                unexpected,
                peer=self.entry.entry_id,
            )
        finally:
            self._on_connection_lost()

    async def _process_messages(self, connection: Connection) -> None:
        connection.enqueue(self.context.make_hello())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.send_queued)
            self.context.check_hello(
                await connection.receive(),
                self.entry,
            )
            self.connection = connection
            self.alive = True
            self.leaving = self.retired
            self.context.log.note(
                'Connected to a peer.',
                peer=self.entry.entry_id,
            )
            self.context.rates.add(self.entry, connection)
            self.context.notify_watchers(self.entry.entry_id)
            nursery.start_soon(self._send_heartbeats, connection)
            while True:
                self._on_message(await connection.receive())

    async def _send_heartbeats(self, connection: Connection) -> None:
        while True:
            connection.enqueue(Heartbeat(()))
            await connection.timer.wait()

    def _on_connection_lost(self) -> None:
        if self.connection is None:
            return
        self.connection = None
        self.lost_connections += 1
        self.context.rates.remove(self.process)
        for call in self.pending_calls.values():
            call.settle(CONNECTION_LOST)
        self.pending_calls.clear()
        self.context.notify_watchers(self.entry.entry_id)

    @singledispatchmethod
    def _on_message(self, message: Message) -> None:
        raise unexpected_message(message)

    @_on_message.register
    def _on_reply(self, message: Reply) -> None:
        call = self.pending_calls.pop(message.number, None)
        if call is None:
            late = self.context.host.metrics.late_answers
            late.inc({'from': self.entry.entry_id})
        else:
            call.settle(message.payload)

    @_on_message.register
    def _on_heartbeat(self, message: Heartbeat) -> None:
        if self.retired:
            # A process that took the place of this peer has its id.
            return
        for payload in message.updates:
            self.context.dispatch_payload(self.entry.entry_id, payload)

    @_on_message.register
    def _on_heartbeat_request(self, message: HeartbeatRequest) -> None:
        if self.connection:
            self.connection.timer.request(message.factor)

    @_on_message.register
    def _on_leaving(self, message: Leaving) -> None:
        self.leaving = True
        if self.connection:
            self.connection.enqueue(LeavingAck())
        self.context.log.note('A peer is leaving.', peer=self.entry.entry_id)
        self.context.rates.check()
        self.context.notify_watchers(self.entry.entry_id)
