"""
tests.test_account_keys
=======================

Which calls a client account may make, under which version of its keys.
"""

from collections.abc import AsyncIterator, Mapping
from typing import Any, Final

import msgpack
import pytest
import trio
from trio.testing import MockClock
from werkzeug.datastructures import Headers

from cyclamenshift import kernel
from cyclamenshift.clock import MS_PER_SECOND, Clock
from cyclamenshift.controls.job_access import NoSuchJob, Stored
from cyclamenshift.decisions.accounts import keys
from cyclamenshift.directory import Catalog
from cyclamenshift.job import JobState
from cyclamenshift.jobmessages import JobOffer
from cyclamenshift.jobrows import job_row
from cyclamenshift.peer import Notification
from cyclamenshift.peers.frames import Decoder, encode
from cyclamenshift.platform.configuration import (
    CONFIG_KEY,
    ConfigBody,
    decode_catalog,
)
from cyclamenshift.platform.directory import PlatformDirectory
from cyclamenshift.platform.frontend import PlatformFrontend
from cyclamenshift.platform.wire import OPERATOR_TABLE, Unreadable, convert
from cyclamenshift.store import Key, Transaction, Write

from .builders import (
    WALL_START,
    account,
    configuration_fields,
    entry_settings,
    job,
    tenant_fields,
)
from .standins.jobs import WAIT_MS, JobCluster
from .standins.shared_store import FakeStore, SharedStore
from .test_late_configuration import APPLY_MS, IdleJobAccess

CONFIG_ROW: Final = Key(OPERATOR_TABLE, CONFIG_KEY)
#: Changes of an account that make a configuration unusable.
ODD_TENANTS: Final[Mapping[str, dict[str, Any]]] = {
    'negative limit': {'maxCount': {'cpu': -1}},
    'limit that is no number': {'maxCount': {'cpu': 'many'}},
    'empty key': {'apiKeys': ['']},
    'key of 10,000 characters': {'apiKeys': ['k' * 10_000]},
    'key that is no text': {'apiKeys': [7]},
    'negative weight': {'weight': -1},
    'no name': {'name': ''},
    'key of another account': {'apiKeys': ['key-of-account-2']},
    'name of another account': {'name': 'account-2'},
}


def fields_with(
    version: int, *tenants: dict[str, Any], open_routes: int = 0
) -> dict[str, Any]:
    """Return a configuration whose first *open_routes* need no key."""
    fields = configuration_fields(version)
    for route in fields['routes'][:open_routes]:
        route['noAuth'] = True
    return fields | {'tenants': list(tenants)}


def decode(fields: dict[str, Any]) -> Catalog | Unreadable:
    """Decode the fields of the operator's row."""
    body = convert(fields, ConfigBody)
    return body if isinstance(body, Unreadable) else decode_catalog(body)


@pytest.mark.parametrize('odd', ODD_TENANTS)
def test_unusable_account_makes_the_configuration_unusable(odd: str) -> None:
    """An account with half of its fields would have been served by chance."""
    other = tenant_fields('account-2')
    changed = tenant_fields() | ODD_TENANTS[odd]
    result = decode(fields_with(2, other, changed))
    assert isinstance(result, Unreadable)
    assert 'key-of' not in result.reason


def test_missing_limit_makes_the_configuration_unusable() -> None:
    """An account whose limit was forgotten would have run without one."""
    fields = tenant_fields()
    fields.pop('maxCount')
    assert isinstance(decode(fields_with(2, fields)), Unreadable)


def test_account_without_keys_and_unknown_fields_are_accepted() -> None:
    """An account that has lost its last key made its jobs disappear."""
    fields = tenant_fields(apiKeys=[], colour='blue')
    catalog = decode(fields_with(2, fields))
    assert isinstance(catalog, Catalog)
    assert catalog.accounts['account-1'].key_digests == ()


def test_queues_are_open_where_there_are_no_accounts() -> None:
    """Deployments without accounts are served as before."""
    catalog = decode(configuration_fields(1))
    assert isinstance(catalog, Catalog)
    assert all(queue.open_access for queue in catalog.queues.values())


def test_key_is_found_among_all_accounts() -> None:
    """The result must not depend on the order of the accounts."""
    accounts = [account(f'account-{number}') for number in range(3)]
    assert keys.account_of(accounts, 'key-of-account-1') == 'account-1'
    assert keys.account_of(accounts, 'key-of-account-9') is None
    assert keys.account_of(accounts, 'k\udcff' * 10_000) is None


def test_rows_without_account_are_encoded_as_before() -> None:
    """Builds without accounts reject an array with a field more."""
    assert len(job_row(job())['job']) == len(job()) - 1
    owned = job_row(job(account='account-1'))['job']
    assert owned.account == 'account-1'


def test_messages_without_account_are_encoded_as_before() -> None:
    """Builds without accounts reject an array with a field more."""
    offer = Notification(JobOffer('desk', job()))
    (received,) = Decoder(10_000).feed(encode(offer))
    assert received == offer
    payload = msgpack.unpackb(encode(offer))[-1]
    assert len(payload[-1]) == len(job()) - 1


