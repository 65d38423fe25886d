"""
cyclamenshift.peer
==================

The base class of the streams between entry VMs, and their messages.

Calls, replies, notifications and heartbeats carry payloads: NamedTuples
that their modules register with ``register_payload``.  Components add a
handler or a listener for each type of payload that they receive.
"""

import abc
from collections.abc import Awaitable, Callable
from typing import (
    Annotated,
    Any,
    ClassVar,
    Final,
    NamedTuple,
    TypeAlias,
    TypeVar,
)

from msgspec import Meta

from .component import Component
from .errors import PluginError

#: The protocol version; peers of other versions are rejected.
PROTOCOL_VERSION = 2

#: An instance of a registered NamedTuple.
Payload: TypeAlias = tuple[Any, ...]
PayloadType = TypeVar('PayloadType', bound=Payload)

#: The registered types of payload by their name on the wire.
PAYLOAD_TYPES: Final[dict[str, type[Payload]]] = {}


class Hello(NamedTuple):
    """The first message in each direction of a connection."""

    version: int
    entry_id: str
    incarnation: str


class Heartbeat(NamedTuple):
    """A keep-alive message; it also carries the sender's status updates."""

    updates: tuple[Payload, ...]


class HeartbeatRequest(NamedTuple):
    """
    Requests a heartbeat now, and then one each *factor* intervals.

    The interval is ``peers.heartbeat``.  Only peers that have registered with
    ``adjusts_heartbeats`` know this message.
    """

    factor: Annotated[int, Meta(ge=1)]


class Call(NamedTuple):
    """A call, which is answered by a ``Reply`` with the same number."""

    number: int
    payload: Payload


class Reply(NamedTuple):
    """The reply to a ``Call``."""

    number: int
    payload: Payload


class CancelCall(NamedTuple):
    """Cancels a call: the sender no longer waits for the reply."""

    number: int


class Notification(NamedTuple):
    """A one-way message, which is not answered."""

    payload: Payload


class Leaving(NamedTuple):
    """The sender is stopping and accepts no more calls."""


class LeavingAck(NamedTuple):
    """Acknowledges ``Leaving``: no more calls follow on this connection."""


class NoReply(NamedTuple):
    """
    A call failed without a reply.

    ``sent`` tells whether the peer may have received the call.
    """

    sent: bool
    reason: str


Message: TypeAlias = (
    Hello
    | Heartbeat
    | HeartbeatRequest
    | Call
    | Reply
    | CancelCall
    | Notification
    | Leaving
    | LeavingAck
)

#: Answers a call; the first argument is the id of the calling peer.
CallHandler: TypeAlias = Callable[[str, Any], Awaitable[Payload]]
#: Receives a notification or a status update, with the id of its sender.
Listener: TypeAlias = Callable[[str, Any], None]
#: Returns the status updates that are due on one connection.
Reporter: TypeAlias = Callable[[], tuple[Payload, ...]]


def register_payload(payload_type: type[PayloadType]) -> type[PayloadType]:
    """
    Register a type of payload under its class name; a class decorator.

    The class name is the name on the wire, so it must not change.  Raises
    PluginError if another type has this name.
    """
    existing = PAYLOAD_TYPES.setdefault(payload_type.__name__, payload_type)
    if existing is not payload_type:
        raise PluginError(
            f'A payload type {payload_type.__name__} is already registered.',
            f'Rename one in {payload_type.__module__} '
            f'or {existing.__module__}.',
        )
    return payload_type


class ChangeReporter:
    """A reporter of one payload, which returns it whenever it has changed."""

    def __init__(self, get_payload: Callable[[], Payload]) -> None:
        """Report nothing yet; *get_payload* returns the current payload."""
        self.get_payload = get_payload
        self.reported: Payload | None = None

    def __call__(self) -> tuple[Payload, ...]:
        """Return the payload if it has changed since the last call."""
        payload = self.get_payload()
        if payload == self.reported:
            return ()
        self.reported = payload
        return (payload,)


class Peer(Component):
    """Exchanges messages with all other entry VMs."""

    kind = 'peer'
    stage: ClassVar[int] = 4

    @abc.abstractmethod
    def reachable(self) -> set[str]:
        """Return the ids of the connected peers that accept calls."""

    @abc.abstractmethod
    def alive(self) -> set[str]:
        """
        Return the ids of the peers not known to be down or leaving.

        A peer that has lost its connection counts as alive until
        reconnecting fails, since a connection can be reset while both
        processes are running.
        """

    @abc.abstractmethod
    def responding(self) -> set[str]:
        """
        Return the ids of the peers whose hosts can be reached.

        These are the connected peers, also leaving ones, and those that
        refused the last connection, since their process has ended.
        """

    @abc.abstractmethod
    def last_heard(self, entry_id: str) -> int | None:
        """
        Return when data last came from a peer, monotonic ms.

        Returns None if there is no connection, in either direction.
        """

    @abc.abstractmethod
    async def call(
        self,
        entry_id: str,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """
        Call a peer, or this entry VM itself, and return the reply.

        Waits for the reply up to *timeout* ms.
        """

    @abc.abstractmethod
    def notify(self, entry_id: str, payload: Payload) -> bool:
        """
        Send a notification to a peer, or to this entry VM itself.

        Returns whether there was a connection to send it on.
        """

    @abc.abstractmethod
    def add_call_handler(
        self,
        payload_type: type[Payload],
        call_handler: CallHandler,
    ) -> None:
        """Let *call_handler* answer calls with payloads of *payload_type*."""

    @abc.abstractmethod
    def add_listener(
        self, payload_type: type[Payload], listener: Listener
    ) -> None:
        """Pass notifications and updates of *payload_type* to *listener*."""

    @abc.abstractmethod
    def add_reporter(self, factory: Callable[[], Reporter]) -> None:
        """Add the updates of a reporter, made for each connection."""

    @abc.abstractmethod
    def add_watcher(self, watcher: Callable[[str], None]) -> None:
        """Call *watcher* with the id of a peer that connects or goes away."""

    @abc.abstractmethod
    def change_rate(self, entry_id: str, *, full: bool) -> None:
        """
        Set whether the loss of a peer must be found soon.

        At first that is so for each peer.  The heartbeats of others are far
        apart while nothing indicates a disturbance.
        """

    @abc.abstractmethod
    def flush_updates(self) -> None:
        """Send the status updates now instead of at the next heartbeat."""
