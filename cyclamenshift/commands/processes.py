"""
cyclamenshift.commands.processes
================================

Asks one process for its state, or sends it one request by hand.
"""

import argparse
import json
import uuid

import httpx

from ..clock import MS_PER_SECOND
from ..command import EXIT_REFUSED, Command, Report, call
from ..errors import ControlError
from ..plugin import register

#: How long the command waits beyond the request's own time, ms.
ALLOWANCE_MS = 2_000


@register
class DumpProcess(Command):
    """Prints the state of one entry VM's process."""

    name = 'dump'
    help = 'print the state of every component of one entry VM'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take the entry VM."""
        parser.add_argument(
            'url',
            nargs='?',
            help="the URL of the entry VM's operators' port",
        )

    async def run(self, options: argparse.Namespace) -> Report:
        """Read the dump."""
        named = argparse.Namespace(entry=options.url or options.entry)
        state = await call(named, 'GET', '/v1/dump')
        text = json.dumps(state, indent=2, sort_keys=True)
        return Report(state, tuple(text.splitlines()))


@register
class SendRequest(Command):
    """Sends one request and shows its outcome."""

    name = 'request'
    help = 'send one request by hand and show its outcome'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Take what a caller would send."""
        parser.add_argument('service', help='the service to ask')
        parser.add_argument('--callers', default='http://127.0.0.1:8080')
        parser.add_argument('--kind', help='the kind of work')
        parser.add_argument('--key', default=uuid.uuid4().hex)
        parser.add_argument('--body', default='')
        parser.add_argument('--timeout', type=int, default=10 * MS_PER_SECOND)

    async def run(self, options: argparse.Namespace) -> Report:
        """Send the request; an outcome other than done exits with 1."""
        try:
            response = await _post(options)
        except httpx.HTTPError as error:
            raise ControlError(
                f'{options.callers} can not be reached, or did not answer: '
                f'{type(error).__name__}.',
                f'Ask for the outcome of the key {options.key} elsewhere.',
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
    timeout = (options.timeout + ALLOWANCE_MS) / MS_PER_SECOND
    async with httpx.AsyncClient(timeout=timeout) as client:
        return await client.post(
            f'{options.callers}/v1/services/{options.service}/requests',
            content=options.body.encode(),
            headers=headers,
        )
