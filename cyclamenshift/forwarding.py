"""
cyclamenshift.forwarding
========================

Forwards requests between entry VMs, to the owners of the workers.
"""

from functools import singledispatch
from typing import NamedTuple, TypeAlias, cast

from .model import Done, NotRun, Outcome, Reason, Request, Unknown
from .peer import NoReply, Payload, Peer, register_payload

#: How long past its deadline the reply to a forwarded request may arrive, ms.
REPLY_ALLOWANCE_MS = 100
PEER_LOST = Unknown(
    Reason.peer_lost,
    'Ask for the outcome by its idempotency key before trying again.',
)
OWNER_LEFT = NotRun(Reason.peer_lost, 'Try again; an owner has left.')


@register_payload
class Forward(NamedTuple):
    """
    A request to be run by a worker of the called entry VM.

    ``remaining`` is the time until its deadline, ms: a deadline is on the
    monotonic clock of one process, so it has no meaning in another.
    """

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
    """The complete response of the endpoint."""

    status: int
    content_type: str
    body: bytes


@register_payload
class AnswerNotRun(NamedTuple):
    """The forwarded request has not run and will not run."""

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
    """Forward *request* to *entry_id*; return its outcome within the time."""
    if not remaining:
        return OWNER_LEFT
    timeout = remaining + REPLY_ALLOWANCE_MS
    reply = await peer.call(
        entry_id,
        _encode_request(request, remaining),
        timeout,
    )
    if isinstance(reply, NoReply):
        return PEER_LOST if reply.sent else OWNER_LEFT
    return decode_outcome(cast(Answer, reply))


def decode_request(forwarded: Forward, now: int) -> Request:
    """Return the forwarded request, which was received at *now*."""
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
    """Return the payload that represents *outcome*."""
    raise NotImplementedError(type(outcome).__qualname__)


@encode_outcome.register
def _encode_done(outcome: Done) -> Payload:
    return AnswerDone(*outcome)


@encode_outcome.register
def _encode_not_run(outcome: NotRun) -> Payload:
    return AnswerNotRun(*outcome)


@encode_outcome.register
def _encode_unknown(outcome: Unknown) -> Payload:
    return AnswerUnknown(*outcome)


@singledispatch
def decode_outcome(answer: Answer) -> Outcome:
    """Return the outcome that *answer* represents."""
    raise NotImplementedError(type(answer).__qualname__)


@decode_outcome.register
def _decode_done(answer: AnswerDone) -> Outcome:
    return Done(*answer)


@decode_outcome.register
def _decode_not_run(answer: AnswerNotRun) -> Outcome:
    return NotRun(*answer)


@decode_outcome.register
def _decode_unknown(answer: AnswerUnknown) -> Outcome:
    return Unknown(*answer)


def _encode_request(request: Request, remaining: int) -> Forward:
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
