"""
cyclamenshift.peer
==================

The base of the streams between entry VMs, and their messages.
"""

import abc
from typing import ClassVar, NamedTuple, TypeAlias

from .component import Component
from .model import Load, Outcome, Reason, Request

#: The version of the messages; a peer of another version is refused.
PROTOCOL_VERSION = 1


class Greeting(NamedTuple):
    """The first message each way on a connection."""

    version: int
    entry_id: str
    incarnation: str


class Heartbeat(NamedTuple):
    """
    A sign of life, with what the sender knows and offers.

    ``number`` is the configuration in force and ``changes`` the version
    of the last change of a VM; a peer that is behind refreshes at once.
    ``loads`` are those that changed since the last one on this connection.
    """

    number: int
    changes: int
    loads: tuple[Load, ...]


class Forward(NamedTuple):
    """A request for the receiver's workers; ``remaining`` is in ms."""

    request_id: str
    service: str
    work: str
    body: bytes
    content_type: str
    remaining: int
    repeatable: bool
    key: str


class AnswerDone(NamedTuple):
    """The whole answer of the endpoint."""

    request_id: str
    status: int
    content_type: str
    body: bytes


class AnswerNotRun(NamedTuple):
    """The forwarded request did not run and will not."""

    request_id: str
    reason: Reason
    remedy: str
    retry_after: int


class AnswerUnknown(NamedTuple):
    """The forwarded request may have run."""

    request_id: str
    reason: Reason
    remedy: str


class Withdraw(NamedTuple):
    """The sender no longer waits for the answer."""

    request_id: str


class Leaving(NamedTuple):
    """The sender stops; it takes no more forwards."""


class LeavingSeen(NamedTuple):
    """The sender forwards nothing more on this connection."""


Answer: TypeAlias = AnswerDone | AnswerNotRun | AnswerUnknown
Message: TypeAlias = (
    Greeting | Heartbeat | Forward | Answer | Withdraw | Leaving | LeavingSeen
)


class Peer(Component):
    """The streams to all other entry VMs."""

    kind = 'peer'
    stage: ClassVar[int] = 4

    @abc.abstractmethod
    def reachable(self) -> set[str]:
        """Return the ids of the peers heard from lately, not leaving."""

    @abc.abstractmethod
    def loads(self, pool: str) -> dict[str, Load]:
        """Return what the reachable peers' workers of *pool* offer."""

    @abc.abstractmethod
    def tell_loads(self) -> None:
        """Send the loads now, because the owned workers changed."""

    @abc.abstractmethod
    async def forward(self, entry_id: str, request: Request) -> Outcome:
        """Let a peer's worker run *request*; return the exact outcome."""
