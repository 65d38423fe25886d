"""
cyclamenshift.statusmessages
============================

The status updates that entry VMs send each other with heartbeats.
"""

from typing import NamedTuple

from .model import Load
from .peer import register_payload


@register_payload
class Loads(NamedTuple):
    """The pool loads that changed since the last update."""

    loads: tuple[Load, ...]


@register_payload
class Versions(NamedTuple):
    """
    The versions that the sender uses; peers with older ones refresh at once.

    ``number`` is the number of the active configuration; ``changes`` is the
    version of the last change of a VM.
    """

    number: int
    changes: int
