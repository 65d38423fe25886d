"""
tests.test_platform_answers
===========================

What the answers of the platform's store and of its VM provider prove.
"""

from typing import Any

import msgspec
import pytest
import trio

from cyclamenshift import kernel
from cyclamenshift.clock import Clock
from cyclamenshift.platform.store import PlatformStore
from cyclamenshift.platform.vms import PlatformVms
from cyclamenshift.provider import (
    FencingToken,
    VmAccepted,
    VmRefusal,
    VmRefused,
    VmResult,
    VmUnanswered,
)
from cyclamenshift.store import (
    Committed,
    Conflict,
    Rejected,
    Transaction,
    Unavailable,
    Uncertain,
)

from .builders import WALL_START, entry_settings
from .standins.answers import Answer, AnsweringClient


async def commit_answered(answer: Answer) -> object:
    """Return the result of a transaction that gets *answer*."""
    settings = entry_settings('entry-1', store={'address': '127.0.0.1:1'})
    store = PlatformStore(kernel.build(settings, Clock(WALL_START), []))
    store.client = AnsweringClient(answer)  # type: ignore[assignment]
    return await store.commit(Transaction((), ()))


@pytest.mark.parametrize(
    'answer',
    [
        *(Answer(status) for status in (201, 307, 404, 408, 500, 502, 504)),
        Answer(500, b'{"ver":5}'),
        Answer(412, b'[]'),
        Answer(200, b''),
        Answer(200, b'\xff'),
        Answer(200, b'[]'),
        Answer(200, b'{"ver":"5"}'),
        Answer(200, b'{"ver":5'),
    ],
)
async def test_transaction_answered_without_a_proof_had_no_effect(
    answer: Answer,
) -> None:
    """It may have been performed, or may be performed later."""
    assert isinstance(await commit_answered(answer), Uncertain)


@pytest.mark.parametrize('status', [403, 429, 503, 507])
async def test_transaction_that_was_refused_had_no_effect(status: int) -> None:
    """The store says so by the status."""
    assert isinstance(await commit_answered(Answer(status)), Unavailable)


@pytest.mark.parametrize('status', [400, 413])
async def test_transaction_that_is_never_accepted_is_repeated(
    status: int,
) -> None:
    """It was taken for a call to a store that is not reachable."""
    assert isinstance(await commit_answered(Answer(status)), Rejected)


async def test_transaction_that_was_answered_is_decided() -> None:
    """A body may be empty but for its braces."""
    assert await commit_answered(Answer(200, b'{"ver":5}')) == Committed(5)
    assert await commit_answered(Answer(412, b'{"rows":[]}')) == Conflict(())


def vms_answered(answer: Answer) -> PlatformVms:
    """Return a client of VMs whose calls all get *answer*."""
    settings = entry_settings(
        'entry-1', entry={'work': 'jobs'}, jobs={'provider': '127.0.0.1:1'}
    )
    client = PlatformVms(kernel.build(settings, Clock(WALL_START), []))
    client.client = AnsweringClient(answer)  # type: ignore[assignment]
    return client


async def give_vm_orders(answer: Answer) -> set[VmResult]:
    """Return the results of a move and a maintenance that get *answer*."""
    vms = vms_answered(answer)
    token = FencingToken('entry-1', 1)
    return {
        await vms.move('vm-1', 'desk', token),
        await vms.maintain('vm-1', 1, token),
    }


@pytest.mark.parametrize(
    'answer',
    [
        *(Answer(status) for status in (201, 307, 404, 408, 500, 502, 504)),
        Answer(500, b'{"reason":"busy"}'),
        Answer(409),
        Answer(409, b'{"reason":"other"}'),
        Answer(409, b'{"reason":["busy"]}'),
        Answer(409, b'["busy"]'),
    ],
)
async def test_order_for_a_vm_without_a_proof_was_refused_for_good(
    answer: Answer,
) -> None:
    """The VM was never moved there again, though it may have been."""
    (result,) = await give_vm_orders(answer)
    assert isinstance(result, VmUnanswered)
    assert result.sent


@pytest.mark.parametrize(
    ('answer', 'result'),
    [
        (Answer(200), VmAccepted()),
        (Answer(400), VmRefused(VmRefusal.impossible)),
        (Answer(409, b'{"reason":"fence"}'), VmRefused(VmRefusal.fenced)),
        (Answer(409, b'{"reason":"busy"}'), VmRefused(VmRefusal.busy)),
        (Answer(409, b'{"reason":"wave"}'), VmRefused(VmRefusal.not_listed)),
        (Answer(429), VmRefused(VmRefusal.over_rate)),
        (Answer(503), VmUnanswered(False, 'the platform is busy')),
    ],
)
async def test_order_for_a_vm_is_decided(
    answer: Answer, result: VmResult
) -> None:
    """A refusal had no effect."""
    assert await give_vm_orders(answer) == {result}


def machine_fields(**overrides: Any) -> dict[str, Any]:
    """Return a machine as the provider lists it."""
    values: dict[str, Any] = {
        'machine': 'vm-1',
        'pool': 'desk',
        'state': 'up',
        'zone': 'dc-1',
        'labels': ['small', 'rack-1'],
        'capacity': {'cpu': 8_000, 'memMb': 1},
        'id': 'worker-1',
    }
    return values | overrides


async def list_vms(status: int, page: Any) -> object:
    """Return the list of VMs when each page is *page*."""
    answer = Answer(status, msgspec.json.encode(page))
    with trio.fail_after(1):
        return await vms_answered(answer).list_vms()


async def test_list_of_vms_that_repeats_a_page_never_ended() -> None:
    """The memory of the process was filled with the same page."""
    page = {'machines': [machine_fields()], 'nextToken': 'vm-1'}
    assert isinstance(await list_vms(200, page), VmUnanswered)


@pytest.mark.parametrize('status', [201, 307, 404, 429, 500, 502, 503])
async def test_list_of_vms_in_an_error_was_used(status: int) -> None:
    """The body of an error lists no VMs."""
    assert isinstance(await list_vms(status, {'machines': []}), VmUnanswered)


@pytest.mark.parametrize(
    'odd',
    [
        {'machine': 5},
        {'capacity': {'cpu': -1}},
        {'capacity': {'cpu': 10**30}},
        {'labels': 'a'},
        {'labels': [None]},
        {'state': None},
        {'id': 5},
    ],
)
async def test_odd_vm_is_an_unreadable_list(odd: dict[str, Any]) -> None:
    """A VM that is left out could be taken for one that is gone."""
    page = {'machines': [machine_fields(), machine_fields(**odd)]}
    assert isinstance(await list_vms(200, page), VmUnanswered)
