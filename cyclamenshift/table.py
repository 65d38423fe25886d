"""
cyclamenshift.table
===================

A transactional table in memory, with a version for each row.
"""

from collections.abc import Sequence

from .store import (
    ABSENT,
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Row,
    Snapshot,
    Transaction,
    Write,
)


class Table:
    """Rows by key; each transaction increments the version of the table."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[Key, Row] = {}
        self.version = ABSENT
        self.history: list[tuple[int, Row]] = []
        self.history_from = ABSENT

    def read(self, keys: Sequence[Key]) -> list[Row]:
        """Return one row for each key, in the order of *keys*."""
        return [self.row(key) for key in keys]

    def scan(self, table: str, partition: str = '') -> Snapshot:
        """Return the rows of one partition of a table, ordered by name."""
        found = (
            self.rows[key]
            for key in sorted(self.rows)
            if (key.table, key.partition) == (table, partition)
        )
        return Snapshot(tuple(found), self.version)

    def changes(self, table: str, version: int) -> Snapshot | HistoryLost:
        """Return the rows of *table* that changed after *version*."""
        if version < self.history_from:
            return HistoryLost()
        changed = {
            row.key: row
            for changed_at, row in self.history
            if changed_at > version and row.key.table == table
        }
        return Snapshot(tuple(changed.values()), self.version)

    def discard_history(self) -> None:
        """Discard the history of all changes so far."""
        self.history.clear()
        self.history_from = self.version

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply *transaction* if every check holds."""
        if any(
            self.row(check.key).version != check.version
            for check in transaction.checks
        ):
            keys = [check.key for check in transaction.checks]
            return Conflict(tuple(self.read(keys)))
        self.version += 1
        for write in transaction.writes:
            self._apply(write)
        return Committed(self.version)

    def row(self, key: Key) -> Row:
        """Return the row, with version ABSENT if it does not exist."""
        return self.rows.get(key, Row(key, ABSENT, {}))

    def _apply(self, write: Write) -> None:
        if write.fields is None:
            self.rows.pop(write.key, None)
        else:
            fields = dict(write.fields)
            self.rows[write.key] = Row(write.key, self.version, fields)
        self.history.append((self.version, self.row(write.key)))
