"""
cyclamenshift.progressrows
==========================

The rows of a job whose progress is too large for one row.

The tasks of each open step are divided into pieces, and each piece has a row.
The row of the job keeps what concerns all of them.
"""

from typing import Final, NamedTuple, NotRequired, TypedDict

from .job import JobState
from .jobrows import PROGRESS_TABLE, ActiveRun, AttemptedTask, progress_key
from .store import Key, Row

#: Separates the parts of the name of a piece, which are texts and numbers.
SEPARATOR: Final = '.'


class Piece(NamedTuple):
    """Tasks of one step of an occurrence, from the ordinal ``start`` on."""

    occurrence: int
    step: int
    start: int


class NamedPiece(NamedTuple):
    """A piece and the job that it belongs to."""

    job_id: str
    piece: Piece


class DividedRow(TypedDict):
    """
    ``progress/SERVICE/ID`` of a job that has pieces.

    ``finished`` lists the first and the last of each range of occurrences that
    are completely done.  The other fields are those of a ``ProgressRow``.  It
    has no runs, so a build that knows no pieces refuses it.
    """

    state: JobState
    finished: list[tuple[int, int]]
    ended: int
    unstarted: NotRequired[bool]


class PieceRow(TypedDict):
    """
    ``progress/SERVICE/ID.OCCURRENCE.STEP.START``: the tasks of a piece.

    ``done`` is a bitmap, in hexadecimal, of the tasks that are done, the first
    one of the piece in the lowest bit.
    """

    done: str
    open: list[ActiveRun]
    tried: list[AttemptedTask]


class RecordedState(TypedDict):
    """The field of a progress row that tells the state, in either form."""

    state: JobState


def piece_key(service: str, job_id: str, piece: Piece) -> Key:
    """Return the key of the row of a piece."""
    return progress_key(service, SEPARATOR.join((job_id, *map(str, piece))))


def piece_of(key: Key) -> NamedPiece | None:
    """Return the piece whose key it is, None for another row."""
    job_id, *numbers = key.name.rsplit(SEPARATOR, len(Piece._fields))
    is_piece = key.table == PROGRESS_TABLE and all(map(_is_number, numbers))
    if not is_piece or len(numbers) != len(Piece._fields):
        return None
    return NamedPiece(job_id, Piece(*map(int, numbers)))


def is_divided(row: Row) -> bool:
    """Return whether the row of a job has pieces beside it."""
    return 'state' in row.fields and 'open' not in row.fields


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
