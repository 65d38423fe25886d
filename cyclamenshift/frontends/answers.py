"""
cyclamenshift.frontends.answers
===============================

The HTTP encoding of outcomes and of problems.
"""

from functools import singledispatch
from http import HTTPStatus
from typing import Final

import msgspec
from quart import Response

from ..clock import MS_PER_SECOND
from ..frontend import PROBLEM_TYPE
from ..model import Done, NotRun, Outcome, Reason, Unknown

#: The header that names the outcome.
OUTCOME: Final = 'Outcome'
#: The header that carries the request id.
REQUEST_ID: Final = 'Request-Id'

#: The status of a refusal by its reason; any other is 503.
STATUSES: Final = {
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.key_missing: HTTPStatus.BAD_REQUEST,
    Reason.no_such_service: HTTPStatus.NOT_FOUND,
    Reason.key_reused: HTTPStatus.CONFLICT,
    Reason.too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.over_limit: HTTPStatus.TOO_MANY_REQUESTS,
}


#: Reasons for an answer before the whole body was read; what follows on the
#: connection can't be told from the rest of that body.
UNREAD: Final = frozenset(
    (
        Reason.bad_request,
        Reason.no_such_service,
        Reason.too_large,
    )
)


def answer(outcome: Outcome, request_id: str) -> Response:
    """Return the HTTP answer that carries *outcome*."""
    response = respond(outcome)
    response.headers[REQUEST_ID] = request_id
    return response


@singledispatch
def respond(outcome: Outcome) -> Response:
    """Return the status, headers and body of *outcome*."""
    raise NotImplementedError(type(outcome).__qualname__)


@respond.register
def _done(outcome: Done) -> Response:
    return Response(
        outcome.body,
        status=outcome.status,
        headers={
            OUTCOME: 'done',
            'Content-Type': outcome.content_type or 'application/octet-stream',
        },
    )


@respond.register
def _not_run(outcome: NotRun) -> Response:
    status = STATUSES.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    response = problem(status, outcome.reason, outcome.remedy)
    response.headers[OUTCOME] = 'not-run'
    if outcome.reason in UNREAD:
        response.headers['Connection'] = 'close'
    if outcome.retry_after:
        seconds = -(-outcome.retry_after // MS_PER_SECOND)
        response.headers['Retry-After'] = str(seconds)
    return response


@respond.register
def _unknown(outcome: Unknown) -> Response:
    response = problem(
        HTTPStatus.GATEWAY_TIMEOUT,
        outcome.reason,
        outcome.remedy,
    )
    response.headers[OUTCOME] = 'unknown'
    return response


def problem(status: HTTPStatus, reason: str, remedy: str) -> Response:
    """Return an answer that states a problem and its remedy."""
    body = {
        'type': f'about:blank#{reason}',
        'title': status.phrase,
        'status': status.value,
        'reason': reason,
        'remedy': remedy,
    }
    return Response(
        msgspec.json.encode(body),
        status=status,
        content_type=PROBLEM_TYPE,
    )
