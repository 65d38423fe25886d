"""
cyclamenshift.table
===================

A transactional table in memory, with a version for each row.
"""

from collections.abc import Sequence

from .platform import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Transaction,
    Write,
)


class Table:
    """Rows by key; versions grow over the whole table and never repeat."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.last_version = ABSENT

    def read(self, keys: Sequence[str]) -> list[Row]:
        """Return one row for each key."""
        return [self.rows.get(key, Row(key, ABSENT, {})) for key in keys]

    def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose keys start with *prefix*, by key."""
        return [
            self.rows[key]
            for key in sorted(self.rows)
            if key.startswith(prefix)
        ]

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply *transaction* if every check holds."""
        moved = tuple(
            check.key
            for check in transaction.checks
            if self.version_of(check.key) != check.version
        )
        if moved:
            return Conflict(moved)
        return Committed(
            {write.key: self._apply(write) for write in transaction.writes}
        )

    def version_of(self, key: str) -> int:
        """Return the version of the row, ABSENT if it is not there."""
        row = self.rows.get(key)
        return row.version if row else ABSENT

    def _apply(self, write: Write) -> int:
        if write.fields is None:
            self.rows.pop(write.key, None)
            return ABSENT
        self.last_version += 1
        row = Row(write.key, self.last_version, dict(write.fields))
        self.rows[write.key] = row
        return row.version
