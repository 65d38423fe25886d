"""
cyclamenshift.controls.dispatcher
=================================

Dispatches each request to a worker, owned by this entry VM or by a peer.
"""

import random
from functools import partial, singledispatchmethod
from typing import ClassVar

import trio

from ..component import Dump, Host
from ..control import Control
from ..decisions import limits, membership, retries, routing
from ..decisions.pool_queue import PoolQueue, SlotRequest
from ..endpoint import Endpoint
from ..forwarding import (
    Forward,
    decode_request,
    encode_outcome,
    forward_to_owner,
)
from ..model import (
    Done,
    Load,
    NotRun,
    Outcome,
    Reason,
    Request,
    VmState,
)
from ..peer import Payload, Peer
from ..plugin import register
from ..statusmessages import Loads, Versions
from .configuration import Configuration
from .membership import Membership
from .status_updates import PeerLoads, StatusReporter

#: Subtracted from the remaining time of a forwarded request, ms.
FORWARD_MARGIN_MS = 20
#: A peer refused for lack of a worker: it may have lost the ownership of the
#: workers since it was chosen, and a retry may find the new owner.
NOT_THE_OWNER = NotRun(
    Reason.refused,
    'Try again; the owners of the workers were changing.',
)
#: The reasons that count as a failure of the worker.
WORKER_FAULTS = frozenset(
    (
        Reason.answer_lost,
        Reason.deadline,
    )
)


