"""
cyclamenshift.platform.responses
================================

The HTTP responses to the platform's clients.
"""

from functools import singledispatch
from http import HTTPStatus
from typing import Any, Final

import msgspec
from quart import Response

from ..clock import MS_PER_SECOND
from ..controls.job_access import (
    Different,
    MaybeStored,
    NoSuchJob,
    NotStored,
    Stored,
    Unstorable,
)
from ..job import JobState
from ..store import Unavailable

#: Default delay after which a refused caller should retry, ms.
RETRY_AFTER_MS: Final = 1_000


@singledispatch
def respond(result: object) -> Response:
    """Return the response that reports *result*."""
    raise NotImplementedError(type(result).__qualname__)


@respond.register
def _stored(result: Stored) -> Response:
    return empty_response(HTTPStatus.OK)


@respond.register
def _different(result: Different) -> Response:
    return empty_response(HTTPStatus.CONFLICT)


@respond.register
def _not_stored(result: NotStored) -> Response:
    return service_unavailable(result.reason, result.retry_after)


@respond.register
def _unstorable(result: Unstorable) -> Response:
    return bad_request(f'steps: {result.reason}')


@respond.register
def _maybe_stored(result: MaybeStored) -> Response:
    return empty_response(HTTPStatus.GATEWAY_TIMEOUT)


@respond.register
def _no_such_job(result: NoSuchJob) -> Response:
    return empty_response(HTTPStatus.GONE)


@respond.register
def _unavailable(result: Unavailable) -> Response:
    return service_unavailable(result.reason)


@respond.register
def _state(result: JobState) -> Response:
    return _json_response({'state': str(result)})


@respond.register
def _count(result: int) -> Response:
    return _json_response({'waiting': result})


def service_unavailable(
    reason: str, retry_after: int = RETRY_AFTER_MS
) -> Response:
    """Return the response to a request that had no effect."""
    response = _json_response({'error': reason}, HTTPStatus.SERVICE_UNAVAILABLE)
    response.headers['Retry-After'] = str(-(-retry_after // MS_PER_SECOND))
    return response


def respond_to_cancel(result: Stored | NoSuchJob | Unavailable) -> Response:
    """
    Return the response to a cancellation.

    One that could not be stored in time gets 504 rather than 503, because
    the store may have taken it all the same.
    """
    if isinstance(result, Unavailable):
        return empty_response(HTTPStatus.GATEWAY_TIMEOUT)
    return respond(result)


def unauthorized() -> Response:
    """Return the response to a request without a valid access key."""
    return _json_response(
        {'error': 'the access key is missing or not valid'},
        HTTPStatus.UNAUTHORIZED,
    )


def bad_request(reason: str) -> Response:
    """Return the response to an invalid request."""
    return _json_response({'error': reason}, HTTPStatus.BAD_REQUEST)


def empty_response(status: HTTPStatus) -> Response:
    """Return a response without a body."""
    return Response('', status=status)


def _json_response(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )
