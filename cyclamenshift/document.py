"""
cyclamenshift.document
======================

Reads folders of YAML files and records the source line of every value.
"""

import pathlib
from collections.abc import Mapping
from typing import Any

import yaml

from .decisions.merging import Document, Path, Source, merge
from .errors import SettingsError

#: The C loader if PyYAML was built with libyaml; both yield the same nodes.
LOADER = yaml.CSafeLoader if yaml.__with_libyaml__ else yaml.SafeLoader
#: Converts scalar and sequence nodes to Python values.
CONSTRUCTOR = yaml.SafeLoader('')
#: The extension of the files that are read.
SUFFIX = '.yaml'


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """
    Return the contents of the YAML files in *folder* by file name.

    Raises SettingsError if the folder does not exist or has no YAML files.
    """
    if not folder.is_dir():
        raise SettingsError(
            f'{folder}: no such folder.',
            'Use a folder that contains .yaml files.',
        )
    texts = {
        path.name: path.read_text(encoding='utf-8')
        for path in sorted(folder.iterdir())
        if path.suffix == SUFFIX
    }
    if not texts:
        raise SettingsError(
            f'{folder}: the folder contains no .yaml files.',
            'Add at least one, such as 10-entry.yaml.',
        )
    return texts


def merge_texts(texts: Mapping[str, str]) -> Document:
    """Parse the files in *texts* and merge them in order of file name."""
    return merge(parse(name, texts[name]) for name in sorted(texts))


def parse(name: str, text: str) -> Document:
    """
    Parse a YAML file.

    Raises SettingsError with the line if the file is not a mapping of plain
    values or if it has a duplicate key.
    """
    try:
        node = yaml.compose(text, Loader=LOADER)
    except yaml.MarkedYAMLError as error:
        raise _syntax_error(name, error) from error
    document = Document({}, {})
    if node is None:
        return document
    if not isinstance(node, yaml.MappingNode):
        raise SettingsError(
            f'{name}:1: the file is not a mapping.',
            'Write "key: value" lines.',
        )
    document.values.update(_read_mapping(document, name, (), node))
    return document


def _syntax_error(name: str, error: yaml.MarkedYAMLError) -> SettingsError:
    mark = error.problem_mark
    line = mark.line + 1 if mark else 1
    return SettingsError(
        f'{name}:{line}: invalid YAML: {error.problem}.',
        'Correct the syntax on that line or just above it.',
    )


def _read_mapping(
    document: Document,
    name: str,
    path: Path,
    node: yaml.MappingNode,
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key_node, child in node.value:
        key = str(key_node.value)
        child_path = (*path, key)
        source = Source(name, key_node.start_mark.line + 1)
        if key in values:
            first_source = document.sources[child_path]
            dotted = '.'.join(child_path)
            raise SettingsError(
                f'{source}: {dotted} is already defined at {first_source}.',
                'Remove or rename one of them.',
            )
        document.sources[child_path] = source
        values[key] = _read_value(document, name, child_path, child)
    return values


def _read_value(
    document: Document,
    name: str,
    path: Path,
    node: yaml.Node,
) -> Any:
    if isinstance(node, yaml.MappingNode):
        return _read_mapping(document, name, path, node)
    try:
        return CONSTRUCTOR.construct_object(node, deep=True)
    except yaml.MarkedYAMLError as error:
        raise _syntax_error(name, error) from error
