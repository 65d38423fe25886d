"""
cyclamenshift.statusmessages
============================

The bodies with which entry VMs tell each other what has changed.
"""

from typing import NamedTuple

from .model import Load
from .peer import register_payload


@register_payload
class Loads(NamedTuple):
    """The loads that changed since the last ones on this connection."""

    loads: tuple[Load, ...]


@register_payload
class Versions(NamedTuple):
    """
    What the sender has in force; a peer that is behind refreshes at once.

    ``number`` is that of the configuration, ``changes`` the version of the
    last change of a VM.
    """

    number: int
    changes: int
