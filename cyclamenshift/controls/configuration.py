"""
cyclamenshift.controls.configuration
====================================

Follows the configuration and the VMs' states, and accepts changes.
"""

import random
from collections.abc import Callable
from typing import ClassVar, NamedTuple

import msgspec
import trio
import xxhash

from .. import fleet as fleets
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
    Row,
    Snapshot,
    Store,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
)

#: The prefix of the names of stored configurations.
OBJECT_PREFIX = 'config-'
#: How far a poll may come early, as a share of its interval.
JITTER = 0.2
#: How often a lost answer is settled by asking again.
SETTLE_LIMIT = 10
#: The wait between two such tries, ms.
SETTLE_DELAY_MS = 200

STORE_DOWN = Refused(
    'The store can not be reached.',
    'Try again when it is back; nothing was changed.',
)
UNSETTLED = Refused(
    'The answer of the store was lost, and it can not be asked now.',
    'Look at "cyclamenshift config status" before you apply again.',
)


class Proposal(NamedTuple):
    """A change that an operator asks for, against number ``base``."""

    texts: dict[str, str]
    base: int
    change_id: str
    operator: str


class AppliedChange(NamedTuple):
    """A change that was accepted, now in force under ``number``."""

    number: int
    digest: str


class _Read(NamedTuple):
    rows: FleetRows
    head: Row
    changes: Row


