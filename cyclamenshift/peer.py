"""
cyclamenshift.peer
==================

The base of the streams between entry VMs, and the messages on them.

What a peer asks for, answers or tells is a body: a NamedTuple that its
module enters with ``body``.  Components take bodies by type.
"""

import abc
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Final, NamedTuple, TypeAlias, TypeVar

from .component import Component
from .errors import PluginError

#: The version of the messages; a peer of another version is refused.
PROTOCOL_VERSION = 2

#: A registered NamedTuple.
Payload: TypeAlias = tuple[Any, ...]
PayloadType = TypeVar('PayloadType', bound=Payload)

#: The registered types of body, by their name on the wire.
PAYLOAD_TYPES: Final[dict[str, type[Payload]]] = {}


class Hello(NamedTuple):
    """The first message each way on a connection."""

    version: int
    entry_id: str
    incarnation: str


class Heartbeat(NamedTuple):
    """A sign of life, with the sender's news where it has some."""

    updates: tuple[Payload, ...]


class Call(NamedTuple):
    """A question that wants a ``Reply`` with the same number."""

    number: int
    payload: Payload


class Reply(NamedTuple):
    """The answer to an ``Ask``."""

    number: int
    payload: Payload


class CancelCall(NamedTuple):
    """The sender no longer waits for the reply."""

    number: int


class Notification(NamedTuple):
    """A body that wants no reply."""

    payload: Payload


class Leaving(NamedTuple):
    """The sender stops; it takes no more questions."""


class LeavingAck(NamedTuple):
    """The sender asks nothing more on this connection."""


class NoReply(NamedTuple):
    """
    A question without an answer.

    ``sent`` tells whether the peer may have read it.
    """

    sent: bool
    reason: str


Message: TypeAlias = (
    Hello
    | Heartbeat
    | Call
    | Reply
    | CancelCall
    | Notification
    | Leaving
    | LeavingAck
)

#: Answers a question; the first argument is the id of the peer that asks.
CallHandler: TypeAlias = Callable[[str, Any], Awaitable[Payload]]
#: Takes what a peer tells or has as news.
Listener: TypeAlias = Callable[[str, Any], None]
#: Gives the news for one connection each time it is called.
Reporter: TypeAlias = Callable[[], tuple[Payload, ...]]


def register_payload(shape: type[PayloadType]) -> type[PayloadType]:
    """
    Enter a type of body under the name of its class; a class decorator.

    A name once given stays.  Raises PluginError when it is taken.
    """
    present = PAYLOAD_TYPES.setdefault(shape.__name__, shape)
    if present is not shape:
        raise PluginError(
            f'There is a body called {shape.__name__} already.',
            f'Rename one in {shape.__module__} or {present.__module__}.',
        )
    return shape


class ChangeReporter:
    """A reporter of one body, which it gives when that has changed."""

    def __init__(self, present: Callable[[], Payload]) -> None:
        """Have told nothing yet; *present* returns the body as it is now."""
        self.present = present
        self.reported: Payload | None = None

    def __call__(self) -> tuple[Payload, ...]:
        """Return the body if it has changed."""
        present = self.present()
        if present == self.reported:
            return ()
        self.reported = present
        return (present,)


class Peer(Component):
    """The streams to all other entry VMs."""

    kind = 'peer'
    stage: ClassVar[int] = 4

    @abc.abstractmethod
    def reachable(self) -> set[str]:
        """Return the ids of the peers heard from lately, not leaving."""

    @abc.abstractmethod
    def alive(self) -> set[str]:
        """
        Return the ids of the peers that are connected, or were just lost.

        A peer whose connection is lost counts until it was dialled again
        in vain: a connection can be reset while both ends live.
        """

    @abc.abstractmethod
    async def call(
        self,
        entry_id: str,
        payload: Payload,
        timeout: int,
    ) -> Payload | NoReply:
        """
        Return a peer's answer to *question*, waiting *timeout* ms.

        This entry VM itself may be asked too.
        """

    @abc.abstractmethod
    def notify(self, entry_id: str, payload: Payload) -> bool:
        """Send *told*, to itself too; return whether that was possible."""

    @abc.abstractmethod
    def add_call_handler(
        self,
        shape: type[Payload],
        call_handler: CallHandler,
    ) -> None:
        """Let *answerer* answer the questions of type *shape*."""

    @abc.abstractmethod
    def add_listener(self, shape: type[Payload], listener: Listener) -> None:
        """Give *listener* what is told and the news of type *shape*."""

    @abc.abstractmethod
    def add_reporter(self, factory: Callable[[], Reporter]) -> None:
        """Let a reporter that *factory* makes give each connection's news."""

    @abc.abstractmethod
    def add_watcher(self, watcher: Callable[[str], None]) -> None:
        """Call *watcher* with the id of a peer that comes, leaves or goes."""

    @abc.abstractmethod
    def flush_updates(self) -> None:
        """Send the news now, and not with the next heartbeat."""
