"""
cyclamenshift.controls.claims
=============================

Lets work that may not be repeated run at most once for each key.

The claim row is in the table before the request is dispatched, and only
the attempt that holds it dispatches.  A claim is never taken over by time.
Until the row has been seen nobody can say that the work did not run, so
no outcome is not-run before that.
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

#: How often a held claim is looked at, ms.
HELD_POLL_MS = 100
#: How long an answer waits for its record, ms.
RECORD_WAIT_MS = 1_000

#: This attempt did not run; an earlier one with the key may have.
STORE_DOWN = Unknown(
    Reason.store_down,
    'Send it again with the same key when the store is back.',
)
IN_PROGRESS = Unknown(Reason.in_progress, claims.ASK_AGAIN)
TOO_LATE = NotRun(
    Reason.deadline,
    'Allow more time, or try again with the same key.',
)


class Flight:
    """One attempt at a claimed request, shared by callers of this process."""

    def __init__(self, request: Request, attempt: str) -> None:
        """Start undecided."""
        self.request = request
        self.attempt = attempt
        self.digest = claims.digest_of(request)
        self.outcome: Outcome | None = None
        self.ended = trio.Event()

    def end(self, outcome: Outcome) -> None:
        """Give *outcome* to every caller that waits."""
        self.outcome = outcome
        self.ended.set()


@register
class Claims(Control):
    """Carries each claimed request in a task that outlives its caller."""

    name = 'claims'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 7

    def __init__(self, kernel: Host) -> None:
        """Start with no flight."""
        super().__init__(kernel)
        self.store = kernel.get(Store)
        self.row_writer = kernel.get(RowWriter)
        self.flights: dict[str, Flight] = {}
        self.nursery: trio.Nursery | None = None
        self.unfinished = 0
        self._idle = trio.Event()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Hold the nursery of the flights."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Return when each flight has ended and its record is written."""
        while self.unfinished:
            self._idle = trio.Event()
            await self._idle.wait()

    def dump(self) -> Dump:
        """Return the keys in flight."""
        return {'flights': sorted(self.flights), 'carried': self.unfinished}

    async def run_once(self, request: Request, runner: Runner) -> Outcome:
        """Return the one outcome of *request*, running it at most once."""
        flight = self.flights.get(request.key)
        if flight is None:
            flight = self._launch(request, runner)
        elif flight.digest != claims.digest_of(request):
            return NotRun(
                Reason.key_reused,
                'Use a new idempotency key; this one names other work.',
            )
        with self.clock.move_on_after(self.clock.remaining(request.deadline)):
            await flight.ended.wait()
        return flight.outcome or IN_PROGRESS

    async def look_up(self, key: str) -> ClaimRow | Unavailable | None:
        """Return the claim row of *key*, None if there is none."""
        rows = await self.store.read([claim_key(key)])
        if isinstance(rows, Unavailable):
            return rows
        return decode_row(rows[0], ClaimRow) if rows[0].version else None

    def _launch(self, request: Request, runner: Runner) -> Flight:
        flight = Flight(request, uuid.uuid4().hex)
        self.flights[request.key] = flight
        self.unfinished += 1
        cast(trio.Nursery, self.nursery).start_soon(
            self._carry,
            flight,
            runner,
        )
        return flight

    async def _carry(self, flight: Flight, runner: Runner) -> None:
        try:
            await self._claim(flight, runner, ABSENT)
        except ProtocolError as error:
            self.log.error(
                'A claim is not read.',
                key=flight.request.key,
                problem=str(error),
            )
        finally:
            if not flight.ended.is_set():
                flight.end(Unknown(Reason.answer_lost, claims.ASK_AGAIN))
            self.flights.pop(flight.request.key)
            self.unfinished -= 1
            if not self.unfinished:
                self._idle.set()

    async def _claim(
        self,
        flight: Flight,
        runner: Runner,
        version: int,
    ) -> None:
        retention = self.kernel.settings['store']['claim_retention']
        row = claims.new_claim(
            flight.request,
            flight.attempt,
            self.clock.wall_time() + retention,
        )
        key = claim_key(flight.request.key)
        result = await self.row_writer.write(key, version, row)
        if isinstance(result, Written):
            await self._run(flight, runner, row, result.version)
        elif isinstance(result, NotWritten):
            flight.end(STORE_DOWN)
        else:
            await self._meet(flight, runner, result)

    async def _meet(self, flight: Flight, runner: Runner, rival: Rival) -> None:
        version = rival.row.version
        if version == ABSENT:
            await self._claim(flight, runner, ABSENT)
            return
        row = decode_row(rival.row, ClaimRow)
        status = claims.claim_status(row, flight.digest, flight.attempt)
        await self._stand(status, flight, runner, rival)

    @singledispatchmethod
    async def _stand(
        self,
        status: claims.ClaimStatus,
        flight: Flight,
        runner: Runner,
        rival: Rival,
    ) -> None:
        raise NotImplementedError(type(status).__qualname__)

    @_stand.register
    async def _stand_settled(
        self,
        status: claims.Resolved,
        flight: Flight,
        runner: Runner,
        rival: Rival,
    ) -> None:
        flight.end(status.outcome)

    @_stand.register
    async def _stand_free(
        self,
        status: claims.Released,
        flight: Flight,
        runner: Runner,
        rival: Rival,
    ) -> None:
        await self._claim(flight, runner, rival.row.version)

    @_stand.register
    async def _stand_mine(
        self,
        status: claims.HeldBySelf,
        flight: Flight,
        runner: Runner,
        rival: Rival,
    ) -> None:
        row = decode_row(rival.row, ClaimRow)
        await self._run(flight, runner, row, rival.row.version)

    @_stand.register
    async def _stand_held(
        self,
        status: claims.HeldByOther,
        flight: Flight,
        runner: Runner,
        rival: Rival,
    ) -> None:
        while self.clock.remaining(flight.request.deadline):
            await self.clock.sleep(HELD_POLL_MS)
            row = await self.look_up(flight.request.key)
            if row is None or isinstance(row, Unavailable):
                continue
            if row['state'] != 'claimed':
                flight.end(claims.recorded_outcome(row))
                return
        flight.end(IN_PROGRESS)

    async def _run(
        self,
        flight: Flight,
        runner: Runner,
        row: ClaimRow,
        version: int,
    ) -> None:
        outcome: Outcome = TOO_LATE
        if self.clock.remaining(flight.request.deadline):
            outcome = await runner(flight.request)
        with self.clock.move_on_after(RECORD_WAIT_MS) as scope:
            await self._record(flight, outcome, row, version)
        flight.end(outcome)
        if scope.cancelled_caught:
            await self._record(flight, outcome, row, version)

    async def _record(
        self,
        flight: Flight,
        outcome: Outcome,
        row: ClaimRow,
        version: int,
    ) -> None:
        key = claim_key(flight.request.key)
        wanted = claims.record_outcome(outcome, row)
        result = await self.row_writer.write(key, version, wanted)
        while isinstance(result, NotWritten):
            await self.clock.sleep(HELD_POLL_MS)
            result = await self.row_writer.write(key, version, wanted)
        if isinstance(result, Rival):
            self.log.error('A claim has moved.', key=flight.request.key)