@register
class Configuration(Control):
    """Polls one pair of rows, and reads more only when one has moved."""

    name = 'configuration'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 2

    def __init__(self, kernel: Host) -> None:
        """Start without a configuration."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.active_config: fleets.CheckedFleet | None = None
        self.head: HeadRow | None = None
        self.head_version = ABSENT
        self.changes_version = ABSENT
        self.vm_rows: dict[str, VmRow] = {}
        self.vms: dict[str, Vm] = {}
        self.refreshed_at = self.clock.now()
        self.store_reachable = False
        self.listeners: list[Callable[[], None]] = []
        self._hint = trio.Event()
        self._rng = random.Random(kernel.settings['entry']['id'])

    @property
    def number(self) -> int:
        """The number of the configuration in force, 0 for none."""
        return self.head['number'] if self.head else 0

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force and its VMs are known."""
        return self.active_config is not None and bool(self.changes_version)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Refresh now, and again with each poll or hint."""
        await self.refresh()
        task_status.started()
        poll = self.kernel.settings['store']['poll']
        while True:
            delay = round(poll * (1 - JITTER * self._rng.random()))
            with self.clock.move_on_after(delay):
                await self._hint.wait()
            self._hint = trio.Event()
            await self.refresh()

    def take_versions(self, entry_id: str, told: Versions) -> None:
        """Refresh soon if a peer knows of something newer."""
        behind = self.changes_version < told.changes
        if behind or self.number < told.number:
            self._hint.set()

    def pool_of(self, service: str) -> str:
        """Return the pool of *service*, empty if there is none."""
        services = (
            self.active_config.fleet['services'] if self.active_config else {}
        )
        known = services.get(service)
        return known['pool'] if known else ''

    async def refresh(self) -> None:
        """Bring this process up to the rows in the table, if it can."""
        try:
            await self._refresh()
        except ProtocolError as error:
            self.log.error('A row is not read.', problem=str(error))

    async def apply(self, proposal: Proposal) -> AppliedChange | Refused:
        """
        Put *proposal* in force, if it may be.

        Raises SettingsError when its files are wrong.
        """
        checked = fleets.check(proposal.texts)
        body = msgspec.json.encode(proposal.texts)
        digest = xxhash.xxh128_hexdigest(body)
        if not await self.store.put_object(OBJECT_PREFIX + digest, body):
            return STORE_DOWN
        read = await self._read_rows()
        if isinstance(read, Unavailable):
            return STORE_DOWN
        accepted = accept(read.rows, checked.fleet, proposal.base)
        if isinstance(accepted, Refused):
            return accepted
        head = HeadRow(
            number=proposal.base + 1,
            digest=digest,
            change_id=proposal.change_id,
            operator=proposal.operator,
        )
        result = await self._commit(read, accepted, head)
        await self.refresh()
        return result

    def dump(self) -> Dump:
        """Return what is in force and how old the view is."""
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
        moved = changes.version > self.changes_version
        if head.version > self.head_version:
            moved = await self._adopt(head) or moved
        if moved and not await self._read_vms(changes.version):
            return
        self.refreshed_at = self.clock.now()

    async def _adopt(self, head: Row) -> bool:
        row = decode_row(head, HeadRow)
        body = await self.store.get_object(OBJECT_PREFIX + row['digest'])
        if isinstance(body, Unavailable):
            self.log.warning(
                'A configuration is not there.',
                number=row['number'],
            )
            return False
        try:
            texts = msgspec.json.decode(body, type=dict[str, str])
            self.active_config = fleets.check(texts)
        except (SettingsError, msgspec.MsgspecError) as error:
            self.log.error(
                'A configuration is wrong.',
                number=row['number'],
                problem=str(error),
            )
            return False
        self.head = row
        self.head_version = head.version
        self.log.note('A configuration is in force.', number=row['number'])
        return True

    async def _read_vms(self, changes_version: int) -> bool:
        rows = await self.store.scan(VM_TABLE)
        if isinstance(rows, Unavailable):
            return False
        self.vm_rows = _vm_rows(rows)
        self.changes_version = changes_version
        self.vms = self._join_vms()
        for listener in self.listeners:
            listener()
        return True

    def _join_vms(self) -> dict[str, Vm]:
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

    async def _read_rows(self) -> _Read | Unavailable:
        firsts = await self.store.read([HEAD_KEY, CHANGES_KEY])
        vms = await self.store.scan(VM_TABLE)
        budgets = await self.store.scan(BUDGET_TABLE)
        if isinstance(firsts, Unavailable):
            return firsts
        if isinstance(vms, Unavailable) or isinstance(budgets, Unavailable):
            return Unavailable('The rows of the fleet could not be read.')
        head, changes = firsts
        rows = FleetRows(
            head=decode_row(head, HeadRow) if head.version else None,
            vms=_vm_rows(vms),
            budgets={
                row.key.name: decode_row(row, BudgetRow) for row in budgets.rows
            },
        )
        return _Read(rows, head, changes)

    async def _commit(
        self,
        read: _Read,
        accepted: Accepted,
        head: HeadRow,
    ) -> AppliedChange | Refused:
        transaction = Transaction(
            checks=(
                Check(HEAD_KEY, read.head.version),
                Check(CHANGES_KEY, read.changes.version),
            ),
            writes=_writes(read.rows, accepted, head),
        )
        result = await self.store.commit(transaction)
        tries = 1
        while isinstance(result, Uncertain) and tries < SETTLE_LIMIT:
            await self.clock.sleep(SETTLE_DELAY_MS)
            result = await self.store.commit(transaction)
            tries += 1
        if isinstance(result, Committed):
            return AppliedChange(head['number'], head['digest'])
        if isinstance(result, Conflict):
            return await self._lost_race(head)
        first_try = tries == 1 and isinstance(result, Unavailable)
        return STORE_DOWN if first_try else UNSETTLED

    async def _lost_race(self, head: HeadRow) -> AppliedChange | Refused:
        rows = await self.store.read([HEAD_KEY])
        if isinstance(rows, Unavailable):
            return UNSETTLED
        present = decode_row(rows[0], HeadRow) if rows[0].version else None
        if present and present['change_id'] == head['change_id']:
            return AppliedChange(present['number'], present['digest'])
        winner = f'by {present["operator"]}' if present else 'of a VM'
        return Refused(
            f'Another change, {winner}, came first.',
            'Look at "cyclamenshift config diff", then apply again.',
        )


def _vm_rows(scanned: Snapshot) -> dict[str, VmRow]:
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
    moved = [
        vm_id
        for vm_id in sorted(accepted.vms)
        if rows.vms.get(vm_id) != accepted.vms[vm_id]
    ]
    writes.append(Write(CHANGES_KEY, ChangesRow(vms=moved)))
    return tuple(writes)
