"""
cyclamenshift.scheduling.job_rows
=================================

The rows that the progress of one job has in the store.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

import msgspec
import xxhash

from ..decisions.pieces import divided_row_of, is_new, piece_row_of
from ..decisions.progress import JobProgress, Task
from ..decisions.records import row_of
from ..progressrows import Piece, is_divided, piece_key, piece_of
from ..store import ABSENT, Fields, Key, Row

#: The number of tasks in a piece, unless that is too large for a row.  Each
#: change of one of them writes the whole piece.
PIECE_TASKS: Final = 64

#: Returns the size of a row as the store counts it, bytes.
Measure: TypeAlias = Callable[[Fields], int]


class RowLimit(NamedTuple):
    """The largest size of a row, bytes, and how to measure one."""

    size: int
    measure: Measure


class RowChange(NamedTuple):
    """
    A row to write over its version, or to delete if ``fields`` is None.

    ``size`` is in bytes, as the store counts it.
    """

    key: Key
    version: int
    fields: Fields | None
    size: int


class StoredRow(NamedTuple):
    """The version of a row in the store, and a digest of its fields."""

    version: int
    digest: int


#: The digest of fields that are not known.
UNKNOWN: Final = 0
NO_ROW: Final = StoredRow(ABSENT, UNKNOWN)


class JobRows:
    """
    The rows of one job: one, or one and those of the pieces.

    A job is divided once its progress is too large for one row, and stays so
    until it is final.
    """

    def __init__(self, main_key: Key, limit: RowLimit) -> None:
        """Start without rows; *main_key* is that of the job itself."""
        self.main_key = main_key
        self.limit = limit
        self.divided = False
        self.stored: dict[Key, StoredRow] = {}
        #: The first ordinals of the pieces, by occurrence and step.
        self.starts: dict[tuple[int, int], tuple[int, ...]] = {}

    def adopt(self, rows: Iterable[Row]) -> None:
        """Take over the rows that an earlier scheduler has written."""
        for row in rows:
            named = piece_of(row.key)
            if named is not None:
                self._add_start(named.piece)
            self.divided = self.divided or is_divided(row)
            is_compared = named is not None or self.divided
            digest = digest_of(row.fields) if is_compared else UNKNOWN
            self.stored[row.key] = StoredRow(row.version, digest)

    def changes(self, progress: JobProgress) -> list[RowChange]:
        """
        Return the changes that record *progress*, in the order to write them.

        Any of them may be the last one that is written.  So the pieces come
        before the row of the job, which refers to them, and are deleted after
        it.
        """
        if progress.state.final or not self.divided:
            row = self._change(self.main_key, row_of(progress))
            if self.is_storable(row):
                self.divided = False
                return [row, *self._deletions(())]
        self.divided = True
        step_keys = progress.steps.keys()
        self.starts = {
            key: starts
            for key, starts in self.starts.items()
            if key in step_keys
        }
        pieces = list(self._pieces(progress))
        divided = self._change(self.main_key, divided_row_of(progress))
        return [
            *filter(self._is_new, (*pieces, divided)),
            *self._deletions(change.key for change in pieces),
        ]

    def piece_keys(self) -> list[Key]:
        """Return the keys of the pieces that are stored."""
        return sorted(self.stored.keys() - {self.main_key})

    def forget(self, keys: Iterable[Key]) -> None:
        """Record that the rows *keys* were deleted."""
        for key in keys:
            self.stored.pop(key, None)

    def is_storable(self, change: RowChange) -> bool:
        """Return whether the store accepts a row of this size."""
        return change.size <= self.limit.size

    def confirm(self, change: RowChange, version: int) -> None:
        """Record that *change* was written, as *version*."""
        if change.fields is None:
            self.stored.pop(change.key, None)
            return
        digest = digest_of(change.fields) if self.divided else UNKNOWN
        self.stored[change.key] = StoredRow(version, digest)

    def correct(self, versions: Mapping[Key, int]) -> None:
        """Record the *versions* that were found instead of those expected."""
        for key, version in versions.items():
            if version != self._stored(key).version:
                self.stored[key] = StoredRow(version, UNKNOWN)

    def _pieces(self, progress: JobProgress) -> Iterator[RowChange]:
        """Yield the rows of the pieces that tell anything."""
        for step_key, tasks in progress.steps.items():
            if step_key not in self.starts:
                self.starts[step_key] = tuple(range(0, len(tasks), PIECE_TASKS))
            starts = self.starts[step_key]
            ends = (*starts[1:], len(tasks))
            for start, end in zip(starts, ends, strict=True):
                yield from self._divide(
                    Piece(*step_key, start), tasks[start:end]
                )

    def _divide(
        self, piece: Piece, tasks: Sequence[Task]
    ) -> Iterator[RowChange]:
        """Yield the row of *tasks*, or those of two halves if too large."""
        if is_new(tasks):
            return
        _table, job_id, service = self.main_key
        key = piece_key(service, job_id, piece)
        change = self._change(key, piece_row_of(tasks))
        if self.is_storable(change) or len(tasks) == 1:
            yield change
            return
        half = len(tasks) // 2
        second = piece._replace(start=piece.start + half)
        self._add_start(second)
        yield from self._divide(second, tasks[half:])
        yield from self._divide(piece, tasks[:half])

    def _add_start(self, piece: Piece) -> None:
        step_key = (piece.occurrence, piece.step)
        starts = {0, piece.start, *self.starts.get(step_key, ())}
        self.starts[step_key] = tuple(sorted(starts))

    def _change(self, key: Key, fields: Fields) -> RowChange:
        version = self._stored(key).version
        return RowChange(key, version, fields, self.limit.measure(fields))

    def _deletions(self, kept: Iterable[Key]) -> list[RowChange]:
        """Return the deletions of the pieces that are not *kept*."""
        current = set(kept)
        return [
            RowChange(key, self.stored[key].version, None, 0)
            for key in self.piece_keys()
            if key not in current
        ]

    def _is_new(self, change: RowChange) -> bool:
        """Return whether a change differs from what is stored."""
        return digest_of(change.fields) != self._stored(change.key).digest

    def _stored(self, key: Key) -> StoredRow:
        return self.stored.get(key, NO_ROW)


def digest_of(fields: Fields | None) -> int:
    """Return a digest of the fields of a row."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(fields))
