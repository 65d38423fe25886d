"""
cyclamenshift.forwarding
========================

The bodies with which entry VMs forward requests to the owners of workers.
"""

from functools import singledispatch
from typing import NamedTuple, TypeAlias, cast

from .model import Done, NotRun, Outcome, Reason, Request, Unknown
from .peer import NoReply, Payload, Peer, register_payload

#: How much longer than the deadline an answer may take on its way, ms.
ANSWER_ALLOWANCE_MS = 100
PEER_LOST = Unknown(
    Reason.peer_lost,
    'Ask for the outcome by its idempotency key before trying again.',
)
OWNER_LEFT = NotRun(Reason.peer_lost, 'Try again; an owner has left.')


@register_payload
class Forward(NamedTuple):
    """A request for the receiver's workers; ``remaining`` is in ms."""

    request_id: str
    service: str
    kind: str
    body: bytes
    content_type: str
    remaining: int
    repeatable: bool
    key: str


@register_payload
class AnswerDone(NamedTuple):
    """The whole answer of the endpoint."""

    status: int
    content_type: str
    body: bytes


@register_payload
class AnswerNotRun(NamedTuple):
    """The forwarded request did not run and will not."""

    reason: Reason
    remedy: str
    retry_after: int


@register_payload
class AnswerUnknown(NamedTuple):
    """The forwarded request may have run."""

    reason: Reason
    remedy: str


Answer: TypeAlias = AnswerDone | AnswerNotRun | AnswerUnknown


async def forward_to_owner(
    peer: Peer,
    entry_id: str,
    request: Request,
    remaining: int,
) -> Outcome:
    """Let a worker of *entry_id* run *request* within *remaining* ms."""
    if not remaining:
        return OWNER_LEFT
    timeout = remaining + ANSWER_ALLOWANCE_MS
    reply = await peer.call(entry_id, _forward(request, remaining), timeout)
    if isinstance(reply, NoReply):
        return PEER_LOST if reply.sent else OWNER_LEFT
    return decode_outcome(cast(Answer, reply))


def decode_request(forwarded: Forward, now: int) -> Request:
    """Return the request that came in at *now*."""
    return Request(
        request_id=forwarded.request_id,
        service=forwarded.service,
        kind=forwarded.kind,
        body=forwarded.body,
        content_type=forwarded.content_type,
        deadline=now + forwarded.remaining,
        repeatable=forwarded.repeatable,
        key=forwarded.key,
    )


@singledispatch
def encode_outcome(outcome: Outcome) -> Payload:
    """Return the body that carries *outcome*."""
    raise NotImplementedError(type(outcome).__qualname__)


@encode_outcome.register
def _done(outcome: Done) -> Payload:
    return AnswerDone(*outcome)


@encode_outcome.register
def _not_run(outcome: NotRun) -> Payload:
    return AnswerNotRun(*outcome)


@encode_outcome.register
def _unknown(outcome: Unknown) -> Payload:
    return AnswerUnknown(*outcome)


@singledispatch
def decode_outcome(told: Answer) -> Outcome:
    """Return the outcome that *told* carries."""
    raise NotImplementedError(type(told).__qualname__)


@decode_outcome.register
def _from_done(told: AnswerDone) -> Outcome:
    return Done(*told)


@decode_outcome.register
def _from_not_run(told: AnswerNotRun) -> Outcome:
    return NotRun(*told)


@decode_outcome.register
def _from_unknown(told: AnswerUnknown) -> Outcome:
    return Unknown(*told)


def _forward(request: Request, remaining: int) -> Forward:
    return Forward(
        request_id=request.request_id,
        service=request.service,
        kind=request.kind,
        body=request.body,
        content_type=request.content_type,
        remaining=remaining,
        repeatable=request.repeatable,
        key=request.key,
    )
