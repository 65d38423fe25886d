"""
cyclamenshift.firstrun
======================

Runs an entry VM on the embedded default for one request.
"""

import sys
from typing import Final

import httpx
import trio

from . import kernel, settings, startup
from .clock import Clock
from .frontends.callers import CallerFrontend

#: The configuration of the first run.
FIRST_FLEET: Final = {
    '10-first.yaml': '\n'.join(
        (
            'pools: {desk: {}}',
            'services:',
            '  desk:',
            '    pool: desk',
            '    work: {look-up: {repeatable: true}, booking: {}}',
            'vms:',
            '  desk-1:',
            '    pool: desk',
            '    data_centre: local',
            '    rack: rack-1',
            '    address: embedded',
        )
    ),
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


async def answer_one() -> int:
    """Start, answer one request, say what to type next, and stop."""
    chosen = settings.default()
    chosen['callers']['port'] = 0
    chosen['callers']['leaving_notice'] = 0
    chosen['operators']['port'] = 0
    chosen['peers']['port'] = 0
    members = startup.choose_components(chosen)
    process = kernel.build(chosen, Clock(), members)
    async with trio.open_nursery() as nursery:
        await nursery.start(process.run)
        await startup.apply_initial_config(process, FIRST_FLEET)
        response = await _ask(process)
        process.stop()
    outcome = response.headers.get('Outcome', '')
    lines = (f'Asked: {GREETING}', f'{outcome}: {response.text}', *NEXT_STEPS)
    sys.stdout.write('\n'.join((*lines, '')))
    return 0 if outcome == 'done' else 1


async def _ask(process: kernel.Kernel) -> httpx.Response:
    address = process.get(CallerFrontend).addresses[0]
    async with httpx.AsyncClient() as client:
        return await client.post(
            f'{address}/v1/services/desk/requests',
            content=GREETING,
            headers={'Request-Kind': 'look-up'},
        )
