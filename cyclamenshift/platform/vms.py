"""
cyclamenshift.platform.vms
==========================

The client of the platform's machines, which are the VMs.
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
    ConflictBody,
    ResourcesBody,
    Unreadable,
    decode_json,
    decode_resources,
    parse_address,
    rack_from_labels,
)

#: Time limit for a response of the platform, ms.
RESPONSE_TIMEOUT_MS: Final = 1_500

#: Why an order was refused, by the reason in the response.
REFUSAL_REASONS: Final[Mapping[str, VmRefusal]] = {
    'fence': VmRefusal.fenced,
    'busy': VmRefusal.busy,
    'wave': VmRefusal.not_listed,
}
#: The phases of a VM by the platform's names for them.
PHASES: Final[Mapping[str, VmPhase]] = {
    'up': VmPhase.up,
    'moving': VmPhase.moving,
    'upkeep': VmPhase.in_maintenance,
    'down': VmPhase.down,
}

#: A machine, the platform's term for a VM.
MachineBody = TypedDict(
    'MachineBody',
    {
        'machine': str,
        'pool': str,
        'state': str,
        'zone': str,
        'labels': list[str],
        'capacity': ResourcesBody,
        # The id of its worker; empty or omitted if it has none.
        'id': NotRequired[str | None],
    },
)
#: A page of machines.
MachinesBody = TypedDict(
    'MachinesBody',
    {'machines': list[MachineBody], 'nextToken': NotRequired[str | None]},
)


@register
class PlatformVms(VmProvider):
    """Calls the platform's service at the address ``jobs.provider``."""

    name = 'platform'

    def __init__(self, kernel: Host) -> None:
        """Prepare the client; connect with the first call."""
        super().__init__(kernel)
        self.address: Address = parse_address(
            kernel.settings['jobs']['provider']
        )
        self.client = Client(self.clock, kernel.metrics.load)

    async def list_vms(self) -> list[ProvidedVm] | VmUnanswered:
        """Return the VMs of all pools, read page by page."""
        vms: list[ProvidedVm] = []
        tokens: set[str] = set()
        token = ''
        while token not in tokens:
            tokens.add(token)
            page = await self._read_page(token)
            if isinstance(page, VmUnanswered):
                return page
            vms.extend(map(_decode_vm, page['machines']))
            token = page.get('nextToken') or ''
            if not token:
                return vms
        return VmUnanswered(sent=True, reason='a page is repeated')

    async def move(
        self,
        vm_id: str,
        pool: str,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Move a VM to *pool*, which ends everything that runs on it."""
        body = {'machine': vm_id, 'pool': pool}
        return await self._send_order('machine-move', body, fencing_token)

    async def maintain(
        self,
        vm_id: str,
        maintenance: int,
        fencing_token: FencingToken,
    ) -> VmResult:
        """Take a VM down for a maintenance, which ends everything on it."""
        body = {'machine': vm_id, 'wave': maintenance}
        return await self._send_order('machine-upkeep', body, fencing_token)

    async def _send_order(
        self,
        name: str,
        body: Mapping[str, Any],
        fencing_token: FencingToken,
    ) -> VmResult:
        headers = (
            ('X-Lease-Holder', fencing_token.holder),
            ('X-Fence-Token', str(fencing_token.epoch)),
        )
        encoded = msgspec.json.encode(body)
        result = await self._call(
            Request(
                operation=name,
                method='POST',
                target=f'/v1/{name}',
                body=encoded,
                timeout=RESPONSE_TIMEOUT_MS,
                headers=headers,
            ),
        )
        if isinstance(result, NotSent):
            return VmUnanswered(sent=False, reason=result.reason)
        if isinstance(result, NoResponse):
            return VmUnanswered(sent=True, reason=result.reason)
        if result.status == HTTPStatus.OK:
            return VmAccepted()
        return _decode_refusal(result)

    async def _read_page(self, token: str) -> MachinesBody | VmUnanswered:
        target = '/v1/machines'
        if token:
            query = urlencode({'pageToken': token})
            target = f'{target}?{query}'
        result = await self._call(
            Request('machines', 'GET', target, b'', RESPONSE_TIMEOUT_MS)
        )
        if not isinstance(result, Response):
            return VmUnanswered(sent=False, reason=result.reason)
        if result.status != HTTPStatus.OK:
            return VmUnanswered(sent=True, reason=f'status {result.status}')
        page = decode_json(result.body, MachinesBody)
        if isinstance(page, Unreadable):
            return VmUnanswered(sent=True, reason=page.reason)
        return page

    async def _call(self, request: Request) -> Response | NotSent | NoResponse:
        return await self.client.call(self.address, request)


def _decode_refusal(result: Response) -> VmRefused | VmUnanswered:
    if result.status == HTTPStatus.TOO_MANY_REQUESTS:
        return VmRefused(VmRefusal.over_rate)
    if result.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return VmUnanswered(sent=False, reason='the platform is busy')
    if result.status == HTTPStatus.BAD_REQUEST:
        return VmRefused(VmRefusal.impossible)
    refusal = _find_reason(result)
    if refusal is None:
        return VmUnanswered(sent=True, reason=f'status {result.status}')
    return VmRefused(refusal)


def _find_reason(result: Response) -> VmRefusal | None:
    """Return the reason of a refusal, None if the order may be executed."""
    if result.status != HTTPStatus.CONFLICT:
        return None
    conflict = decode_json(result.body, ConflictBody)
    if isinstance(conflict, Unreadable):
        return None
    return REFUSAL_REASONS.get(conflict['reason'])


def _decode_vm(body: MachineBody) -> ProvidedVm:
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
