"""
cyclamenshift.controls.configuration
====================================

Tracks the active configuration and the states of VMs, and applies changes.
"""

import random
from collections.abc import Callable
from typing import ClassVar, NamedTuple

import msgspec
import trio
import xxhash

from .. import fleet as fleet_settings
from ..component import Dump, Host
from ..control import Control
from ..decisions.acceptance import Accepted, FleetRows, accept
from ..decisions.budget import Refused
from ..errors import ProtocolError, SettingsError
from ..model import Vm
from ..plugin import register
from ..rows import (
    BUDGET_TABLE,
    CHANGES_KEY,
    HEAD_KEY,
    VM_TABLE,
    BudgetRow,
    ChangesRow,
    HeadRow,
    VmRow,
    budget_key,
    decode_row,
    vm_key,
)
from ..statusmessages import Versions
from ..store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Rejected,
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
)

#: The prefix of the object names of stored configurations.
OBJECT_PREFIX = 'config-'
#: The largest fraction of the poll interval by which a poll may be early.
POLL_JITTER = 0.2
#: How often a commit is attempted while its result is uncertain.
COMMIT_ATTEMPT_LIMIT = 10
#: The delay between these attempts, ms.
COMMIT_RETRY_DELAY_MS = 200

STORE_DOWN = Refused(
    'The store can not be reached.',
    'Try again when it is back; nothing was changed.',
)
RESULT_UNKNOWN = Refused(
    'The answer of the store was lost, and it can not be asked now.',
    'Look at "cyclamenshift config status" before you apply again.',
)


class Proposal(NamedTuple):
    """An operator's change to the configuration with the number ``base``."""

    texts: dict[str, str]
    base: int
    change_id: str
    operator: str


class AppliedChange(NamedTuple):
    """A change that was applied; ``number`` is now the active one."""

    number: int
    digest: str


class _FleetSnapshot(NamedTuple):
    rows: FleetRows
    head: Row
    changes: Row


