"""
tests.test_decisions
====================

Lanes, health, limits, retries, routing and ownership, as plain calls.
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
from cyclamenshift.decisions.pool_queue import (
    RESERVE_DIVISOR,
    PoolQueue,
    SlotRequest,
)
from cyclamenshift.decisions.leases import Lease
from cyclamenshift.decisions.membership import owner_of
from cyclamenshift.model import Done, NotRun, Reason, Unknown, Vm

from . import builders


def queue_of(*vms: Vm) -> PoolQueue:
    """Return a queue that owns *vms*."""
    queue = PoolQueue('desk')
    queue.replace_workers({vm.vm_id: vm for vm in vms})
    return queue


def offer(
    queue: PoolQueue, deadline: int, *, long: bool = False
) -> SlotRequest:
    """Return a new ticket that waits in *queue*."""
    slot_request = SlotRequest('desk', deadline, long=long)
    queue.enqueue(slot_request)
    return slot_request


def test_long_work_leaves_a_reserve_in_each_rack() -> None:
    """However much long work waits, short work finds a slot at once."""
    racks = [
        builders.vm(f'desk-{number}', rack=f'rack-{number % 2}')
        for number in range(4)
    ]
    queue = queue_of(*racks)
    for deadline in range(100):
        offer(queue, deadline, long=True)
    granted = queue.grant(0)
    slots = sum(vm.slots for vm in racks)
    assert len(granted) == slots - slots // RESERVE_DIVISOR
    short = offer(queue, 1)
    assert [grant.slot_request for grant in queue.grant(0)] == [short]


def test_earliest_deadline_first() -> None:
    """Within a lane the ticket with the least time left goes first."""
    queue = queue_of(builders.vm(slots=1))
    tickets = [offer(queue, deadline) for deadline in (30, 10, 20)]
    order = []
    while queue.waiting.total():
        (grant,) = queue.grant(0)
        order.append(grant.slot_request)
        queue.release(grant.slot_request)
    assert order == [tickets[1], tickets[2], tickets[0]]


def test_cancelled_ticket_takes_no_slot() -> None:
    """A wave of cancellations leaves the rest in order."""
    queue = queue_of(builders.vm(slots=1))
    tickets = [offer(queue, deadline) for deadline in range(50)]
    for slot_request in tickets[:49]:
        queue.cancel(slot_request)
        queue.cancel(slot_request)
    assert queue.waiting.total() == 1
    assert [grant.slot_request for grant in queue.grant(0)] == [tickets[49]]


def test_work_spreads_over_workers() -> None:
    """The worker with the most free slots is next."""
    queue = queue_of(*(builders.vm(f'desk-{name}') for name in 'abcd'))
    for deadline in range(8):
        offer(queue, deadline)
    queue.grant(0)
    assert set(queue.busy.values()) == {2}


def test_worker_that_fails_everything_is_ejected_and_probed() -> None:
    """It gets nothing, then one probe, and comes back when that works."""
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
    """When all fail at once, no more than the share is ejected."""
    health = Health()
    workers = [f'worker-{number}' for number in range(8)]
    for now in range(30):
        for number, worker in enumerate(workers):
            health.record(worker, now, failed=number < 6)
    assert len(health.ejected) <= EJECT_SHARE * len(workers)


def test_unreachable_worker_is_left_out_for_a_moment() -> None:
    """A refused connection is certain, so it counts at once."""
    health = Health()
    health.mark_unreachable('a', 100)
    assert not health.usable('a', 100, 0)
    assert health.usable('a', 100 + UNREACHABLE_DELAY_MS, 0)


def test_run_times_are_learned_over_what_is_declared() -> None:
    """Declared wrong by ten times either way, work finds its lane."""
    learned = limits.RunTimes()
    assert learned.is_long('desk', 'report', declared=True)
    for _run in range(50):
        learned.record('desk', 'report', 100)
        learned.record('desk', 'look-up', 10_000)
    assert not learned.is_long('desk', 'report', declared=True)
    assert learned.is_long('desk', 'look-up', declared=False)


def test_requests_that_can_not_be_in_time_are_shed() -> None:
    """The refusal comes at once and says when to try again."""
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


def test_retries_are_a_share_of_successes() -> None:
    """A burst of failures spends the balance and then no more."""
    budget = retries.RetryBudget()
    spent = sum(budget.spend() for _retry in range(1_000))
    assert spent == retries.RETRY_BALANCE
    for _success in range(100):
        budget.earn()
    again = sum(budget.spend() for _retry in range(1_000))
    assert again <= 100 * retries.RETRY_SHARE


def test_what_may_be_retried() -> None:
    """Unknown and failed work only where it is repeatable."""
    lookup = builders.request()
    booking = builders.booking()
    unknown = Unknown(Reason.answer_lost, 'ask')
    failed = Done(500, '', b'')
    refused = NotRun(Reason.refused, 'again')
    late = NotRun(Reason.deadline, 'more time')
    allowed = [
        [retries.may_retry(outcome, request) for request in (lookup, booking)]
        for outcome in (unknown, failed, refused, late)
    ]
    assert allowed == [
        [True, False],
        [True, False],
        [True, True],
        [False, False],
    ]


def test_routes() -> None:
    """Own free slots, then free peers, then the shortest queue."""
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
def test_only_the_workers_of_a_lost_member_move(count: int, lost: int) -> None:
    """Rendezvous hashing leaves every other worker where it was."""
    members = [builders.entry_vm(f'entry-{number}') for number in range(count)]
    gone = members[lost % count]
    left = [member for member in members if member is not gone]
    for number in range(40):
        vm = builders.vm(f'desk-{number}')
        before = owner_of(vm, members)
        assert before == gone.entry_id or owner_of(vm, left) == before


def test_owner_is_near_where_there_is_one() -> None:
    """Entry VMs of the worker's data centre come first."""
    near = builders.entry_vm('near', data_centre='dc-9')
    far = [builders.entry_vm(f'entry-{number}') for number in range(6)]
    vm = builders.vm(data_centre='dc-9')
    assert owner_of(vm, [*far, near]) == 'near'
    assert owner_of(vm, far) != 'near'


def test_slow_clock_of_a_worker_that_answers() -> None:
    """A worker is heard of by each answer, however slow its clock is."""
    lease = Lease(prior_leases_until=0)
    for second in range(10):
        delay = 50 if second else 0
        now = second * 1_000 + delay
        lease.observe(second * 980, now)
        assert lease.heard_since(now)
