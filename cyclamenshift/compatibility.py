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
    defaults: dict[str, Any] = getattr(fields, '_field_defaults', {})
    last = getattr(fields, '_fields', ('',))[-1]
    if last in defaults and fields[-1] == defaults[last]:
        return tuple(fields[:-1])
    return fields
