"""
cyclamenshift.refusedjobs
=========================

The rows of jobs that were refused for lack of capacity.
"""

from typing import TypedDict

from .queuerows import is_reference
from .store import Row


class RefusedJobRow(TypedDict):
    """
    ``job/SERVICE/ID``: the job was refused and has not run.

    It keeps a write of the same job whose outcome is unknown from taking
    effect later.  ``refused`` is when, ms since the epoch.
    """

    refused: int


def is_job(row: Row) -> bool:
    """Return whether a row of the job table holds a job."""
    return not (is_reference(row) or is_refusal(row))


def is_refusal(row: Row) -> bool:
    """Return whether a row of the job table stands for a refused job."""
    return 'refused' in row.fields
