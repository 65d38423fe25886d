"""
cyclamenshift.platform.answers
==============================

What the platform's clients are answered.
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
)
from ..job import JobState
from ..store import Unavailable

#: When a caller that was refused should come back, ms.
RETRY_AFTER_MS: Final = 1_000


@singledispatch
def respond(result: object) -> Response:
    """Return the answer that carries *result*."""
    raise NotImplementedError(type(result).__qualname__)


@respond.register
def _stored(result: Stored) -> Response:
    return plain(HTTPStatus.OK)


@respond.register
def _different(result: Different) -> Response:
    return plain(HTTPStatus.CONFLICT)


@respond.register
def _not_stored(result: NotStored) -> Response:
    return refusal(result.reason, result.retry_after)


@respond.register
def _maybe_stored(result: MaybeStored) -> Response:
    return plain(HTTPStatus.GATEWAY_TIMEOUT)


@respond.register
def _no_such_job(result: NoSuchJob) -> Response:
    return plain(HTTPStatus.GONE)


@respond.register
def _unavailable(result: Unavailable) -> Response:
    return refusal(result.reason)


@respond.register
def _state(result: JobState) -> Response:
    return _json({'state': str(result)})


@respond.register
def _count(result: int) -> Response:
    return _json({'waiting': result})


def refusal(reason: str, retry_after: int = RETRY_AFTER_MS) -> Response:
    """Return the answer that the request did not run, with its reason."""
    response = _json({'error': reason}, HTTPStatus.SERVICE_UNAVAILABLE)
    response.headers['Retry-After'] = str(-(-retry_after // MS_PER_SECOND))
    return response


def cancelled(result: Stored | NoSuchJob | Unavailable) -> Response:
    if isinstance(result, Unavailable):
        return plain(HTTPStatus.GATEWAY_TIMEOUT)
    return respond(result)


def bad_request(reason: str) -> Response:
    return _json({'error': reason}, HTTPStatus.BAD_REQUEST)


def plain(status: HTTPStatus) -> Response:
    return Response('', status=status)


def _json(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )
