"""
cyclamenshift.frontends.responses
=================================

Encodes outcomes and errors as HTTP responses.
"""

from functools import singledispatch
from http import HTTPStatus
from typing import Final

import msgspec
from quart import Response

from ..clock import MS_PER_SECOND
from ..frontend import PROBLEM_TYPE
from ..model import Done, NotRun, Outcome, Reason, Unknown

#: The response header with the kind of outcome.
OUTCOME_HEADER: Final = 'Outcome'
#: The response header with the request id.
REQUEST_ID_HEADER: Final = 'Request-Id'

#: The HTTP status of a not-run outcome by its reason; 503 if not listed.
STATUS_BY_REASON: Final = {
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.key_missing: HTTPStatus.BAD_REQUEST,
    Reason.no_such_service: HTTPStatus.NOT_FOUND,
    Reason.key_reused: HTTPStatus.CONFLICT,
    Reason.too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.over_limit: HTTPStatus.TOO_MANY_REQUESTS,
}

#: Reasons for which a request may be refused before its whole body was read.
#: The connection is closed then, because the rest of the body can't be told
#: from the next request.
CLOSING_REASONS: Final = frozenset(
    (
        Reason.bad_request,
        Reason.no_such_service,
        Reason.too_large,
    )
)


def build_response(outcome: Outcome, request_id: str) -> Response:
    """Return the response to the request with the id *request_id*."""
    response = encode_outcome(outcome)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


@singledispatch
def encode_outcome(outcome: Outcome) -> Response:
    """Return the HTTP response that represents *outcome*."""
    raise NotImplementedError(type(outcome).__qualname__)


@encode_outcome.register
def _encode_done(outcome: Done) -> Response:
    return Response(
        outcome.body,
        status=outcome.status,
        headers={
            OUTCOME_HEADER: 'done',
            'Content-Type': outcome.content_type or 'application/octet-stream',
        },
    )


@encode_outcome.register
def _encode_not_run(outcome: NotRun) -> Response:
    status = STATUS_BY_REASON.get(
        outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE
    )
    response = problem_response(status, outcome.reason, outcome.remedy)
    response.headers[OUTCOME_HEADER] = 'not-run'
    if outcome.reason in CLOSING_REASONS:
        response.headers['Connection'] = 'close'
    if outcome.retry_after:
        seconds = -(-outcome.retry_after // MS_PER_SECOND)
        response.headers['Retry-After'] = str(seconds)
    return response


@encode_outcome.register
def _encode_unknown(outcome: Unknown) -> Response:
    response = problem_response(
        HTTPStatus.GATEWAY_TIMEOUT,
        outcome.reason,
        outcome.remedy,
    )
    response.headers[OUTCOME_HEADER] = 'unknown'
    return response


def problem_response(
    status: HTTPStatus,
    reason: str,
    remedy: str,
) -> Response:
    """Return an error response with problem details (RFC 9457)."""
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
