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
Body: TypeAlias = tuple[Any, ...]
BodyType = TypeVar('BodyType', bound=Body)

#: The registered types of body, by their name on the wire.
BODIES: Final[dict[str, type[Body]]] = {}


class Greeting(NamedTuple):
    """The first message each way on a connection."""

    version: int
    entry_id: str
    incarnation: str


class Heartbeat(NamedTuple):
    """A sign of life, with the sender's news where it has some."""

    news: tuple[Body, ...]


class Ask(NamedTuple):
    """A question that wants a ``Reply`` with the same number."""

    number: int
    body: Body


class Reply(NamedTuple):
    """The answer to an ``Ask``."""

    number: int
    body: Body


class Withdraw(NamedTuple):
    """The sender no longer waits for the reply."""

    number: int


class Tell(NamedTuple):
    """A body that wants no reply."""

    body: Body


class Leaving(NamedTuple):
    """The sender stops; it takes no more questions."""


class LeavingSeen(NamedTuple):
    """The sender asks nothing more on this connection."""


class NoReply(NamedTuple):
    """
    A question without an answer.

    ``sent`` tells whether the peer may have read it.
    """

    sent: bool
    reason: str


Message: TypeAlias = (
    Greeting | Heartbeat | Ask | Reply | Withdraw | Tell | Leaving | LeavingSeen
)

#: Answers a question; the first argument is the id of the peer that asks.
Answerer: TypeAlias = Callable[[str, Any], Awaitable[Body]]
#: Takes what a peer tells or has as news.
Listener: TypeAlias = Callable[[str, Any], None]
#: Gives the news for one connection each time it is called.
Reporter: TypeAlias = Callable[[], tuple[Body, ...]]


def body(shape: type[BodyType]) -> type[BodyType]:
    """
    Enter a type of body under the name of its class; a class decorator.

    A name once given stays.  Raises PluginError when it is taken.
    """
    present = BODIES.setdefault(shape.__name__, shape)
    if present is not shape:
        raise PluginError(
            f'There is a body called {shape.__name__} already.',
            f'Rename one in {shape.__module__} or {present.__module__}.',
        )
    return shape


class ChangedBody:
    """A reporter of one body, which it gives when that has changed."""

    def __init__(self, present: Callable[[], Body]) -> None:
        """Have told nothing yet; *present* returns the body as it is now."""
        self.present = present
        self.told: Body | None = None

    def __call__(self) -> tuple[Body, ...]:
        """Return the body if it has changed."""
        present = self.present()
        if present == self.told:
            return ()
        self.told = present
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
    async def ask(
        self,
        entry_id: str,
        question: Body,
        timeout: int,
    ) -> Body | NoReply:
        """
        Return a peer's answer to *question*, waiting *timeout* ms.

        This entry VM itself may be asked too.
        """

    @abc.abstractmethod
    def tell(self, entry_id: str, told: Body) -> bool:
        """Send *told*, to itself too; return whether that was possible."""

    @abc.abstractmethod
    def answer(self, shape: type[Body], answerer: Answerer) -> None:
        """Let *answerer* answer the questions of type *shape*."""

    @abc.abstractmethod
    def listen_to(self, shape: type[Body], listener: Listener) -> None:
        """Give *listener* what is told and the news of type *shape*."""

    @abc.abstractmethod
    def report(self, factory: Callable[[], Reporter]) -> None:
        """Let a reporter that *factory* makes give each connection's news."""

    @abc.abstractmethod
    def follow(self, watcher: Callable[[str], None]) -> None:
        """Call *watcher* with the id of a peer that comes, leaves or goes."""

    @abc.abstractmethod
    def hurry(self) -> None:
        """Send the news now, and not with the next heartbeat."""
