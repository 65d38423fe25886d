"""
cyclamenshift.platform.refusals
===============================

The HTTP responses to requests of clients that are not served.
"""

from http import HTTPStatus
from typing import Any, Final

import msgspec
from quart import Response

from ..clock import MS_PER_SECOND

#: Default delay after which a refused caller should retry, ms.
RETRY_AFTER_MS: Final = 1_000


def service_unavailable(
    reason: str, retry_after: int = RETRY_AFTER_MS
) -> Response:
    """Return the response to a request that had no effect."""
    response = json_response({'error': reason}, HTTPStatus.SERVICE_UNAVAILABLE)
    return _set_retry_after(response, retry_after)


def too_many_requests(reason: str, retry_after: int) -> Response:
    """Return the response to a job that was refused for lack of capacity."""
    response = json_response({'error': reason}, HTTPStatus.TOO_MANY_REQUESTS)
    return _set_retry_after(response, retry_after)


def unauthorized() -> Response:
    """Return the response to a request without a valid access key."""
    return json_response(
        {'error': 'the access key is missing or not valid'},
        HTTPStatus.UNAUTHORIZED,
    )


def bad_request(reason: str) -> Response:
    """Return the response to an invalid request."""
    return json_response({'error': reason}, HTTPStatus.BAD_REQUEST)


def json_response(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Return a response with *value* as its body."""
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


def _set_retry_after(response: Response, retry_after: int) -> Response:
    response.headers['Retry-After'] = str(-(-retry_after // MS_PER_SECOND))
    return response
