"""
cyclamenshift.document
======================

Reads folders of YAML files and keeps the line of every value.
"""

import pathlib
from collections.abc import Mapping
from typing import Any

import yaml

from .decisions.merging import Document, Path, Source, merge
from .errors import SettingsError

#: The loader, in C where the machine has it; both give the same nodes.
LOADER = yaml.CSafeLoader if yaml.__with_libyaml__ else yaml.SafeLoader
#: Turns a scalar or a list into its value.
CONSTRUCTOR = yaml.SafeLoader('')
#: The file name ending of the files that are read.
SUFFIX = '.yaml'


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """
    Return the text of each YAML file in *folder* by its name.

    Raises SettingsError when the folder is missing or holds none.
    """
    if not folder.is_dir():
        raise SettingsError(
            f'{folder}: there is no such folder.',
            'Name a folder that holds .yaml files.',
        )
    texts = {
        path.name: path.read_text(encoding='utf-8')
        for path in sorted(folder.iterdir())
        if path.suffix == SUFFIX
    }
    if not texts:
        raise SettingsError(
            f'{folder}: the folder holds no .yaml file.',
            'Add at least one, for example 10-entry.yaml.',
        )
    return texts


def merge_texts(texts: Mapping[str, str]) -> Document:
    """Parse the files in *texts* and merge them in the order of names."""
    return merge(parse(name, texts[name]) for name in sorted(texts))


def parse(name: str, text: str) -> Document:
    """
    Parse one YAML file.

    Raises SettingsError, naming the line, for anything that is not a
    mapping of plain values, and for a key that stands twice.
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
            'Write it as lines of "key: value".',
        )
    document.values.update(_read_mapping(document, name, (), node))
    return document


def _syntax_error(name: str, error: yaml.MarkedYAMLError) -> SettingsError:
    mark = error.problem_mark
    line = mark.line + 1 if mark else 1
    return SettingsError(
        f'{name}:{line}: this is not valid YAML: {error.problem}.',
        'Mend the syntax on or just above that line.',
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
            first = document.sources[child_path]
            dotted = '.'.join(child_path)
            raise SettingsError(
                f'{source}: {dotted} stands already at {first}.',
                'Remove one of the two, or give one another name.',
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
