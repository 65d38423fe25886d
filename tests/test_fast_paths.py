"""
tests.test_fast_paths
=====================

Shorter ways of doing what each run or report needs give the same results.
"""

from typing import Any

import msgspec
import pytest
from aioprometheus import Registry

from cyclamenshift.job import RunOutcome
from cyclamenshift.loadmetrics import LabelledTally
from cyclamenshift.platform.reports import (
    CHECKPOINT_LIMIT,
    ReportBody,
    decode_report,
    parse_report,
)
from cyclamenshift.platform.rows import encode_transaction, size_of_value
from cyclamenshift.platform.wire import decode_json
from cyclamenshift.store import Key, Transaction, Write

#: A report whose entries are all valid, with details at their bounds.
VALID: dict[str, Any] = {
    'clockMs': 7,
    'born': 2,
    'running': [
        ['job-1.0.0.0', 1, '', 0, 0],
        ['job-2.3.1.17', 2, 'x' * CHECKPOINT_LIMIT, 1_500, 3],
    ],
    'ended': [
        [number, f'job-3.0.0.{number}', 1, str(outcome), 'half']
        for number, outcome in enumerate(RunOutcome, start=1)
    ],
}
#: Entries that keep a report from being decoded in one step.
ODD: list[dict[str, Any]] = [
    {'running': [*VALID['running'], ['job-1.0.0.1', 1]]},
    {'running': [['job-1.0.0.0', 1, 'x' * (CHECKPOINT_LIMIT + 1), 0, 0]]},
    {'running': [['job-1.0.0.0', 1, '', -1, 0]]},
    {'running': [['job-1.0.0', 1, '', 0, 0]]},
    {'ended': [[1, 'job-3.0.0.0', 1, 'of another kind', '']]},
    {'ended': [[1, 'job-3.00.0.0', 1, 'done', '']]},
]


@pytest.mark.parametrize('changes', [{}, *ODD])
def test_report_is_decoded_alike_in_one_step(changes: dict[str, Any]) -> None:
    """Decoding at once gave other runs or defaults than entry by entry."""
    raw = msgspec.json.encode(VALID | changes)
    by_entry = decode_json(raw, ReportBody)
    at_once = parse_report(raw)
    assert isinstance(by_entry, dict)
    assert isinstance(at_once, dict)
    assert decode_report(at_once) == decode_report(by_entry)


def test_valid_report_is_decoded_in_one_step() -> None:
    """Each report took the slow way for a detail that is usual."""
    body = parse_report(msgspec.json.encode(VALID))
    assert isinstance(body, dict)
    entries = [*body['running'], *body['ended']]
    assert all(isinstance(entry, tuple) for entry in entries)


@pytest.mark.parametrize('length', range(40))
def test_size_of_a_row_is_that_of_its_encoded_value(length: int) -> None:
    """A row that the store rejects passed the check of its size."""
    fields = {'field': 'x' * length}
    write = Write(Key('job', 'desk', 'job-1'), fields)
    encoded = encode_transaction(Transaction((), (write,)))
    assert size_of_value(fields) == len(encoded['puts'][0]['value'])


def test_labelled_counts_are_kept_apart_and_sorted() -> None:
    """Counts of two label sets were joined, or their labels mixed up."""
    tally = LabelledTally('ends', 'Ends.', Registry())
    for outcome in ('done', 'failed', 'done'):
        tally.inc({'service': 'desk', 'outcome': outcome})
    counts = {labels['outcome']: count for labels, count in tally.get_all()}
    assert counts == {'done': 2, 'failed': 1}
    assert [list(labels) for labels, _count in tally.get_all()] == [
        ['outcome', 'service']
    ] * 2
