"""
cyclamenshift.commands.first
============================

Runs an entry VM on the embedded default for one request.
"""

import argparse
from typing import Final

import httpx
import trio

from .. import daemon, kernel, settings
from ..clock import Clock
from ..command import EXIT_REFUSED, Command, Report
from ..frontends.callers import CallerFrontend
from ..plugin import register

#: The configuration of the first run.
FIRST_FLEET: Final = {
    '10-first.yaml': """\
pools: {desk: {}}
services:
  desk:
    pool: desk
    work: {look-up: {repeatable: true}, booking: {}}
vms:
  desk-1:
    pool: desk
    data_centre: local
    rack: rack-1
    address: embedded
""",
}
#: What the first request says.
GREETING: Final = 'Is anybody there?'

NEXT_STEPS: Final = (
    'Next, keep one running:',
    '  cyclamenshiftd --settings examples/first-run',
    'and in another terminal:',
    '  cyclamenshift request desk --kind look-up --body hello',
    '  cyclamenshift vms',
    '  cyclamenshift config show',
)


@register
class FirstRun(Command):
    """Shows the whole path once, in this process alone."""

    name = 'try'
    help = 'answer one request on the embedded default, then stop'

    async def run(self, options: argparse.Namespace) -> Report:
        """Start, send one request, stop."""
        chosen = settings.default()
        chosen['callers'].update(port=0, leaving_notice=0)
        chosen['operators']['port'] = 0
        chosen['peers']['port'] = 0
        members = daemon.choose_members(chosen)
        process = kernel.build(chosen, Clock(), members)
        async with trio.open_nursery() as nursery:
            await nursery.start(process.run)
            await daemon.offer(process, FIRST_FLEET)
            response = await _ask(process)
            process.stop()
        outcome = response.headers.get('Outcome', '')
        return Report(
            {'outcome': outcome, 'body': response.text},
            (f'Asked: {GREETING}', f'{outcome}: {response.text}', *NEXT_STEPS),
            0 if outcome == 'done' else EXIT_REFUSED,
        )


async def _ask(process: kernel.Kernel) -> httpx.Response:
    address = process.get(CallerFrontend).addresses[0]
    async with httpx.AsyncClient() as client:
        return await client.post(
            f'{address}/v1/services/desk/requests',
            content=GREETING,
            headers={'Request-Kind': 'look-up'},
        )
