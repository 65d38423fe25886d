"""
cyclamenshift.decisions.merging
===============================

Merges configuration documents and keeps the source line of each value.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypeAlias

#: The keys from the root of a document to a value.
Path: TypeAlias = tuple[str, ...]


class Source(NamedTuple):
    """The file and the line, from 1, that a value comes from."""

    file: str
    line: int

    def __str__(self) -> str:
        """Return the source as ``FILE:LINE``."""
        return f'{self.file}:{self.line}'


class Document(NamedTuple):
    """The values of one file, or of several merged, with their sources."""

    values: dict[str, Any]
    sources: dict[Path, Source]


class Change(NamedTuple):
    """A value that differs between two documents, None if absent."""

    path: Path
    before: Any
    after: Any


def merge(documents: Iterable[Document]) -> Document:
    """
    Merge *documents*; later documents take precedence.

    Mappings are merged by key, any other value replaces the earlier one,
    and null removes the key.
    """
    merged = Document({}, {})
    for document in documents:
        _merge_into(merged, document, (), document.values)
    return merged


def differences(before: Mapping[str, Any], after: Any) -> list[Change]:
    """Return the leaf values that differ, sorted by path."""
    old = dict(_leaves((), before))
    new = dict(_leaves((), after))
    return [
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def nearest_source(document: Document, path: Path) -> Source:
    """Return the source of *path* or of its nearest parent with one."""
    for length in range(len(path), -1, -1):
        source = document.sources.get(path[:length])
        if source is not None:
            return source
    return Source('(none)', 0)


def _merge_into(
    merged: Document,
    document: Document,
    path: Path,
    values: Mapping[str, Any],
) -> None:
    target = _mapping_at(merged.values, path)
    for key, child in values.items():
        child_path = (*path, key)
        if child is None:
            target.pop(key, None)
            _remove_sources(merged, child_path)
            continue
        merged.sources[child_path] = nearest_source(document, child_path)
        if isinstance(child, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
            _merge_into(merged, document, child_path, child)
        else:
            target[key] = child


def _remove_sources(merged: Document, path: Path) -> None:
    length = len(path)
    for source_path in list(merged.sources):
        if source_path[:length] == path:
            merged.sources.pop(source_path)


def _mapping_at(values: dict[str, Any], path: Path) -> dict[str, Any]:
    for key in path:
        values = values[key]
    return values


def _leaves(path: Path, value: Any) -> Iterable[tuple[Path, Any]]:
    if not isinstance(value, Mapping):
        yield path, value
        return
    for key, child in value.items():
        yield from _leaves((*path, key), child)
