"""
cyclamenshift.decisions.pieces
==============================

Divides the progress of a large job into rows, and joins them again.
"""

from collections.abc import Iterable, Mapping, Sequence

from ..jobrows import ProgressRow
from ..progressrows import DividedRow, Piece, PieceRow
from .progress import JobProgress, Task
from .records import (
    HEXADECIMAL,
    active_runs,
    attempted_tasks,
    done_bitmap,
    is_unstarted,
)


def divided_row_of(progress: JobProgress) -> DividedRow:
    """Return the row of a job whose tasks are in pieces."""
    row = DividedRow(
        state=progress.state,
        finished=ranges_of(progress.finished),
        ended=progress.ended,
    )
    if is_unstarted(progress):
        row['unstarted'] = True
    return row


def piece_row_of(tasks: Sequence[Task]) -> PieceRow:
    """Return the row of consecutive *tasks* of a step."""
    return PieceRow(
        done=done_bitmap(tasks, tasks[0].task_id.ordinal),
        open=active_runs(tasks),
        tried=attempted_tasks(tasks),
    )


def is_new(tasks: Iterable[Task]) -> bool:
    """Return whether no run of *tasks* was ever planned."""
    return not any(task.last_run or task.done for task in tasks)


def join(row: DividedRow, pieces: Mapping[Piece, PieceRow]) -> ProgressRow:
    """
    Return the progress of a job as one row.

    Pieces of occurrences that are finished are left over, and say less.
    """
    finished = {
        occurrence
        for first, last in row['finished']
        for occurrence in range(first, last + 1)
    }
    current = {
        piece: piece_row
        for piece, piece_row in pieces.items()
        if piece.occurrence not in finished
    }
    joined = ProgressRow(
        state=row['state'],
        done=_join_done(current),
        finished=sorted(finished),
        open=[run for each in current.values() for run in each['open']],
        tried=[task for each in current.values() for task in each['tried']],
        ended=row['ended'],
    )
    if row.get('unstarted', False):
        joined['unstarted'] = True
    return joined


def ranges_of(numbers: Iterable[int]) -> list[tuple[int, int]]:
    """Return the first and the last of each range of *numbers*."""
    ranges: list[tuple[int, int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1] = (ranges[-1][0], number)
        else:
            ranges.append((number, number))
    return ranges


def _join_done(
    pieces: Mapping[Piece, PieceRow],
) -> list[tuple[int, int, str]]:
    bitmaps: dict[tuple[int, int], int] = {}
    for piece, row in pieces.items():
        bits = int(row['done'], HEXADECIMAL) << piece.start
        step = (piece.occurrence, piece.step)
        bitmaps[step] = bitmaps.get(step, 0) | bits
    return [
        (occurrence, step, f'{bits:x}')
        for (occurrence, step), bits in bitmaps.items()
        if bits
    ]
