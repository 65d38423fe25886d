"""
cyclamenshift.controls.claims
=============================

At-most-once execution of non-repeatable requests, by idempotency key.

An attempt writes a claim row before it dispatches the request, and only the
attempt that holds the claim dispatches it.  No attempt takes over a claim
because of its age.  Until the claim row has been read, an earlier attempt may
have run the request, so no outcome is reported as not-run before that.
"""

import uuid
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import ClassVar, TypeAlias, cast

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions import claims
from ..errors import ProtocolError
from ..model import NotRun, Outcome, Reason, Request, Unknown
from ..plugin import register
from ..rows import ClaimRow, claim_key, decode_row
from ..store import ABSENT, Store, Unavailable
from .row_writer import NotWritten, Rival, RowWriter, Written

#: Runs a claimed request to its outcome.
Runner: TypeAlias = Callable[[Request], Awaitable[Outcome]]

#: The interval at which a claim of another attempt is polled and a failed
#: write of the outcome is retried, ms.
CLAIM_POLL_MS = 100
#: How long the outcome is held back until it is recorded, ms.
RECORD_TIMEOUT_MS = 1_000

#: This attempt did not run, but an earlier one with the same key may have.
STORE_DOWN = Unknown(
    Reason.store_down,
    'Send it again with the same key when the store is back.',
)
IN_PROGRESS = Unknown(Reason.in_progress, claims.ASK_AGAIN)
DEADLINE_PASSED = NotRun(
    Reason.deadline,
    'Allow more time, or try again with the same key.',
)


class Execution:
    """An attempt to run a request, shared by its callers in this process."""

    def __init__(self, request: Request, attempt: str) -> None:
        """Start without an outcome."""
        self.request = request
        self.attempt = attempt
        self.digest = claims.digest_of(request)
        self.outcome: Outcome | None = None
        self.finished = trio.Event()

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome and wake every waiting caller."""
        self.outcome = outcome
        self.finished.set()


@register
class Claims(Control):
    """Runs each claimed request in a task that outlives its caller."""

    name = 'claims'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 7

    def __init__(self, kernel: Host) -> None:
        """Start without executions."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.row_writer = kernel.get(RowWriter)
        self.executions: dict[str, Execution] = {}
        self.nursery: trio.Nursery | None = None
        self.unfinished = 0
        self._idle = trio.Event()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep the nursery of the executions open."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Return when all executions are finished and recorded."""
        while self.unfinished:
            self._idle = trio.Event()
            await self._idle.wait()

    def dump(self) -> Dump:
        """Return the keys of the current executions."""
        return {'flights': sorted(self.executions), 'carried': self.unfinished}

    async def run_once(self, request: Request, runner: Runner) -> Outcome:
        """Run *request* at most once for its key; return the outcome."""
        execution = self.executions.get(request.key)
        if execution is None:
            execution = self._start(request, runner)
        elif execution.digest != claims.digest_of(request):
            return NotRun(
                Reason.key_reused,
                'Use a new idempotency key; this one names other work.',
            )
        with self.clock.move_on_after(self.clock.remaining(request.deadline)):
            await execution.finished.wait()
        return execution.outcome or IN_PROGRESS

    async def look_up(self, key: str) -> ClaimRow | Unavailable | None:
        """Return the claim row of *key*, or None if there is none."""
        rows = await self.store.read([claim_key(key)])
        if isinstance(rows, Unavailable):
            return rows
        return decode_row(rows[0], ClaimRow) if rows[0].version else None

    def _start(self, request: Request, runner: Runner) -> Execution:
        execution = Execution(request, uuid.uuid4().hex)
        self.executions[request.key] = execution
        self.unfinished += 1
        cast(trio.Nursery, self.nursery).start_soon(
            self._execute,
            execution,
            runner,
        )
        return execution

    async def _execute(self, execution: Execution, runner: Runner) -> None:
        try:
            await self._write_claim(execution, runner, ABSENT)
        except ProtocolError as error:
            self.log.error(
                'Invalid claim row.',
                key=execution.request.key,
                problem=str(error),
            )
        finally:
            if not execution.finished.is_set():
                execution.finish(Unknown(Reason.answer_lost, claims.ASK_AGAIN))
            self.executions.pop(execution.request.key)
            self.unfinished -= 1
            if not self.unfinished:
                self._idle.set()

    async def _write_claim(
        self,
        execution: Execution,
        runner: Runner,
        version: int,
    ) -> None:
        retention = self.kernel.settings['store']['claim_retention']
        row = claims.new_claim(
            execution.request,
            execution.attempt,
            self.clock.wall_time() + retention,
        )
        key = claim_key(execution.request.key)
        result = await self.row_writer.write(key, version, row)
        if isinstance(result, Written):
            await self._run(execution, runner, row, result.version)
        elif isinstance(result, NotWritten):
            execution.finish(STORE_DOWN)
        else:
            await self._handle_conflict(execution, runner, result)

    async def _handle_conflict(
        self,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        version = rival.row.version
        if version == ABSENT:
            await self._write_claim(execution, runner, ABSENT)
            return
        row = decode_row(rival.row, ClaimRow)
        status = claims.claim_status(row, execution.digest, execution.attempt)
        await self._continue(status, execution, runner, rival)

    @singledispatchmethod
    async def _continue(
        self,
        status: claims.ClaimStatus,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        raise NotImplementedError(type(status).__qualname__)

    @_continue.register
    async def _continue_resolved(
        self,
        status: claims.Resolved,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        execution.finish(status.outcome)

    @_continue.register
    async def _continue_released(
        self,
        status: claims.Released,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        await self._write_claim(execution, runner, rival.row.version)

    @_continue.register
    async def _continue_held_by_self(
        self,
        status: claims.HeldBySelf,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        row = decode_row(rival.row, ClaimRow)
        await self._run(execution, runner, row, rival.row.version)

    @_continue.register
    async def _continue_held_by_other(
        self,
        status: claims.HeldByOther,
        execution: Execution,
        runner: Runner,
        rival: Rival,
    ) -> None:
        while self.clock.remaining(execution.request.deadline):
            await self.clock.sleep(CLAIM_POLL_MS)
            row = await self.look_up(execution.request.key)
            if row is None or isinstance(row, Unavailable):
                continue
            if row['state'] != 'claimed':
                execution.finish(claims.recorded_outcome(row))
                return
        execution.finish(IN_PROGRESS)

    async def _run(
        self,
        execution: Execution,
        runner: Runner,
        row: ClaimRow,
        version: int,
    ) -> None:
        outcome: Outcome = DEADLINE_PASSED
        if self.clock.remaining(execution.request.deadline):
            outcome = await runner(execution.request)
        with self.clock.move_on_after(RECORD_TIMEOUT_MS) as scope:
            await self._record_outcome(execution, outcome, row, version)
        execution.finish(outcome)
        if scope.cancelled_caught:
            await self._record_outcome(execution, outcome, row, version)

    async def _record_outcome(
        self,
        execution: Execution,
        outcome: Outcome,
        row: ClaimRow,
        version: int,
    ) -> None:
        key = claim_key(execution.request.key)
        final_row = claims.record_outcome(outcome, row)
        result = await self.row_writer.write(key, version, final_row)
        while isinstance(result, NotWritten):
            await self.clock.sleep(CLAIM_POLL_MS)
            result = await self.row_writer.write(key, version, final_row)
        if isinstance(result, Rival):
            self.log.error(
                'Claim row changed by another writer.',
                key=execution.request.key,
            )
