"""
tests.test_odd_input
====================

Odd input of other writers is refused with its reason; the rest is used.
"""

import base64
from typing import Any, cast

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from cyclamenshift.errors import ProtocolError
from cyclamenshift.job import RunEnd, RunId, RunOutcome, RunStatus, TaskId
from cyclamenshift.peers.frames import Decoder
from cyclamenshift.platform.configuration import ConfigBody, MaintenanceBody
from cyclamenshift.platform.jobs import JobBody
from cyclamenshift.platform.registrations import WorkerBody, decode_worker
from cyclamenshift.platform.reports import (
    CHECKPOINT_LIMIT,
    UNNAMED_RUN,
    ReportBody,
    decode_report,
)
from cyclamenshift.platform.rows import RowsBody, decode_rows
from cyclamenshift.platform.wire import (
    WORKER_TABLE,
    Unreadable,
    convert,
    decode_json,
)
from cyclamenshift.store import Key
from cyclamenshift.worker import Worker, WorkerReport

from .builders import registration_fields, run_id
from .standins.paged_store import row_body
from .standins.slow_link import SlowLinkClient
from .test_late_configuration import build_directory

#: Deeper than a decoder can follow.
DEPTH = 20_000
DEEP = b''.join((b'[' * DEPTH, b']' * DEPTH))
#: The rate of a link that does not matter, bytes per ms.
FAST_RATE = 1_000_000
#: The time within which the registrations are read, s.
READ_S = 2
DOCUMENT_TYPES = (
    ConfigBody,
    JobBody,
    MaintenanceBody,
    ReportBody,
    RowsBody,
    WorkerBody,
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(['10.0.0.1:1', ':', 'ready', '1' * 400, 'a\0b:80']),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)
#: Values that another writer may put in place of a field of a registration.
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {'address': '10.0.0.1:99999'},
    {'address': '10.0.0.1:-5'},
    {'address': '10.0.0.1:0'},
    {'address': ':8185'},
    {'address': '8185'},
    {'address': 'a\0b:8185'},
    {'address': f'{"a" * 300}.example:8185'},
    {'address': '10.0.0.1:٨١٨٥'},
    {'born': 10**26},
    {'born': -1},
    {'capacity': {'cpu': -1, 'memMb': 1}},
    {'capacity': {'cpu': 10**30, 'memMb': 1}},
    {'state': 'gone'},
    {'service': 5},
    {'labels': 'a'},
)
#: Entries of a report that can be read.
SOUND_RUN = ['job-1.0.0.0', 1, 'saved', 41, 7]
SOUND_END = [4, 'job-1.0.0.1', 2, 'done', 'saved']
#: Entries of ``running`` that name no run.
UNNAMED_RUNS: tuple[list[Any], ...] = (
    [],
    ['job-1.0.0'],
    [5, 1, '', 5],
    ['job-1.0.0.1', 0, '', 5],
    [None, 1],
)
#: Names that no task has; each was taken for a task.
ODD_TASK_NAMES = (
    'job-1.0.0.-1',
    'job-1.-1.0.0',
    'job-1.0.0.+1',
    'job-1.0.0. 1',
    'job-1.0.0.01',
    'job-1.0.0.1_0',
    'job-1.0.0.٣',
    f'job-1.0.0.{10**30}',
    '.0.0.0',
)


def read_report(
    running: list[list[Any]], ended: list[list[Any]]
) -> WorkerReport | Unreadable:
    """Return the report of a worker with these lists."""
    body = convert(
        {'clockMs': 1, 'born': 1, 'running': running, 'ended': ended},
        ReportBody,
    )
    return body if isinstance(body, Unreadable) else decode_report(body)


def assert_names_no_run(name: Any, number: Any) -> None:
    """A run is left out, and its end is that of no known run."""
    running = [name, number, '', 5]
    report = read_report([running], [[1, name, number, 'done', '']])
    assert isinstance(report, WorkerReport)
    assert not report.running
    assert [end.run for end in report.ended] == [UNNAMED_RUN]


def encoded_row(key: Key, value: bytes) -> dict[str, Any]:
    """Return a row as the platform sends it, with any bytes as its value."""
    return {
        **row_body(key, 1, {}),
        'value': base64.b64encode(value).decode(),
    }


