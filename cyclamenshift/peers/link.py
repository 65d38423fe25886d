"""
cyclamenshift.peers.link
========================

The outgoing side: one task for each peer whose connection is needed.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Final, TypeAlias

import trio
from trio.abc import Stream

from ..clock import MS_PER_SECOND
from ..decisions.heartbeats import Pulse, Watch
from ..errors import ProtocolError
from ..model import EntryVm
from ..peer import (
    Heartbeat,
    Leaving,
    LeavingAck,
    Message,
    NoReply,
    Notification,
    Pace,
    Payload,
    Reply,
)
from .attempts import Attempts
from .calls import CONNECTION_LOST, NOT_CONNECTED, TIMED_OUT, PendingCalls
from .connection import CONNECTION_ERRORS, Connection, unexpected_message
from .context import PeerContext
from .keepalive import Keepalive

#: The range of the delay between failed attempts to connect, ms.  A host that
#: is back ends the delay by its own connection to this one.
MIN_RETRY_DELAY_MS: Final = 200
MAX_RETRY_DELAY_MS: Final = 1_600

#: Time limit for opening a connection, ms; it is part of the time after which a
#: lost owner is replaced.
CONNECT_TIMEOUT_MS: Final = 500
#: Opens a stream to a peer; raises OSError.
OpenStream: TypeAlias = Callable[[EntryVm], Awaitable[Stream]]


class Link:
    """The outgoing connection to one peer, open while it is needed."""

    def __init__(
        self,
        context: PeerContext,
        entry: EntryVm,
        open_stream: OpenStream,
        start: Callable[['Link'], None],
    ) -> None:
        """Start unconnected; *start* runs the task that connects."""
        self.context = context
        self.clock = context.clock
        self.entry = entry
        self.open_stream = open_stream
        self.start = start
        self.connection: Connection | None = None
        self.calls = PendingCalls()
        self.outbox: deque[Payload] = deque()
        self.attempts = Attempts(context.clock)
        self.keepalive = Keepalive(
            context.clock, context.settings, answers_pace=entry.takes_pace
        )
        self.leaving = False
        self.retired = False

    @property
    def usable(self) -> bool:
        """Whether the peer accepts calls now."""
        return self.connection is not None and not self.leaving

    @property
    def alive(self) -> bool:
        """
        Whether the peer is not known to be down.

        It is alive until an attempt to connect is refused, or fails while
        nothing comes on its own connection either.
        """
        return not self.attempts.failed_lately or self._is_heard()

    async def run(self) -> None:
        """
        Connect, and reconnect while the connection is needed.

        The first attempt after a loss is made at once; while attempts fail,
        they are repeated with a growing delay.
        """
        delay = MIN_RETRY_DELAY_MS
        while self._is_needed():
            self.attempts.begin()
            if await self._connect_once():
                delay = MIN_RETRY_DELAY_MS
                continue
            self.attempts.fail()
            self.outbox.clear()
            self.context.notify_watchers(self.entry.entry_id)
            await self.attempts.wait_for_retry(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_MS)
        self.attempts.running = False
        self.attempts.ended.set()

    def adjust_watch(self, watch: Watch) -> None:
        """Watch the peer as *watch* tells, and connect if it is watched."""
        if watch is self.keepalive.watch:
            return
        self.keepalive.watch = watch
        self.keepalive.expect_data()
        self._send_pace()
        if watch is not Watch.unwatched:
            self._ensure_running()

    def retire(self) -> None:
        """Stop sending calls; ``run`` returns once the connection ends."""
        self.leaving = True
        self.retired = True

    def last_heard(self) -> int | None:
        """
        Return when data last came on a connection in either direction.

        Returns None if there is no connection.
        """
        process = (self.entry.entry_id, self.entry.incarnation)
        connections = (self.connection, self.context.inbound.get(process))
        return max(
            (each.last_received_at for each in connections if each),
            default=None,
        )

    async def open(self) -> bool:
        """Connect if necessary; return whether there is a connection."""
        self.keepalive.use()
        if self.connection is None and not self.attempts.failing:
            self._ensure_running()
            await self.attempts.ended.wait()
        return self.connection is not None

    async def call(self, payload: Payload, timeout: int) -> Payload | NoReply:
        """Send a call and return the reply, waiting up to *timeout* ms."""
        if self.leaving:
            return NOT_CONNECTED
        reply: Payload | NoReply = NOT_CONNECTED
        with self.clock.move_on_after(timeout):
            if await self.open() and self.connection:
                reply = TIMED_OUT
                if not self.calls.by_number:
                    self.keepalive.expect_data()
                reply = await self.calls.exchange(self.connection, payload)
        return reply

    def notify(self, payload: Payload) -> bool:
        """
        Send a notification, as soon as there is a connection.

        Returns False if the peer is known to be down.
        """
        if self.connection:
            self.connection.enqueue(Notification(payload))
        elif self.attempts.failing or self.leaving:
            return False
        else:
            self.outbox.append(payload)
            self._ensure_running()
        self.keepalive.use()
        return True

    async def contact(self, timeout: int) -> bool:
        """Return whether the peer answers a heartbeat within *timeout* ms."""
        with self.clock.move_on_after(timeout):
            if await self.open() and self.connection:
                self.connection.enqueue(Heartbeat(()))
                await self.connection.heartbeat_received.wait()
                return True
        return False

    def pulse(self) -> int:
        """
        Do what is due on the connection; return when to look again.

        Sends a heartbeat, or ends a connection that is lost or not needed.
        """
        connection = self.connection
        if connection is None:
            return self.clock.now() + self.keepalive.intervals.heartbeat
        pulse, at = self.keepalive.next_pulse(
            connection, calling=bool(self.calls.by_number)
        )
        if pulse is Pulse.heartbeat:
            self.keepalive.record_heartbeat()
            connection.enqueue(Heartbeat(()))
        elif pulse in {Pulse.lost, Pulse.idle}:
            connection.abort()
        return at

    def forgive_silence(self) -> None:
        """Count the silence of the peer from now on."""
        self.keepalive.expect_data()

    def _is_needed(self) -> bool:
        in_use = self.keepalive.needed or self.outbox or self.calls.by_number
        return bool(in_use) and not self.retired

    def _ensure_running(self) -> None:
        if not self.attempts.running and not self.retired:
            self.attempts.running = True
            self.attempts.begin()
            self.start(self)

    def _send_pace(self) -> None:
        """Ask the peer for the heartbeats that the watch needs."""
        if self.connection and self.entry.takes_pace:
            self.connection.enqueue(Pace(self.keepalive.pace))

    def _request_heartbeats(self, interval: int) -> None:
        """Ask for heartbeats on the peer's own connection, if it has one."""
        process = (self.entry.entry_id, self.entry.incarnation)
        inbound = self.context.inbound.get(process)
        if inbound and self.entry.takes_pace:
            inbound.enqueue(Pace(interval))

    async def _connect_once(self) -> bool:
        """Open and use one connection; return whether it was established."""
        try:
            with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
                stream = await self.open_stream(self.entry)
        except (OSError, trio.TooSlowError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.attempts.refused = refused
            return False
        await self._run_connection(stream)
        return self.attempts.connected

    def _is_heard(self) -> bool:
        heard_at = self.last_heard()
        if self.attempts.refused or heard_at is None:
            return False
        silent_ms = self.clock.now() - heard_at
        return silent_ms < self.keepalive.intervals.silence

    async def _run_connection(self, stream: Stream) -> None:
        connection = self.context.make_connection(stream)
        try:
            with connection.lifetime:
                async with connection:
                    await self._process_messages(connection)
        except* CONNECTION_ERRORS:
            self.context.log.debug('The connection to a peer has ended.')
        except* ProtocolError as errors:
            for error in errors.exceptions:
                self.context.log.error(
                    'Protocol error on a peer connection.',
                    peer=self.entry.entry_id,
                    problem=str(error),
                )
        finally:
            self._on_connection_lost(connection)

    async def _process_messages(self, connection: Connection) -> None:
        connection.enqueue(self.context.make_hello())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.send_queued)
            with trio.fail_after(connection.silence / MS_PER_SECOND):
                hello = await connection.receive()
            self.context.check_hello(hello, self.entry)
            self._on_connected(connection)
            while True:
                _receive(await connection.receive(), self)

    def _on_connected(self, connection: Connection) -> None:
        self.connection = connection
        self.leaving = self.retired
        self.keepalive.restart()
        self._send_pace()
        self._request_heartbeats(0)
        while self.outbox:
            connection.enqueue(Notification(self.outbox.popleft()))
        self.attempts.succeed()
        self.context.log.note(
            'Connected to a peer.',
            peer=self.entry.entry_id,
            watch=self.keepalive.watch.name,
        )
        self.context.notify_watchers(self.entry.entry_id)

    def _on_connection_lost(self, connection: Connection) -> None:
        if self.connection is None:
            return
        self.connection = None
        is_needed = self._is_needed()
        self.calls.settle_all(CONNECTION_LOST)
        if is_needed:
            self.attempts.lost_connections += 1
            self._request_heartbeats(self.keepalive.intervals.heartbeat)
            self.context.log.note(
                'Lost a peer.',
                peer=self.entry.entry_id,
                silent_ms=connection.silent_for(),
            )
        self.context.notify_watchers(self.entry.entry_id)


@singledispatch
def _receive(message: Message, link: Link) -> None:
    raise unexpected_message(message)


@_receive.register
def _receive_reply(message: Reply, link: Link) -> None:
    if not link.calls.settle(message.number, message.payload):
        late = link.context.host.metrics.late_answers
        late.inc({'from': link.entry.entry_id})


@_receive.register
def _receive_heartbeat(message: Heartbeat, link: Link) -> None:
    for payload in message.updates:
        link.context.dispatch_payload(link.entry.entry_id, payload)
    if link.connection:
        link.connection.mark_heartbeat()


@_receive.register
def _receive_pace(message: Pace, link: Link) -> None:
    link.keepalive.requested = message.interval


@_receive.register
def _receive_leaving(message: Leaving, link: Link) -> None:
    link.leaving = True
    if link.connection:
        link.connection.enqueue(LeavingAck())
    link.context.log.note('A peer is leaving.', peer=link.entry.entry_id)
    link.context.notify_watchers(link.entry.entry_id)