@pytest.fixture
async def entry(
    nursery: trio.Nursery, autojump_clock: MockClock
) -> AsyncIterator[kernel.Kernel]:
    """Provide an entry VM on which an account has a key."""
    bound_store = type('BoundStore', (FakeStore,), {'store': SharedStore()})
    built = kernel.build(
        entry_settings(),
        Clock(WALL_START),
        [bound_store, PlatformDirectory, IdleJobAccess, PlatformFrontend],
    )
    put(built, fields_with(1, tenant_fields(), open_routes=1))
    directory = built.get(PlatformDirectory)
    nursery.start_soon(directory.run)
    await wait_for_version(built, 1)
    yield built
    nursery.cancel_scope.cancel()


def put(entry: kernel.Kernel, fields: dict[str, Any]) -> None:
    """Write a configuration as the operator does."""
    table = entry.get(FakeStore).store.table
    table.commit(Transaction((), (Write(CONFIG_ROW, fields),)))


async def wait_for_version(entry: kernel.Kernel, version: int) -> None:
    """Wait until a version of the configuration is active."""
    directory = entry.get(PlatformDirectory)
    while directory.catalog is None or directory.catalog.version < version:
        await directory.wait_for_change()


async def status_of(
    entry: kernel.Kernel, path: str, *used_keys: str, method: str = 'GET'
) -> int:
    """Return the status of the answer to a call with these key headers."""
    client = entry.get(PlatformFrontend).app.test_client()
    headers = Headers([('Host', 'jobs.example')])
    for key in used_keys:
        headers.add('X-Key', key)
    calls = {'GET': client.get, 'POST': client.post, 'DELETE': client.delete}
    response = await calls[method](path, headers=headers)
    return int(response.status_code)


async def test_key_is_required_unless_the_queue_is_open(
    entry: kernel.Kernel,
) -> None:
    """Jobs of callers whose key no configuration ever held were run."""
    assert await status_of(entry, '/route-0/') == 200
    assert await status_of(entry, '/route-0/', 'unknown') == 200
    assert await status_of(entry, '/route-1/', 'key-of-account-1') == 200
    refused = [(), ('unknown',), ('k' * 10_000,), ('key-of-account-1', 'x')]
    for used in refused:
        assert await status_of(entry, '/route-1/', *used) == 401
    job_path = f'/route-1/{"0" * 16}'
    for method in ('GET', 'POST', 'DELETE'):
        assert await status_of(entry, job_path, 'x', method=method) == 401


async def test_withdrawn_key_is_refused_also_by_an_isolated_entry_vm(
    entry: kernel.Kernel,
) -> None:
    """An entry VM that missed the news went on to accept a withdrawn key."""
    store = entry.get(FakeStore).store
    used = 'key-of-account-1'
    job_path = f'/route-1/{"0" * 16}'
    store.cut_off.add('entry-1')
    put(entry, fields_with(2, tenant_fields(apiKeys=['another'])))
    await trio.sleep(2 * APPLY_MS / MS_PER_SECOND)
    for method in ('GET', 'POST', 'DELETE'):
        assert await status_of(entry, job_path, used, method=method) == 503
    store.cut_off.clear()
    await wait_for_version(entry, 2)
    assert await status_of(entry, '/route-1/', used) == 401
    assert await status_of(entry, '/route-1/', 'another') == 200


async def test_unusable_configuration_leaves_the_last_one_in_force(
    entry: kernel.Kernel,
) -> None:
    """One odd account would have locked all callers out."""
    put(entry, fields_with(2, tenant_fields(maxCount={'cpu': -1})))
    await trio.sleep(1)
    assert await status_of(entry, '/route-1/', 'key-of-account-1') == 200
    put(entry, fields_with(3, tenant_fields(apiKeys=['another'])))
    await wait_for_version(entry, 3)
    assert await status_of(entry, '/route-1/', 'key-of-account-1') == 401


async def test_jobs_are_hidden_from_other_accounts(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """The key of one account read and cancelled the jobs of another."""
    entries = await job_cluster.start_all(2)
    submitted = job(account='account-1')
    await job_cluster.submit(entries[0], submitted)
    queue = job_cluster.queue_of(submitted)
    stolen = submitted._replace(account='account-2')
    for entry_vm in entries:
        access = entry_vm.job_access
        call = (queue, submitted.job_id, WAIT_MS)
        assert isinstance(await access.state_of(*call, 'account-2'), NoSuchJob)
        assert isinstance(await access.cancel(*call, 'account-2'), NoSuchJob)
        result = await access.submit(queue, stolen, WAIT_MS)
        assert not isinstance(result, Stored)
        state = await access.state_of(*call, 'account-1')
        assert isinstance(state, JobState)
    assert isinstance(await access.cancel(*call, 'account-1'), Stored)


async def test_account_of_a_job_outlasts_its_owner(
    job_cluster: JobCluster, autojump_clock: MockClock
) -> None:
    """After a take-over, jobs were open to everybody."""
    job_cluster.add_workers('desk', 2)
    entries = await job_cluster.start_all(3)
    submitted = job(account='account-1')
    await job_cluster.submit(entries[0], submitted)
    job_cluster.kill(job_cluster.owner('desk'))
    await job_cluster.wait_until(job_cluster.all_owned)
    entry_vm = next(iter(job_cluster.entries.values()))
    call = (job_cluster.queue_of(submitted), submitted.job_id, WAIT_MS)
    found = await entry_vm.job_access.state_of(*call, 'account-2')
    assert isinstance(found, NoSuchJob)
    await job_cluster.wait_for_state(JobState.completed, submitted)
