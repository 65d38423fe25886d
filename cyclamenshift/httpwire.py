"""
cyclamenshift.httpwire
======================

Encodes HTTP requests and parses responses, for the client in ``http1``.

h11 takes most of the processor time of a call, so it only validates and
encodes the head of a request once, and parses responses of an unusual form.
"""

import re
from collections.abc import Mapping
from functools import lru_cache
from typing import Final, NamedTuple

import h11

#: The number of heads of requests that are kept; an entry VM calls some tens
#: of workers, each with three kinds of requests.
KEPT_HEADS: Final = 1_024
#: The head of a response of the usual form.  Its lines end in CR LF, and it
#: has printable characters only.
HEAD_PATTERN: Final = re.compile(
    rb'HTTP/1\.1 ([2-9][0-9]{2})(?: [ -~]*)?\r\n'
    rb"((?:[-!#$%&'*+.^_`|~0-9a-zA-Z]+:[ -~]*\r\n)*)\r\n"
)
#: The statuses of responses without a body, and the methods whose responses
#: may have none, whatever their headers say.
STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
METHODS_WITHOUT_BODY: Final = frozenset(('HEAD', 'CONNECT'))
#: The longest length of a body that is taken as it is, digits.
LENGTH_DIGITS: Final = 15
#: The value of the header ``Connection`` that changes nothing.
KEEP_ALIVE: Final = 'keep-alive'
#: The header that follows those of the client in each request.
LENGTH_LINE: Final = b'\r\nContent-Length: 0\r\n'


class RequestHead(NamedTuple):
    """What a request is made of, besides its body."""

    host: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class ParsedResponse(NamedTuple):
    """A complete response; ``reusable`` tells whether others may follow."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    reusable: bool


class UsualHead(NamedTuple):
    """The head of a response of the usual form; its body ends at ``end``."""

    status: int
    headers: Mapping[str, str]
    start: int
    end: int


class ResponseParser:
    """
    Parses the response to one request from the bytes that arrive.

    The first bytes decide whether the response has the usual form: a complete
    head with a length.  Any other response is left to h11.
    """

    def __init__(self, head: RequestHead, body: bytes) -> None:
        """Expect the response to the request with *head* and *body*."""
        self.request = (head, body)
        self.received = 0
        self.usual: UsualHead | None = None
        self.protocol: h11.Connection | None = None
        self.unusual_head: h11.Response | None = None
        self.chunks: list[bytes] = []

    def feed(self, received: bytes) -> ParsedResponse | None:
        """
        Add *received*, empty at the end of the stream.

        Returns the response once it is complete.  Raises RemoteProtocolError
        if it can't become one.
        """
        if self.protocol is not None:
            return self._feed_protocol(self.protocol, received)
        if self.usual is None:
            self.usual = _parse_head(received, self.request[0].method)
        if self.usual is None:
            self.protocol = _open_protocol(*self.request)
            return self._feed_protocol(self.protocol, received)
        if not received:
            raise _incomplete_response()
        self.chunks.append(received)
        self.received += len(received)
        if self.received < self.usual.end:
            return None
        return self._finish(self.usual)

    def _finish(self, head: UsualHead) -> ParsedResponse:
        return ParsedResponse(
            head.status,
            head.headers,
            b''.join(self.chunks)[head.start : head.end],
            # Bytes after the response would be taken for the next one.
            reusable=self.received == head.end,
        )

    def _feed_protocol(
        self, protocol: h11.Connection, received: bytes
    ) -> ParsedResponse | None:
        protocol.receive_data(received)
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.EndOfMessage) and self.unusual_head:
                return self._build(protocol, self.unusual_head)
            self._add(event)

    def _add(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self.unusual_head = event
        elif isinstance(event, h11.Data) and self.unusual_head:
            self.chunks.append(bytes(event.data))
        else:
            raise _incomplete_response()

    def _build(
        self, protocol: h11.Connection, head: h11.Response
    ) -> ParsedResponse:
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in head.headers
        }
        states = {protocol.our_state, protocol.their_state}
        # Bytes after the response would be taken for the next one.
        surplus, _ended = protocol.trailing_data
        return ParsedResponse(
            head.status_code,
            headers,
            b''.join(self.chunks),
            reusable=states == {h11.DONE} and not surplus,
        )


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """
    Return an encoded request.

    Raises LocalProtocolError or UnicodeError if it is not valid HTTP.
    """
    before, after = _encode_head(head)
    return b'%b\r\nContent-Length: %d\r\n%b%b' % (
        before,
        len(body),
        after,
        body,
    )


@lru_cache(KEPT_HEADS)
def _encode_head(head: RequestHead) -> tuple[bytes, bytes]:
    """Return the encoded head before and after the length of the body."""
    protocol = h11.Connection(h11.CLIENT)
    encoded = protocol.send(_request_event(head, b'')) or b''
    before, _length, after = encoded.partition(LENGTH_LINE)
    return before, after


def _request_event(head: RequestHead, body: bytes) -> h11.Request:
    return h11.Request(
        method=head.method,
        target=head.target,
        headers=[
            ('Host', head.host),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *head.headers,
        ],
    )


def _open_protocol(head: RequestHead, body: bytes) -> h11.Connection:
    """Return a connection on which the request was sent."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(_request_event(head, body))
    protocol.send(h11.Data(data=body))
    protocol.send(h11.EndOfMessage())
    return protocol


def _parse_head(received: bytes, method: str) -> UsualHead | None:
    """Return the head of a response, None if it needs h11."""
    matched = HEAD_PATTERN.match(received)
    if matched is None or method in METHODS_WITHOUT_BODY:
        return None
    status = int(matched[1])
    headers = _parse_headers(matched[2].decode('ascii'))
    length = headers.get('content-length', '')
    is_sized = length.isdecimal() and len(length) <= LENGTH_DIGITS
    is_kept = headers.get('connection', KEEP_ALIVE).lower() == KEEP_ALIVE
    is_unusual = 'transfer-encoding' in headers or not is_kept
    if is_unusual or not is_sized or status in STATUSES_WITHOUT_BODY:
        return None
    return UsualHead(
        status, headers, matched.end(), matched.end() + int(length)
    )


def _parse_headers(lines: str) -> dict[str, str]:
    """Return the headers; none, so not even a length, if one is repeated."""
    headers: dict[str, str] = {}
    for line in lines.split('\r\n')[:-1]:
        name, _colon, text = line.partition(':')
        name = name.lower()
        if name in headers:
            return {}
        headers[name] = text.strip(' ')
    return headers


def _incomplete_response() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError('the answer was cut short')
