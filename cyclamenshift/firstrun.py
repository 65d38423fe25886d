"""
cyclamenshift.firstrun
======================

Runs an entry VM with the default settings for one sample request.
"""

import sys
from typing import Final

import httpx
import trio

from . import kernel, settings, startup
from .clock import Clock
from .frontends.callers import CallerFrontend

#: The fleet configuration that serves the sample request.
SAMPLE_FLEET: Final = {
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
#: The body of the sample request.
SAMPLE_BODY: Final = 'Hello'

NEXT_STEPS: Final = (
    'To keep an entry VM running:',
    '  cyclamenshiftd --settings examples/first-run',
    'Then, in another terminal:',
    '  cyclamenshift request desk --kind look-up --body hello',
    '  cyclamenshift vms',
    '  cyclamenshift config show',
)


async def run_sample() -> int:
    """Start, answer one request, stop, and print the next steps."""
    process_settings = settings.default()
    process_settings['callers']['port'] = 0
    process_settings['callers']['leaving_notice'] = 0
    process_settings['operators']['port'] = 0
    process_settings['peers']['port'] = 0
    component_classes = startup.choose_components(process_settings)
    running_kernel = kernel.build(process_settings, Clock(), component_classes)
    async with trio.open_nursery() as nursery:
        await nursery.start(running_kernel.run)
        await startup.apply_initial_config(running_kernel, SAMPLE_FLEET)
        response = await _send_sample(running_kernel)
        running_kernel.stop()
    outcome = response.headers.get('Outcome', '')
    lines = (
        f'request: {SAMPLE_BODY}',
        f'{outcome}: {response.text}',
        *NEXT_STEPS,
    )
    sys.stdout.write('\n'.join((*lines, '')))
    return 0 if outcome == 'done' else 1


async def _send_sample(running_kernel: kernel.Kernel) -> httpx.Response:
    address = running_kernel.get(CallerFrontend).addresses[0]
    async with httpx.AsyncClient() as client:
        return await client.post(
            f'{address}/v1/services/desk/requests',
            content=SAMPLE_BODY,
            headers={'Request-Kind': 'look-up'},
        )
