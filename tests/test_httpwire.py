"""
tests.test_httpwire
===================

The encoding of requests and the parser of responses, against h11.
"""

import re

import h11
import pytest

from cyclamenshift import httpwire
from cyclamenshift.httpwire import (
    ParsedResponse,
    RequestHead,
    ResponseParser,
    encode_request,
)

#: A pattern that no response has.
NOTHING = re.compile(rb'(?!)')
HEAD = RequestHead('10.0.0.1:80', 'POST', '/v1/hold', (('X-Id', 'worker-1'),))
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'


def feed(response: bytes, size: int, method: str) -> ParsedResponse | str:
    """Return what is made of *response* in parts of *size* bytes."""
    parser = ResponseParser(HEAD._replace(method=method), b'{}')
    parts = [
        response[start : start + size]
        for start in range(0, len(response), size)
    ]
    try:
        # The parts after the response are not received.
        return next(filter(None, map(parser.feed, (*parts, b''))))
    except h11.RemoteProtocolError:
        return 'no response'


@pytest.mark.parametrize('method', ['POST', 'HEAD'])
@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Odd:  a b \r\n\r\nab',
        b'HTTP/1.1 200 OK\r\ncontent-length:2\r\n'
        b'Connection: Keep-Alive\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 409\r\nContent-Length: 2\r\n\r\nab',
        b'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n',
        b'HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab',
        b'HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n folded\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\nX: 1\n\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nX: 1\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'\r\n2\r\nab\r\n0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    ],
)
def test_response_is_read_as_by_h11(
    response: bytes, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The own parser understood a response otherwise, whole or in parts."""
    sizes = (1, len(response) - 1, len(response))
    parsed = [feed(response, size, method) for size in sizes]
    monkeypatch.setattr(httpwire, 'HEAD_PATTERN', NOTHING)
    assert parsed == [feed(response, size, method) for size in sizes]


def test_bytes_after_a_response_keep_its_connection_from_reuse() -> None:
    """They would be taken for the next response."""
    for whole, reusable in ((OK, True), (b'%bH' % OK, False)):
        result = feed(whole, len(whole), 'POST')
        assert isinstance(result, ParsedResponse)
        assert result.reusable is reusable


def test_request_is_encoded_as_before() -> None:
    """Workers see the same bytes, also when the head is known."""
    for _request in range(2):
        assert encode_request(HEAD, b'{"fence": 1}') == (
            b'POST /v1/hold HTTP/1.1\r\nHost: 10.0.0.1:80\r\n'
            b'Content-Type: application/json\r\nContent-Length: 12\r\n'
            b'X-Id: worker-1\r\n\r\n{"fence": 1}'
        )