class OddRowsClient(SlowLinkClient):
    """Adds rows to each page that no decoder can follow."""

    def page(self, query: dict[str, str]) -> dict[str, Any]:
        """Return one page of the rows that *query* names."""
        page = super().page(query)
        page['rows'].insert(0, encoded_row(Key(WORKER_TABLE, 'deep'), DEEP))
        page['rows'].insert(0, {'table': WORKER_TABLE})
        return page


@pytest.mark.parametrize('document_type', DOCUMENT_TYPES)
@pytest.mark.parametrize(
    'document',
    [DEEP, b'{"extra":%b}' % DEEP, b'', b'\xff', b'{"rows":5}'],
)
def test_odd_document_is_unreadable(
    document_type: type[Any], document: bytes
) -> None:
    """A document that was nested too deep ended the process."""
    decoded = decode_json(document, document_type)
    assert isinstance(decoded, Unreadable) or DEEP in document


@given(JSON_VALUES)
def test_any_value_is_converted_or_unreadable(document: Any) -> None:
    """No value raises, whichever document it is taken for."""
    for document_type in DOCUMENT_TYPES:
        convert(document, cast(type[Any], document_type))


@given(
    st.dictionaries(st.sampled_from(list(registration_fields())), JSON_VALUES)
)
def test_any_registration_is_decoded_or_unreadable(
    changes: dict[str, Any],
) -> None:
    """A worker that is accepted can be written in a row and connected to."""
    body = convert(registration_fields(**changes), WorkerBody)
    if isinstance(body, Unreadable):
        return
    worker = decode_worker('worker-1', body)
    if isinstance(worker, Worker):
        msgspec.msgpack.encode(worker)
        assert 0 < worker.address.port < 65_536


@given(JSON_VALUES, JSON_VALUES)
def test_any_report_is_decoded_or_unreadable(running: Any, ended: Any) -> None:
    """A report with an odd entry ended the scheduler."""
    body = {'clockMs': 1, 'born': 1, 'running': [running], 'ended': [ended]}
    report = convert(body, ReportBody)
    if not isinstance(report, Unreadable):
        decode_report(report)


@pytest.mark.parametrize('name', ODD_TASK_NAMES)
def test_odd_task_name_was_taken_for_another_task(name: str) -> None:
    """The end of ``-1`` completed the last task of a step."""
    assert_names_no_run(name, 1)


@pytest.mark.parametrize('number', [0, -1, 2**53, 1.5, '1', None, True])
def test_odd_run_number_names_no_run(number: Any) -> None:
    """The numbers of runs begin at 1."""
    assert_names_no_run('job-1.0.0.0', number)


@pytest.mark.parametrize('number', [0, -1, 2**53, 1.5, '1', None, True])
def test_report_with_an_odd_end_number_is_unreadable(number: Any) -> None:
    """Such an end can't be acknowledged."""
    ended = [[number, 'job-1.0.0.0', 1, 'done', '']]
    assert isinstance(read_report([], ended), Unreadable)


@pytest.mark.parametrize('length', [CHECKPOINT_LIMIT, CHECKPOINT_LIMIT + 1])
def test_checkpoint_that_no_row_can_hold_is_kept(length: int) -> None:
    """The job of its task could not be recorded any more."""
    text = 'x' * length
    running = ['job-1.0.0.0', 1, text, 5]
    ended = [1, 'job-1.0.0.0', 1, 'stopped', text]
    report = read_report([running], [ended])
    assert isinstance(report, WorkerReport)
    expected = text if length == CHECKPOINT_LIMIT else ''
    assert report.running[0].checkpoint == expected
    assert report.ended[0].checkpoint == expected


@pytest.mark.parametrize('odd', UNNAMED_RUNS)
def test_unnamed_run_hid_the_sound_ones(odd: list[Any]) -> None:
    """All leases lapsed; but no run may be taken as gone either."""
    report = read_report([odd, SOUND_RUN], [SOUND_END])
    assert isinstance(report, WorkerReport)
    assert not report.complete
    assert report.running == (RunStatus(run_id(), 'saved', 41, 7),)
    ended = RunId(TaskId('job-1', 0, 0, 1), 2)
    assert report.ended == (RunEnd(4, ended, RunOutcome.done, 'saved'),)


