"""
cyclamenshift.peers.context
===========================

The state that all peer connections of one process share.
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
from .connection import Connection, unexpected_message
from .rates import HeartbeatRates, Process


class PeerContext:
    """The identity, settings and message handlers of one process."""

    def __init__(self, host: Host, own: EntryVm, log: StructuredLogger) -> None:
        """Identify as *own* to peers; start without any handlers."""
        self.host = host
        self.own = own
        self.log = log
        self.clock: Clock = host.clock
        self.settings = host.settings['peers']
        self.call_handlers: dict[type[Payload], CallHandler] = {}
        self.listeners: dict[type[Payload], list[Listener]] = {}
        self.reporters: list[Callable[[], Reporter]] = []
        self.watchers: list[Callable[[str], None]] = []
        #: The latest connection from each process, by entry VM id and
        #: incarnation.
        self.inbound: dict[Process, Connection] = {}
        self.rates = HeartbeatRates(self.inbound)

    def make_connection(self, stream: Stream) -> Connection:
        """Return a connection over *stream*."""
        load = self.host.metrics.load
        return Connection(stream, self.clock, self.settings, load)

    def make_hello(self) -> Hello:
        """Return the first message to send on each connection."""
        own = self.own
        return Hello(PROTOCOL_VERSION, own.entry_id, own.incarnation)

    def check_hello(
        self,
        message: Message,
        expected: EntryVm | None,
    ) -> Hello:
        """
        Return *message* if it is a valid ``Hello``.

        Raises ProtocolError if it is not, or if it is not from *expected*.
        """
        if not isinstance(message, Hello):
            raise ProtocolError(
                'The first message of a peer is not Hello.',
                'Check peers.port.',
            )
        if message.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f'A peer uses protocol version {message.version}.',
                f'Upgrade both entry VMs to version {PROTOCOL_VERSION}.',
            )
        if expected and message.incarnation != expected.incarnation:
            raise ProtocolError(
                f'{expected.entry_id} was replaced by another process.',
                'No action needed; its new registration is read soon.',
            )
        return message

    def remove_inbound(
        self,
        process: Process,
        connection: Connection,
    ) -> None:
        """Remove *connection*, unless *process* has opened a newer one."""
        if self.inbound.get(process) is connection:
            self.inbound.pop(process)

    def get_call_handler(self, payload: Payload) -> CallHandler:
        """Return the handler of *payload*; raises ProtocolError if none."""
        try:
            return self.call_handlers[type(payload)]
        except KeyError:
            raise unexpected_message(payload) from None

    def dispatch_payload(self, entry_id: str, payload: Payload) -> None:
        """Pass *payload* to its listeners; ignore it if there are none."""
        for listener in self.listeners.get(type(payload), ()):
            listener(entry_id, payload)

    def notify_watchers(self, entry_id: str) -> None:
        """Notify the watchers that the state of a peer has changed."""
        for watcher in self.watchers:
            watcher(entry_id)