@register
class Dispatcher(Control):
    """Queues and dispatches requests to the workers of this entry VM."""

    name = 'dispatcher'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 5

    def __init__(self, kernel: Host) -> None:
        """Start without workers, and register with the other components."""
        super().__init__(kernel)
        self.configuration = kernel.get(Configuration)
        self.membership = kernel.get(Membership)
        self.endpoint = kernel.get(Endpoint)
        self.peer = kernel.get(Peer)
        self.queues: dict[str, PoolQueue] = {}
        self.expected_slots: dict[str, dict[str, int]] = {}
        self.run_times = limits.RunTimes()
        self.retry_budget = retries.RetryBudget()
        self.in_flight = 0
        self.idle = trio.Event()
        self.slot_granted: dict[SlotRequest, trio.Event] = {}
        self.rng = random.Random(kernel.settings['entry']['id'])
        self.members = [self.membership.own]
        self.configuration.listeners.append(self.reassign_workers)
        self.peer_loads = PeerLoads()
        self.peer.add_call_handler(Forward, self._on_forward)
        self.peer.add_listener(Loads, self.peer_loads.record)
        self.peer.add_listener(Versions, self.configuration.on_versions)
        self.peer.add_reporter(
            partial(StatusReporter, self.configuration, self.queues),
        )
        self.peer.add_watcher(self._on_peer_change)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """
        Assign the workers, then grant free slots at each heartbeat.

        Changes of members and VMs arrive through callbacks.
        """
        self.reassign_workers()
        task_status.started()
        heartbeat = self.kernel.settings['peers']['heartbeat']
        while True:
            await self.clock.sleep(heartbeat)
            for queue in self.queues.values():
                if queue.waiting.total():
                    self.grant_slots(queue)

    async def drain(self) -> None:
        """Return when no request is in flight."""
        while self.in_flight:
            self.idle = trio.Event()
            await self.idle.wait()

    def dump(self) -> Dump:
        """Return the queues, their loads and the mean run times."""
        now = self.clock.now()
        return {
            'in_flight': self.in_flight,
            'retry_balance': round(self.retry_budget.balance, 1),
            'run_times_ms': {
                f'{service}/{kind}': round(mean, 1)
                for (service, kind), mean in self.run_times.means.items()
            },
            'pools': {
                pool: {
                    'load': queue.load(now)._asdict(),
                    'workers': sorted(queue.workers),
                    'ejected': sorted(queue.health.ejected),
                }
                for pool, queue in self.queues.items()
            },
        }

    def update_members(self) -> None:
        """Reassign the workers if the live members have changed."""
        members = membership.live_members(
            self.membership.registered,
            self.peer.reachable(),
            self.membership.own,
        )
        if members != self.members:
            self.members = members
            self.reassign_workers()

    def reassign_workers(self) -> None:
        """Recompute the owner of each serving worker."""
        serving = [
            vm
            for vm in self.configuration.vms.values()
            if vm.state is VmState.serving
        ]
        owners = {
            vm.vm_id: membership.owner_of(vm, self.members) for vm in serving
        }
        self.expected_slots = membership.slots_by_owner(serving, owners)
        own_id = self.membership.own.entry_id
        owned = {vm.vm_id: vm for vm in serving if owners[vm.vm_id] == own_id}
        for pool in {vm.pool for vm in serving} | self.queues.keys():
            queue = self.queue(pool)
            queue.replace_workers(
                {vm_id: vm for vm_id, vm in owned.items() if vm.pool == pool}
            )
            self.grant_slots(queue)
        self.peer.flush_updates()

    def queue(self, pool: str) -> PoolQueue:
        """Return the queue of *pool*, creating it if needed."""
        if pool not in self.queues:
            self.queues[pool] = PoolQueue(pool)
        return self.queues[pool]

    async def handle(self, request: Request) -> Outcome:
        """Dispatch *request*, with retries where allowed."""
        attempt = 1
        result: Outcome | None = None
        while True:
            outcome = await self._attempt(request)
            result = retries.outcome_of_all(outcome, result)
            if isinstance(outcome, Done):
                self.retry_budget.earn()
            if not self._should_retry(outcome, request, attempt):
                return result
            if isinstance(outcome, NotRun):
                await self.clock.sleep(attempt * retries.RETRY_DELAY_MS)
            attempt += 1

    async def run_locally(self, request: Request) -> Outcome:
        """Run *request* on a worker of this entry VM, never on a peer's."""
        self.in_flight += 1
        try:
            return await self._run_locally(request)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    def grant_slots(self, queue: PoolQueue) -> None:
        """Grant the free slots of *queue* to waiting requests."""
        for grant in queue.grant(self.clock.now()):
            self.slot_granted[grant.slot_request].set()

    async def _on_forward(self, entry_id: str, forward: Forward) -> Payload:
        return encode_outcome(
            await self.run_locally(decode_request(forward, self.clock.now())),
        )

    def _on_peer_change(self, entry_id: str) -> None:
        if entry_id not in self.peer.reachable():
            self.peer_loads.forget(entry_id)
        self.update_members()

    def _should_retry(
        self,
        outcome: Outcome,
        request: Request,
        attempt: int,
    ) -> bool:
        return (
            attempt < retries.ATTEMPT_LIMIT
            and self.clock.remaining(request.deadline) > 0
            and retries.may_retry(outcome, request)
            and self.retry_budget.spend()
        )

    async def _attempt(self, request: Request) -> Outcome:
        pool = self.configuration.pool_of(request.service)
        now = self.clock.now()
        route = routing.choose(
            self.queue(pool).load(now),
            self._remote_loads(pool),
            self.rng,
        )
        outcome = await self._dispatch(route, request)
        self.kernel.metrics.attempts.inc({'outcome': type(outcome).__name__})
        return outcome

    def _remote_loads(self, pool: str) -> dict[str, Load]:
        """
        Return the load of each peer that owns workers of *pool*.

        An owner that has not reported its load yet counts as fully busy.
        """
        reachable = self.peer.reachable()
        loads = {
            entry_id: Load(pool, slots, free=0, queued=0)
            for entry_id, slots in self.expected_slots.get(pool, {}).items()
            if entry_id in reachable
        }
        loads.update(self.peer_loads.of_pool(pool, reachable))
        return loads

    @singledispatchmethod
    async def _dispatch(
        self,
        route: routing.Route,
        request: Request,
    ) -> Outcome:
        raise NotImplementedError(type(route).__qualname__)

    @_dispatch.register
    async def _dispatch_local(
        self,
        route: routing.Local,
        request: Request,
    ) -> Outcome:
        return await self.run_locally(request)

    @_dispatch.register
    async def _dispatch_remote(
        self,
        route: routing.Remote,
        request: Request,
    ) -> Outcome:
        self.kernel.metrics.forwards.inc({'peer': route.entry_id})
        deadline = request.deadline - FORWARD_MARGIN_MS
        outcome = await forward_to_owner(
            self.peer,
            route.entry_id,
            request._replace(deadline=deadline),
            self.clock.remaining(deadline),
        )
        if _is_refused_for(outcome, Reason.no_worker):
            return NOT_THE_OWNER
        return outcome

    @_dispatch.register
    async def _dispatch_no_route(
        self,
        route: routing.NoRoute,
        request: Request,
    ) -> Outcome:
        return NotRun(
            Reason.no_worker,
            'Try again; no worker of this service is in reach now.',
            limits.MAX_RETRY_AFTER_MS,
        )

    async def _run_locally(self, request: Request) -> Outcome:
        queue = self.queue(self.configuration.pool_of(request.service))
        refused = self._admit(queue, request)
        if refused:
            return refused
        slot_request = SlotRequest(
            request.service,
            request.deadline,
            long=self._is_long(request),
        )
        if not await self._wait_for_slot(queue, slot_request):
            return NotRun(
                Reason.deadline,
                'Allow more time, or try again; every slot was taken.',
            )
        try:
            return await self._send(queue, slot_request, request)
        finally:
            queue.release(slot_request)
            self.grant_slots(queue)

    def _admit(self, queue: PoolQueue, request: Request) -> NotRun | None:
        active_config = self.configuration.active_config
        if active_config is None:
            return NotRun(Reason.no_worker, 'Try again; just started.')
        service = active_config.fleet['services'].get(request.service)
        if service is None:
            return NotRun(Reason.no_such_service, 'Name a service there is.')
        return limits.admit(
            queue.load(self.clock.now()),
            queue.waiting[request.service],
            service['queue'],
            self.run_times.mean(request.service, request.kind),
            self.clock.remaining(request.deadline),
        )

    def _is_long(self, request: Request) -> bool:
        active_config = self.configuration.active_config
        services = active_config.fleet['services'] if active_config else {}
        service = services.get(request.service)
        kind_fields = service['work'].get(request.kind) if service else None
        return self.run_times.is_long(
            request.service,
            request.kind,
            declared=bool(kind_fields and kind_fields['long']),
        )

    async def _wait_for_slot(
        self, queue: PoolQueue, slot_request: SlotRequest
    ) -> bool:
        granted = trio.Event()
        self.slot_granted[slot_request] = granted
        queue.enqueue(slot_request)
        self.grant_slots(queue)
        try:
            with self.clock.move_on_after(
                self.clock.remaining(slot_request.deadline),
            ):
                await granted.wait()
        except trio.Cancelled:
            if slot_request.worker:
                queue.release(slot_request)
            raise
        finally:
            self.slot_granted.pop(slot_request)
            queue.cancel(slot_request)
        return bool(slot_request.worker)

    async def _send(
        self,
        queue: PoolQueue,
        slot_request: SlotRequest,
        request: Request,
    ) -> Outcome:
        worker = queue.workers.get(slot_request.worker)
        if worker is None:
            return NotRun(Reason.refused, 'Try again; a worker has left.')
        started = self.clock.now()
        outcome = await self.endpoint.send(worker, request)
        now = self.clock.now()
        failed = _is_failure(outcome)
        if _is_refused_for(outcome, Reason.unreachable):
            queue.health.mark_unreachable(worker.vm_id, now)
        else:
            queue.health.record(worker.vm_id, now, failed=failed)
        if isinstance(outcome, Done) and not failed:
            elapsed = now - started
            self.run_times.record(request.service, request.kind, elapsed)
        return outcome


def _is_refused_for(outcome: Outcome, reason: Reason) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is reason


def _is_failure(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return outcome.status >= retries.SERVER_ERROR
    return outcome.reason in WORKER_FAULTS
