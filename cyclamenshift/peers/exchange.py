"""
cyclamenshift.peers.exchange
============================

What the connections of one process share: the handlers of each payload.
"""

from collections.abc import Callable

from trio.abc import Stream

from ..clock import Clock
from ..component import Host
from ..errors import ProtocolError
from ..logs import StructuredLogger
from ..model import EntryVm
from ..peer import (
    PROTOCOL_VERSION,
    CallHandler,
    Hello,
    Listener,
    Message,
    Payload,
    Reporter,
)
from .connection import Connection, Meter, out_of_turn


class Exchange:
    """The call handlers, listeners and reporters of one process."""

    def __init__(self, host: Host, own: EntryVm, log: StructuredLogger) -> None:
        """Identify as *own* to peers; start without any handler."""
        self.host = host
        self.own = own
        self.log = log
        self.clock: Clock = host.clock
        self.settings = host.settings['peers']
        self.meter = Meter()
        self.call_handlers: dict[type[Payload], CallHandler] = {}
        self.listeners: dict[type[Payload], list[Listener]] = {}
        self.reporters: list[Callable[[], Reporter]] = []
        self.watchers: list[Callable[[str], None]] = []

    def connect(self, stream: Stream) -> Connection:
        """Return the connection over *stream*."""
        return Connection(stream, self.clock, self.settings, self.meter)

    def greeting(self) -> Hello:
        """Return the first message on each connection."""
        own = self.own
        return Hello(PROTOCOL_VERSION, own.entry_id, own.incarnation)

    def check_greeting(
        self,
        message: Message,
        expected: EntryVm | None,
    ) -> Hello:
        """Return the greeting; ProtocolError unless it is as *expected*."""
        if not isinstance(message, Hello):
            raise ProtocolError('A peer did not greet.', 'Check peers.port.')
        if message.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f'A peer speaks version {message.version}.',
                f'Upgrade both entry VMs to version {PROTOCOL_VERSION}.',
            )
        if expected and message.incarnation != expected.incarnation:
            raise ProtocolError(
                f'{expected.entry_id} is another process now.',
                'Nothing to do; its new registration is read soon.',
            )
        return message

    def call_handler(self, payload: Payload) -> CallHandler:
        """Return the handler for *payload*; ProtocolError if there is none."""
        try:
            return self.call_handlers[type(payload)]
        except KeyError:
            raise out_of_turn(payload) from None

    def take(self, entry_id: str, payload: Payload) -> None:
        """Pass *payload* to its listeners; drop it if there are none."""
        for listener in self.listeners.get(type(payload), ()):
            listener(entry_id, payload)

    def notice(self, entry_id: str) -> None:
        """Tell the watchers that the standing of a peer has changed."""
        for watcher in self.watchers:
            watcher(entry_id)
