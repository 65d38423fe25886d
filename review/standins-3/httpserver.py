"""
A small HTTP/1.1 server on asyncio, for the stand-ins of this review.

A handler takes (method, path, query, headers, body) and returns
(status, value); the value is sent as JSON.  A handler that returns None
closes the connection without an answer.
"""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: 'OK', 503: 'Service Unavailable'}


async def read_request(reader):
    """Return the head lines and the body of one request, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _colon, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head, lines[0], headers, body


async def _serve(handler, reader, writer):
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            _head, first, headers, body = request
            method, target, _version = first.split(' ')
            parts = urlsplit(target)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            answer = await handler(method, parts.path, query, headers, body)
            if answer is None:
                break
            status, value = answer
            encoded = json.dumps(value).encode()
            reason = REASONS.get(status, 'Status')
            writer.write(
                f'HTTP/1.1 {status} {reason}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                + encoded
            )
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def start(handler, host, port):
    """Listen on *host*:*port* and answer requests with *handler*."""

    async def serve(reader, writer):
        await _serve(handler, reader, writer)

    return await asyncio.start_server(serve, host, port)


async def call(address, method, target, value=None, headers=(), timeout=3.0):
    """Send one request; return (status, value), status 0 for no answer."""
    host, _colon, port = address.rpartition(':')
    body = b'' if value is None else json.dumps(value).encode()
    lines = [
        f'{method} {target} HTTP/1.1',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        'Connection: close',
        *(f'{name}: {text}' for name, text in headers),
    ]
    if not any(name.lower() == 'host' for name, _text in headers):
        lines.append(f'Host: {address}')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            answer = await read_request(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, None
    _head, first, _headers, raw = answer
    try:
        decoded = json.loads(raw) if raw else None
    except ValueError:
        decoded = raw.decode(errors='replace')
    return int(first.split(' ')[1]), decoded