@pytest.mark.parametrize(
    ('details', 'checkpoint', 'percent', 'usage'),
    [
        (['saved', 41], 'saved', 41, 0),
        (['saved', 41, 7, 'extra'], 'saved', 41, 7),
        (['saved', 41, 7.5], 'saved', 41, 0),
        (['saved', -1, -1], 'saved', 0, 0),
        ([None, '41', None], '', 0, 0),
        ([], '', 0, 0),
    ],
)
def test_odd_detail_of_a_run_hid_the_report(
    details: list[Any], checkpoint: str, percent: int, usage: int
) -> None:
    """A run that is named can be stopped, whatever else is said of it."""
    report = read_report([['job-1.0.0.0', 1, *details]], [])
    assert isinstance(report, WorkerReport)
    assert report.complete
    assert report.running == (RunStatus(run_id(), checkpoint, percent, usage),)


@pytest.mark.parametrize(
    ('rest', 'outcome', 'checkpoint'),
    [
        (['evicted', 'saved'], RunOutcome.lease_expired, 'saved'),
        ([None, 5], RunOutcome.lease_expired, ''),
        (['done'], RunOutcome.done, ''),
        ([], RunOutcome.lease_expired, ''),
    ],
)
def test_odd_detail_of_an_end_hid_the_report(
    rest: list[Any], outcome: RunOutcome, checkpoint: str
) -> None:
    """An outcome that isn't known is neither a success nor a failure."""
    report = read_report([], [[4, 'job-1.0.0.1', 2, *rest]])
    assert isinstance(report, WorkerReport)
    run = RunId(TaskId('job-1', 0, 0, 1), 2)
    assert report.ended == (RunEnd(4, run, outcome, checkpoint),)


@given(st.binary())
def test_any_frame_is_decoded_or_refused(received: bytes) -> None:
    """Nothing but a protocol error, which ends the connection only."""
    try:
        list(Decoder(frame_limit=1_000).feed(received))
    except ProtocolError:
        return


@pytest.mark.parametrize(
    'worker_id', ['', 'w\r\nX: 1', 'w\0', 'wörker', 'w\udc80', ' w', 'w ']
)
def test_worker_whose_id_no_header_can_hold_was_used(worker_id: str) -> None:
    """Each order names the worker in a header."""
    body = convert(registration_fields(), WorkerBody)
    assert not isinstance(body, Unreadable)
    assert isinstance(decode_worker(worker_id, body), Unreadable)


@pytest.mark.parametrize('changes', ODD_FIELDS)
def test_odd_registration_is_refused(changes: dict[str, Any]) -> None:
    """It names no worker to use."""
    body = convert(registration_fields(**changes), WorkerBody)
    if not isinstance(body, Unreadable):
        assert isinstance(decode_worker('worker-1', body), Unreadable)


def test_odd_row_leaves_the_rest_of_its_page() -> None:
    """Rows without a key or with a value of another type are left out."""
    good = row_body(Key(WORKER_TABLE, 'worker-1'), 1, registration_fields())
    rows = [good, {'table': WORKER_TABLE}, {**good, 'value': 5}, 'text', None]
    page = decode_json(msgspec.json.encode({'rows': rows}), RowsBody)
    assert not isinstance(page, Unreadable)
    assert [row.key.name for row in decode_rows(page)] == ['worker-1']


async def test_odd_registrations_do_not_stop_the_directory(
    nursery: trio.Nursery,
    autojump_clock: MockClock,
) -> None:
    """The task that followed the registrations ended, and the process too."""
    client = OddRowsClient(FAST_RATE)
    directory = build_directory(client)
    directory.watch_workers('test', wanted=True)
    nursery.start_soon(directory.run)
    client.put(Key(WORKER_TABLE, 'worker-1'), registration_fields())
    for number, changes in enumerate(ODD_FIELDS):
        key = Key(WORKER_TABLE, f'odd-{number}')
        client.put(key, registration_fields(**changes))
    await trio.sleep(READ_S)
    client.put(Key(WORKER_TABLE, 'worker-2'), registration_fields())
    await trio.sleep(READ_S)
    assert directory.workers.keys() == {'worker-1', 'worker-2'}
    nursery.cancel_scope.cancel()
