"""
cyclamenshift.commands.processes
================================

Commands that show the state of an entry VM or send it a request.
"""

import argparse
import json
import uuid

import httpx

from ..clock import MS_PER_SECOND
from ..command import EXIT_REFUSED, Command, Report, call
from ..errors import ControlError
from ..plugin import register

#: Time by which the client's timeout exceeds that of the request, ms.
TIMEOUT_MARGIN_MS = 2_000


@register
class ShowDump(Command):
    """Shows the state dump of an entry VM."""

    name = 'dump'
    help = 'show the state of all components of an entry VM'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the URL of the entry VM."""
        parser.add_argument(
            'url',
            nargs='?',
            help="the URL of the entry VM's operators' port",
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Get the dump and format it as JSON."""
        target = argparse.Namespace(entry=options.url or options.entry)
        dump = await call(target, 'GET', '/v1/dump')
        text = json.dumps(dump, indent=2, sort_keys=True)
        return Report(dump, tuple(text.splitlines()))


@register
class SendRequest(Command):
    """Sends a request as a caller and shows its outcome."""

    name = 'request'
    help = 'send a request and show its outcome'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the parts of the request and the URL of the callers' port."""
        parser.add_argument('service', help='the service to call')
        parser.add_argument('--callers', default='http://127.0.0.1:8080')
        parser.add_argument('--kind', help='the kind of request')
        parser.add_argument('--key', default=uuid.uuid4().hex)
        parser.add_argument('--body', default='')
        parser.add_argument('--timeout', type=int, default=10 * MS_PER_SECOND)

    async def run(self, options: argparse.Namespace) -> Report:
        """Send the request; any outcome but done exits with 1."""
        try:
            response = await _post(options)
        except httpx.HTTPError as error:
            raise ControlError(
                f'No response from {options.callers}: {type(error).__name__}.',
                f'Ask another entry VM for the outcome of key {options.key}.',
            ) from error
        outcome = response.headers.get('Outcome', 'unknown')
        value = {
            'outcome': outcome,
            'status': response.status_code,
            'request_id': response.headers.get('Request-Id'),
            'key': options.key,
            'body': response.text,
        }
        return Report(
            value,
            (f'{outcome}, status {response.status_code}', response.text),
            0 if outcome == 'done' else EXIT_REFUSED,
        )


async def _post(options: argparse.Namespace) -> httpx.Response:
    headers = {
        'Idempotency-Key': options.key,
        'Request-Timeout': str(options.timeout),
        'Content-Type': 'text/plain',
    }
    if options.kind:
        headers['Request-Kind'] = options.kind
    timeout = (options.timeout + TIMEOUT_MARGIN_MS) / MS_PER_SECOND
    async with httpx.AsyncClient(timeout=timeout) as client:
        return await client.post(
            f'{options.callers}/v1/services/{options.service}/requests',
            content=options.body.encode(),
            headers=headers,
        )
