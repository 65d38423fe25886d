"""
tests.test_catchup
==================

When the newest rows of a table are read instead of its changes.
"""

import pytest

from cyclamenshift.decisions.catchup import (
    CATCH_UP_AGE_MS,
    TableRead,
    should_scan,
)

OLD_MS = CATCH_UP_AGE_MS + 1


@pytest.mark.parametrize(
    ('last_read', 'age', 'expected'),
    [
        (TableRead(False, True, False), 0, False),
        (TableRead(False, True, True), 0, True),
        (TableRead(False, False, False), OLD_MS, True),
        (TableRead(True, True, False), 0, False),
        (TableRead(True, True, False), OLD_MS, True),
        (TableRead(True, False, False), OLD_MS, False),
    ],
)
def test_newest_rows_are_read_when_behind(
    last_read: TableRead, age: int, *, expected: bool
) -> None:
    """A slow link alone does not cause one scan after the other."""
    assert should_scan(last_read, age) is expected
