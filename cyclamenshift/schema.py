"""
cyclamenshift.schema
====================

Validates merged documents against a TypedDict and locates errors by line.
"""

import re
from collections.abc import Mapping
from typing import Any, Final, TypeAlias, get_args, get_origin, get_type_hints
from typing import is_typeddict as is_typed_dict

import msgspec

from .decisions.merging import Document, Path, nearest_source
from .errors import SettingsError

#: Default values of optional fields, by TypedDict.
Defaults: TypeAlias = Mapping[type, Mapping[str, Any]]

#: A valid name of a service, a pool, a VM or a kind of request.
NAME_PATTERN: Final = re.compile('[a-z0-9][a-z0-9.-]{0,62}')


def check(document: Document, target_type: Any, defaults: Defaults) -> Any:
    """
    Convert the values of *document* to *target_type* and fill in defaults.

    Raises SettingsError with file, line and remedy at the first error.
    """
    return _Checker(document, defaults).check_value(
        (), document.values, target_type
    )


def error_at(
    document: Document,
    path: Path,
    problem: str,
    remedy: str,
) -> SettingsError:
    """Return an error about the value at *path*, with its file and line."""
    source = nearest_source(document, path)
    dotted = '.'.join(path)
    return SettingsError(f'{source}: {dotted}: {problem}.', remedy)


class _Checker:
    def __init__(self, document: Document, defaults: Defaults) -> None:
        self.document = document
        self.defaults = defaults

    def check_value(self, path: Path, value: Any, target_type: Any) -> Any:
        if is_typed_dict(target_type):
            return self._check_fields(path, value, target_type)
        if get_origin(target_type) is dict:
            return self._check_entries(path, value, get_args(target_type)[1])
        try:
            return msgspec.convert(value, target_type)
        except msgspec.ValidationError as error:
            reason = str(error).lower()
            raise self._error_at(path, reason, 'Correct the value.') from error

    def _check_fields(self, path: Path, value: Any, target_type: Any) -> Any:
        field_types = get_type_hints(target_type, include_extras=True)
        value = self._require_mapping(path, value)
        for key in value:
            if key not in field_types:
                known = ', '.join(field_types)
                raise self._error_at(
                    (*path, key),
                    'unknown key',
                    f'Use one of: {known}.',
                )
        return self._check_children(
            path,
            {**self.defaults.get(target_type, {}), **value},
            field_types,
        )

    def _check_children(
        self,
        path: Path,
        value: Mapping[str, Any],
        field_types: Mapping[str, Any],
    ) -> dict[str, Any]:
        checked = {}
        for key, field_type in field_types.items():
            if key not in value:
                raise self._error_at(path, f'{key} is missing', f'Add {key}.')
            checked[key] = self.check_value(
                (*path, key),
                value[key],
                field_type,
            )
        return checked

    def _check_entries(self, path: Path, value: Any, target_type: Any) -> Any:
        value = self._require_mapping(path, value)
        for key in value:
            if not NAME_PATTERN.fullmatch(key):
                raise self._error_at(
                    (*path, key),
                    'invalid name',
                    'Use lower-case letters, digits, dots and hyphens.',
                )
        return {
            key: self.check_value((*path, key), child, target_type)
            for key, child in value.items()
        }

    def _require_mapping(self, path: Path, value: Any) -> Mapping[str, Any]:
        if isinstance(value, dict):
            return value
        raise self._error_at(
            path,
            'expected a mapping',
            'Add indented "key: value" lines below it.',
        )

    def _error_at(self, path: Path, problem: str, remedy: str) -> SettingsError:
        return error_at(self.document, path, problem, remedy)
