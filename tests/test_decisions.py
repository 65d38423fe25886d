"""
tests.test_decisions
====================

Unit tests of lanes, health, limits, retries, routing and ownership.
"""

import random

from hypothesis import given, settings, strategies

from cyclamenshift.decisions import limits, retries, routing
from cyclamenshift.decisions.health import (
    EJECT_SHARE,
    PROBE_DELAY_MS,
    UNREACHABLE_DELAY_MS,
    Health,
)
from cyclamenshift.decisions.membership import owner_of
from cyclamenshift.decisions.pool_queue import (
    RESERVE_DIVISOR,
    PoolQueue,
    SlotRequest,
)
from cyclamenshift.model import Done, NotRun, Reason, Unknown, Vm

from . import builders


def queue_of(*vms: Vm) -> PoolQueue:
    """Return a queue that owns *vms*."""
    queue = PoolQueue('desk')
    queue.replace_workers({vm.vm_id: vm for vm in vms})
    return queue


def add_slot_request(
    queue: PoolQueue, deadline: int, *, long: bool = False
) -> SlotRequest:
    """Add a slot request to *queue* and return it."""
    slot_request = SlotRequest('desk', deadline, long=long)
    queue.enqueue(slot_request)
    return slot_request


def test_long_work_leaves_reserved_slots() -> None:
    """However much long work waits, short work gets a slot at once."""
    vms = [
        builders.vm(f'desk-{number}', rack=f'rack-{number % 2}')
        for number in range(4)
    ]
    queue = queue_of(*vms)
    for deadline in range(100):
        add_slot_request(queue, deadline, long=True)
    granted = queue.grant(0)
    slots = sum(vm.slots for vm in vms)
    assert len(granted) == slots - slots // RESERVE_DIVISOR
    short = add_slot_request(queue, 1)
    assert [grant.slot_request for grant in queue.grant(0)] == [short]


def test_earliest_deadline_first() -> None:
    """Within a lane the request with the earliest deadline goes first."""
    queue = queue_of(builders.vm(slots=1))
    slot_requests = [
        add_slot_request(queue, deadline) for deadline in (30, 10, 20)
    ]
    order = []
    while queue.waiting.total():
        (grant,) = queue.grant(0)
        order.append(grant.slot_request)
        queue.release(grant.slot_request)
    assert order == [slot_requests[1], slot_requests[2], slot_requests[0]]


def test_cancelled_slot_request_takes_no_slot() -> None:
    """A cancelled request, even one cancelled twice, gets no slot."""
    queue = queue_of(builders.vm(slots=1))
    slot_requests = [
        add_slot_request(queue, deadline) for deadline in range(50)
    ]
    for slot_request in slot_requests[:49]:
        queue.cancel(slot_request)
        queue.cancel(slot_request)
    assert queue.waiting.total() == 1
    assert [grant.slot_request for grant in queue.grant(0)] == [
        slot_requests[49]
    ]


def test_work_spreads_over_workers() -> None:
    """The worker with the most free slots gets the next request."""
    queue = queue_of(*(builders.vm(f'desk-{name}') for name in 'abcd'))
    for deadline in range(8):
        add_slot_request(queue, deadline)
    queue.grant(0)
    assert set(queue.busy.values()) == {2}


def test_failing_worker_is_ejected_and_probed() -> None:
    """An ejected worker gets one probe, and is used again if that succeeds."""
    health = Health()
    for number in range(20):
        for worker in ('a', 'b', 'c', 'd'):
            health.record(worker, number, failed=worker == 'a')
    assert not health.usable('a', 20, 0)
    probe_at = 20 + PROBE_DELAY_MS
    assert health.usable('a', probe_at, 0)
    assert not health.usable('a', probe_at, 1)
    health.record('a', probe_at, failed=False)
    assert health.usable('a', probe_at, 5)


def test_ejection_is_bounded() -> None:
    """However many workers fail, at most EJECT_SHARE of them are ejected."""
    health = Health()
    workers = [f'worker-{number}' for number in range(8)]
    for now in range(30):
        for number, worker in enumerate(workers):
            health.record(worker, now, failed=number < 6)
    assert len(health.ejected) <= EJECT_SHARE * len(workers)


def test_unreachable_worker_is_excluded_for_a_delay() -> None:
    """A refused connection is unambiguous, so one of them is enough."""
    health = Health()
    health.mark_unreachable('a', 100)
    assert not health.usable('a', 100, 0)
    assert health.usable('a', 100 + UNREACHABLE_DELAY_MS, 0)


