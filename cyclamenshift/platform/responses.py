"""
cyclamenshift.platform.responses
================================

The HTTP responses to the platform's clients.
"""

from functools import singledispatch
from http import HTTPStatus

from quart import Response

from ..controls.job_access import (
    Different,
    MaybeStored,
    NoSuchJob,
    NotAdmitted,
    NotStored,
    Stored,
    Unstorable,
)
from ..job import JobState
from ..store import Unavailable
from .refusals import (
    bad_request,
    json_response,
    service_unavailable,
    too_many_requests,
)


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
def _not_admitted(result: NotAdmitted) -> Response:
    return too_many_requests(result.reason, result.retry_after)


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
    return json_response({'state': str(result)})


@respond.register
def _count(result: int) -> Response:
    return json_response({'waiting': result})


def respond_to_cancel(result: Stored | NoSuchJob | Unavailable) -> Response:
    """
    Return the response to a cancellation.

    One that could not be stored in time gets 504 rather than 503, because
    the store may have taken it all the same.
    """
    if isinstance(result, Unavailable):
        return empty_response(HTTPStatus.GATEWAY_TIMEOUT)
    return respond(result)


def empty_response(status: HTTPStatus) -> Response:
    """Return a response without a body."""
    return Response('', status=status)
