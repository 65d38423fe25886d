"""
cyclamenshift.platform.vms
==========================

The platform's machines, as VMs that can be moved and maintained.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, NotRequired, TypedDict
from urllib.parse import urlencode

import msgspec

from ..component import Host
from ..http1 import Address, Client, NoResponse, NotSent, Request, Response
from ..plugin import register
from ..provider import (
    FencingToken,
    ProvidedVm,
    VmAccepted,
    VmPhase,
    VmProvider,
    VmRefusal,
    VmRefused,
    VmResult,
    VmUnanswered,
)
from .wire import (
    ResourcesBody,
    Unreadable,
    decode_json,
    decode_resources,
    parse_address,
    rack_from_labels,
)

#: How long the platform may take to answer for its machines, ms.
WAIT_MS: Final = 1_500

#: Why an order is refused, by the reason in the answer.
REASONS: Final[Mapping[str, VmRefusal]] = {
    'fence': VmRefusal.fenced,
    'busy': VmRefusal.busy,
    'wave': VmRefusal.not_listed,
}
#: What the platform calls the phases of a VM.
PHASES: Final[Mapping[str, VmPhase]] = {
    'up': VmPhase.up,
    'moving': VmPhase.moving,
    'upkeep': VmPhase.in_maintenance,
    'down': VmPhase.down,
}

#: A machine, which is a VM.
MachineBody = TypedDict(
    'MachineBody',
    {
        'machine': str,
        'pool': str,
        'state': str,
        'zone': str,
        'labels': list[str],
        'capacity': ResourcesBody,
        # That of its worker, empty while it runs none.
        'id': NotRequired[str | None],
    },
)
#: One page of the machines.
MachinesBody = TypedDict(
    'MachinesBody',
    {'machines': list[MachineBody], 'nextToken': NotRequired[str | None]},
)


@register
class PlatformVms(VmProvider):
    """Calls the platform at ``jobs.provider``."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        self.address: Address = parse_address(
            kernel.settings['jobs']['provider']
        )
        self.client = Client(self.clock)

    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return every VM, page after page."""
        found: list[ProvidedVm] = []
        target = '/v1/machines'
        while True:
            result = await self._call('GET', target, b'', ())
            if not isinstance(result, Response):
                return VmUnanswered(sent=False, reason=result.reason)
            page = decode_json(result.body, MachinesBody)
            if isinstance(page, Unreadable):
                return VmUnanswered(sent=True, reason=page.reason)
            found.extend(map(_vm_of, page['machines']))
            token = page.get('nextToken')
            if not token:
                return found
            query = urlencode({'pageToken': token})
            target = f'/v1/machines?{query}'

    async def move(
        self,
        vm_id: str,
        pool: str,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Move a VM to *pool*."""
        body = {'machine': vm_id, 'pool': pool}
        return await self._order('machine-move', body, fencing_token)

    async def maintain(
        self,
        vm_id: str,
        maintenance: int,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Take a VM down for a maintenance."""
        body = {'machine': vm_id, 'wave': maintenance}
        return await self._order('machine-upkeep', body, fencing_token)

    async def _order(
        self,
        name: str,
        body: Mapping[str, Any],
        fencing_token: FencingToken,
    ) -> VmResult:
        headers = (
            ('X-Lease-Holder', fencing_token.holder),
            ('X-Fence-Token', str(fencing_token.epoch)),
        )
        raw = msgspec.json.encode(body)
        result = await self._call('POST', f'/v1/{name}', raw, headers)
        if isinstance(result, NotSent):
            return VmUnanswered(sent=False, reason=result.reason)
        if isinstance(result, NoResponse):
            return VmUnanswered(sent=True, reason=result.reason)
        if result.status == HTTPStatus.OK:
            return VmAccepted()
        return _refusal(result)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> Response | NotSent | NoResponse:
        call = Request(method, target, body, WAIT_MS, headers)
        return await self.client.call(self.address, call)


def _refusal(result: Response) -> VmRefused | VmUnanswered:
    if result.status == HTTPStatus.TOO_MANY_REQUESTS:
        return VmRefused(VmRefusal.over_rate)
    if result.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return VmUnanswered(sent=False, reason='the platform is busy')
    told = decode_json(result.body, dict[str, Any])
    reason = '' if isinstance(told, Unreadable) else str(told.get('reason'))
    return VmRefused(REASONS.get(reason, VmRefusal.impossible))


def _vm_of(body: MachineBody) -> ProvidedVm:
    return ProvidedVm(
        vm_id=body['machine'],
        pool=body['pool'],
        phase=PHASES.get(body['state'], VmPhase.down),
        data_centre=body['zone'],
        rack=rack_from_labels(body['labels']),
        labels=frozenset(body['labels']),
        resources=decode_resources(body['capacity']),
        worker_id=body.get('id') or '',
    )
