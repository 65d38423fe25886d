"""
cyclamenshift.decisions.catchup
===============================

Chooses between the changes of a table and its newest rows.

The changes grow with what was missed, also with versions of a row that were
replaced since.  The newest rows don't, but they are read whole.
"""

from typing import Final, NamedTuple

#: The age of a view beyond which its changes are likely to be larger than
#: the newest rows, ms: the interval at which workers register.
CATCH_UP_AGE_MS: Final = 1_500


class TableRead(NamedTuple):
    """
    The last answer to a read of a table.

    ``scanned`` tells whether it held the newest rows, ``changed`` whether it
    held any that were not known, and ``superseded`` whether it held several
    versions of one row.
    """

    scanned: bool
    changed: bool
    superseded: bool


def should_scan(last_read: TableRead, age: int) -> bool:
    """
    Return whether to read the newest rows next.

    *age* is how old the view is, ms.  A slow link makes the view old in any
    case, so scans are repeated only while they bring something new.
    """
    is_old = age > CATCH_UP_AGE_MS
    if last_read.scanned:
        return last_read.changed and is_old
    return last_read.superseded or is_old
