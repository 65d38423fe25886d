"""
cyclamenshift.decisions.claims
==============================

Interprets the claim row of an idempotency key for a further request.
"""

import base64
from functools import singledispatch
from typing import NamedTuple, TypeAlias

import xxhash

from ..model import Done, NotRun, Outcome, Reason, Request, Unknown
from ..rows import ClaimRow

ASK_AGAIN = 'Ask for the outcome with the same idempotency key later.'


class HeldBySelf(NamedTuple):
    """This attempt holds the claim and is the only one to run the request."""


class Resolved(NamedTuple):
    """The outcome of the request is known."""

    outcome: Outcome


class Released(NamedTuple):
    """The earlier attempt certainly did not run; the claim can be retaken."""


class HeldByOther(NamedTuple):
    """Another attempt holds the claim and has not finished."""


ClaimStatus: TypeAlias = HeldBySelf | Resolved | Released | HeldByOther


def digest_of(request: Request) -> str:
    """Return a digest that detects another request under the same key."""
    header = f'{request.service}\n{request.kind}\n{request.content_type}\n'
    return xxhash.xxh128_hexdigest(header.encode() + request.body)


def new_claim(request: Request, attempt: str, expires: int) -> ClaimRow:
    """Return the claim row with which *attempt* takes the claim."""
    return ClaimRow(
        attempt=attempt,
        request_id=request.request_id,
        digest=digest_of(request),
        state='claimed',
        status=0,
        content_type='',
        body='',
        expires=expires,
    )


def claim_status(row: ClaimRow, digest: str, attempt: str) -> ClaimStatus:
    """Return the status of the claim in *row* for *attempt*."""
    if row['digest'] != digest:
        return Resolved(
            NotRun(
                Reason.key_reused,
                'Use a new idempotency key; this one names other work.',
            ),
        )
    if row['state'] == 'not-run':
        return Released()
    if row['state'] == 'claimed':
        return HeldBySelf() if row['attempt'] == attempt else HeldByOther()
    return Resolved(recorded_outcome(row))


def recorded_outcome(row: ClaimRow) -> Outcome:
    """Return the outcome that is recorded in *row*."""
    if row['state'] == 'done':
        body = base64.b64decode(row['body'])
        return Done(row['status'], row['content_type'], body)
    if row['state'] == 'not-run':
        return NotRun(Reason.refused, 'Send it again; it did not run.')
    if row['state'] == 'claimed':
        return Unknown(Reason.in_progress, ASK_AGAIN)
    return Unknown(Reason.answer_lost, 'Compare with the service itself.')


@singledispatch
def record_outcome(outcome: Outcome, claim: ClaimRow) -> ClaimRow:
    """Return *claim* with *outcome* recorded."""
    raise NotImplementedError(type(outcome).__qualname__)


@record_outcome.register
def _done(outcome: Done, claim: ClaimRow) -> ClaimRow:
    return ClaimRow(
        attempt=claim['attempt'],
        request_id=claim['request_id'],
        digest=claim['digest'],
        state='done',
        status=outcome.status,
        content_type=outcome.content_type,
        body=base64.b64encode(outcome.body).decode(),
        expires=claim['expires'],
    )


@record_outcome.register
def _not_run(outcome: NotRun, claim: ClaimRow) -> ClaimRow:
    return {**claim, 'state': 'not-run'}


@record_outcome.register
def _unknown(outcome: Unknown, claim: ClaimRow) -> ClaimRow:
    return {**claim, 'state': 'unknown'}