def test_measured_run_times_override_the_declaration() -> None:
    """Work that is declared ten times too long or short changes its lane."""
    learned = limits.RunTimes()
    assert learned.is_long('desk', 'report', declared=True)
    for _run in range(50):
        learned.record('desk', 'report', 100)
        learned.record('desk', 'look-up', 10_000)
    assert not learned.is_long('desk', 'report', declared=True)
    assert learned.is_long('desk', 'look-up', declared=False)


def test_requests_that_would_miss_their_deadline_are_refused() -> None:
    """The refusal is immediate and contains a retry delay."""
    busy = builders.load(free=0, queued=40)
    refused = limits.admit(busy, 40, 100, mean_run=100, remaining=200)
    assert refused == NotRun(
        Reason.deadline,
        'Allow more time, or try again; the wait is too long.',
        round(100 * 41 / 8),
    )
    assert limits.admit(busy, 40, 100, mean_run=100, remaining=1_000) is None
    full = limits.admit(busy, 100, 100, mean_run=1, remaining=1_000)
    assert full is not None
    assert full.reason is Reason.queue_full


def test_retry_budget_is_a_share_of_successes() -> None:
    """A burst of failures spends only the balance; successes earn more."""
    budget = retries.RetryBudget()
    spent = sum(budget.spend() for _retry in range(1_000))
    assert spent == retries.RETRY_BALANCE
    for _success in range(100):
        budget.earn()
    again = sum(budget.spend() for _retry in range(1_000))
    assert again <= 100 * retries.RETRY_SHARE


def test_retry_conditions() -> None:
    """Unknown and failed outcomes are retried only for repeatable work."""
    lookup = builders.request()
    booking = builders.booking()
    unknown = Unknown(Reason.answer_lost, 'ask')
    failed = Done(500, '', b'')
    refused = NotRun(Reason.refused, 'again')
    missed = NotRun(Reason.deadline, 'more time')
    allowed = [
        [retries.may_retry(outcome, request) for request in (lookup, booking)]
        for outcome in (unknown, failed, refused, missed)
    ]
    assert allowed == [
        [True, False],
        [True, False],
        [True, True],
        [False, False],
    ]


def test_routing_order() -> None:
    """Own free slots come first, then free peers, then the shortest queue."""
    rng = random.Random(1)
    idle = builders.load()
    busy = builders.load(free=0, queued=9)
    queued = builders.load(free=0, queued=3)
    none = builders.load(slots=0, free=0)
    assert routing.choose(idle, {'b': idle}, rng) == routing.Local()
    assert routing.choose(busy, {'b': idle}, rng) == routing.Remote('b')
    assert routing.choose(busy, {'b': queued}, rng) == routing.Remote('b')
    assert routing.choose(queued, {'b': busy}, rng) == routing.Local()
    assert routing.choose(none, {'b': none}, rng) == routing.NoRoute()


@settings(derandomize=True, database=None)
@given(strategies.integers(2, 9), strategies.integers(0, 8))
def test_only_workers_of_a_lost_member_change_owner(
    count: int, lost_index: int
) -> None:
    """Rendezvous hashing keeps the owner of every other worker."""
    members = [builders.entry_vm(f'entry-{number}') for number in range(count)]
    lost_member = members[lost_index % count]
    remaining = [member for member in members if member is not lost_member]
    for number in range(40):
        vm = builders.vm(f'desk-{number}')
        former_owner = owner_of(vm, members)
        assert (
            former_owner == lost_member.entry_id
            or owner_of(vm, remaining) == former_owner
        )


def test_owner_in_the_same_data_centre_is_preferred() -> None:
    """An entry VM in the worker's data centre is preferred, if any."""
    local = builders.entry_vm('local', data_centre='dc-9')
    remote = [builders.entry_vm(f'entry-{number}') for number in range(6)]
    vm = builders.vm(data_centre='dc-9')
    assert owner_of(vm, [*remote, local]) == 'local'
    assert owner_of(vm, remote) != 'local'


def test_answers_count_despite_a_slow_worker_clock() -> None:
    """Each answer counts as contact, however slow the worker's clock is."""
    lease = builders.lease()
    for second in range(10):
        delay = 50 if second else 0
        now = second * 1_000 + delay
        lease.observe(second * 980, now)
        assert lease.heard_since(now)