@register
class Configuration(Control):
    """Polls two rows, and reads the others only when one of them changed."""

    name = 'configuration'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 2

    def __init__(self, kernel: Host) -> None:
        """Start without a configuration."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.active_config: fleet_settings.CheckedFleet | None = None
        self.head: HeadRow | None = None
        self.head_version = ABSENT
        self.changes_version = ABSENT
        self.vm_rows: dict[str, VmRow] = {}
        self.vms: dict[str, Vm] = {}
        self.refreshed_at = self.clock.now()
        self.store_reachable = False
        self.listeners: list[Callable[[], None]] = []
        self._refresh_requested = trio.Event()
        self._rng = random.Random(kernel.settings['entry']['id'])

    @property
    def number(self) -> int:
        """The number of the active configuration, or 0 if there is none."""
        return self.head['number'] if self.head else 0

    @property
    def ready(self) -> bool:
        """Whether a configuration is active and its VMs are known."""
        return self.active_config is not None and bool(self.changes_version)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Refresh now, with each poll and when a refresh is requested."""
        await self.refresh()
        task_status.started()
        poll = self.kernel.settings['store']['poll']
        while True:
            delay = round(poll * (1 - POLL_JITTER * self._rng.random()))
            with self.clock.move_on_after(delay):
                await self._refresh_requested.wait()
            self._refresh_requested = trio.Event()
            await self.refresh()

    def on_versions(self, entry_id: str, versions: Versions) -> None:
        """Request a refresh if a peer has newer versions."""
        behind = self.changes_version < versions.changes
        if behind or self.number < versions.number:
            self._refresh_requested.set()

    def pool_of(self, service: str) -> str:
        """Return the pool of *service*, or '' if it is not configured."""
        services = (
            self.active_config.fleet['services'] if self.active_config else {}
        )
        known = services.get(service)
        return known['pool'] if known else ''

    async def refresh(self) -> None:
        """Update the local view from the table, if the store is reachable."""
        try:
            await self._refresh()
        except ProtocolError as error:
            self.log.error('Invalid row.', problem=str(error))

    async def apply(self, proposal: Proposal) -> AppliedChange | Refused:
        """
        Validate *proposal* and make it the active configuration.

        Raises SettingsError if its files are invalid.
        """
        checked = fleet_settings.check(proposal.texts)
        body = msgspec.json.encode(proposal.texts)
        digest = xxhash.xxh128_hexdigest(body)
        if not await self.store.put_object(OBJECT_PREFIX + digest, body):
            return STORE_DOWN
        snapshot = await self._read_rows()
        if isinstance(snapshot, Unavailable):
            return STORE_DOWN
        accepted = accept(snapshot.rows, checked.fleet, proposal.base)
        if isinstance(accepted, Refused):
            return accepted
        head = HeadRow(
            number=proposal.base + 1,
            digest=digest,
            change_id=proposal.change_id,
            operator=proposal.operator,
        )
        result = await self._commit(snapshot, accepted, head)
        await self.refresh()
        return result

    def dump(self) -> Dump:
        """Return the active configuration and the age of the local view."""
        return {
            'head': self.head,
            'head_version': self.head_version,
            'changes_version': self.changes_version,
            'view_age_ms': self.clock.now() - self.refreshed_at,
            'store_up': self.store_reachable,
            'vms': self.vm_rows,
        }

    async def _refresh(self) -> None:
        rows = await self.store.read([HEAD_KEY, CHANGES_KEY])
        self.store_reachable = not isinstance(rows, Unavailable)
        if isinstance(rows, Unavailable):
            return
        head, changes = rows
        changed = changes.version > self.changes_version
        if head.version > self.head_version:
            changed = await self._activate(head) or changed
        if changed and not await self._read_vms(changes.version):
            return
        self.refreshed_at = self.clock.now()

    async def _activate(self, head: Row) -> bool:
        row = decode_row(head, HeadRow)
        body = await self.store.get_object(OBJECT_PREFIX + row['digest'])
        if isinstance(body, Unavailable):
            self.log.warning(
                'Configuration object not available.',
                number=row['number'],
            )
            return False
        try:
            texts = msgspec.json.decode(body, type=dict[str, str])
            self.active_config = fleet_settings.check(texts)
        except (SettingsError, msgspec.MsgspecError) as error:
            self.log.error(
                'Invalid configuration.',
                number=row['number'],
                problem=str(error),
            )
            return False
        self.head = row
        self.head_version = head.version
        self.log.note('Configuration activated.', number=row['number'])
        return True

    async def _read_vms(self, changes_version: int) -> bool:
        rows = await self.store.scan(VM_TABLE)
        if isinstance(rows, Unavailable):
            return False
        self.vm_rows = _vm_rows_of(rows)
        self.changes_version = changes_version
        self.vms = self._build_vms()
        for listener in self.listeners:
            listener()
        return True

    def _build_vms(self) -> dict[str, Vm]:
        configured = (
            self.active_config.fleet['vms'] if self.active_config else {}
        )
        return {
            vm_id: Vm(
                vm_id=vm_id,
                pool=row['pool'],
                state=row['state'],
                epoch=row['epoch'],
                data_centre=configured[vm_id]['data_centre'],
                rack=configured[vm_id]['rack'],
                address=configured[vm_id]['address'],
                slots=configured[vm_id]['slots'],
            )
            for vm_id, row in self.vm_rows.items()
            if vm_id in configured
        }

    async def _read_rows(self) -> _FleetSnapshot | Unavailable:
        pair = await self.store.read([HEAD_KEY, CHANGES_KEY])
        vms = await self.store.scan(VM_TABLE)
        budgets = await self.store.scan(BUDGET_TABLE)
        if isinstance(pair, Unavailable):
            return pair
        if isinstance(vms, Unavailable) or isinstance(budgets, Unavailable):
            return Unavailable('The rows of the fleet could not be read.')
        head, changes = pair
        rows = FleetRows(
            head=decode_row(head, HeadRow) if head.version else None,
            vms=_vm_rows_of(vms),
            budgets={
                row.key.name: decode_row(row, BudgetRow) for row in budgets.rows
            },
        )
        return _FleetSnapshot(rows, head, changes)

    async def _commit(
        self,
        snapshot: _FleetSnapshot,
        accepted: Accepted,
        head: HeadRow,
    ) -> AppliedChange | Refused:
        transaction = Transaction(
            checks=(
                Check(HEAD_KEY, snapshot.head.version),
                Check(CHANGES_KEY, snapshot.changes.version),
            ),
            writes=_writes(snapshot.rows, accepted, head),
        )
        result = await self.store.commit(transaction)
        attempts = 1
        while isinstance(result, Uncertain) and attempts < COMMIT_ATTEMPT_LIMIT:
            await self.clock.sleep(COMMIT_RETRY_DELAY_MS)
            result = await self.store.commit(transaction)
            attempts += 1
        if isinstance(result, Committed):
            return AppliedChange(head['number'], head['digest'])
        if isinstance(result, Conflict):
            return await self._resolve_conflict(head)
        not_sent = isinstance(result, Rejected | Unavailable)
        return STORE_DOWN if attempts == 1 and not_sent else RESULT_UNKNOWN

    async def _resolve_conflict(self, head: HeadRow) -> AppliedChange | Refused:
        rows = await self.store.read([HEAD_KEY])
        if isinstance(rows, Unavailable):
            return RESULT_UNKNOWN
        current = decode_row(rows[0], HeadRow) if rows[0].version else None
        if current and current['change_id'] == head['change_id']:
            return AppliedChange(current['number'], current['digest'])
        winner = f'by {current["operator"]}' if current else 'of a VM'
        return Refused(
            f'Another change, {winner}, came first.',
            'Look at "cyclamenshift config diff", then apply again.',
        )


def _vm_rows_of(scanned: Snapshot) -> dict[str, VmRow]:
    return {row.key.name: decode_row(row, VmRow) for row in scanned.rows}


def _writes(
    rows: FleetRows,
    accepted: Accepted,
    head: HeadRow,
) -> tuple[Write, ...]:
    writes = [Write(HEAD_KEY, head)]
    for vm_id in sorted(rows.vms.keys() | accepted.vms.keys()):
        vm = accepted.vms.get(vm_id)
        if rows.vms.get(vm_id) != vm:
            writes.append(Write(vm_key(vm_id), vm))
    for service in sorted(rows.budgets.keys() | accepted.budgets.keys()):
        budget = accepted.budgets.get(service)
        if rows.budgets.get(service) != budget:
            writes.append(Write(budget_key(service), budget))
    changed = [
        vm_id
        for vm_id in sorted(accepted.vms)
        if rows.vms.get(vm_id) != accepted.vms[vm_id]
    ]
    writes.append(Write(CHANGES_KEY, ChangesRow(vms=changed)))
    return tuple(writes)
