"""
cyclamenshift.compatibility
===========================

Encodes tuples so that builds without their newest fields can read them.
"""

from typing import Any


def trim_defaults(fields: tuple[Any, ...]) -> tuple[Any, ...]:
    """
    Return a NamedTuple without its last field if that has its default value.

    Readers reject an array that is longer than they expect, and set fields
    that are missing at the end to their defaults.
    """
    names: tuple[str, ...] = getattr(fields, '_fields', ())
    defaults: dict[str, Any] = getattr(fields, '_field_defaults', {})
    if names and names[-1] in defaults:
        if fields[-1] == defaults[names[-1]]:
            return tuple(fields[:-1])
    return fields
