"""
cyclamenshift.plugin
====================

The registry in which every plug-in enters itself by kind and name.
"""

import importlib
import pkgutil
from importlib.metadata import entry_points
from typing import ClassVar, Final, TypeVar

from .errors import PluginError

#: The entry point group through which other packages add plug-ins.
ENTRY_POINT_GROUP: Final = 'cyclamenshift.plugins'


class Plugin:
    """
    Base of every plug-in.

    A family sets ``kind`` in its base class; a member sets ``name`` and,
    where operators know it by others, ``aliases``.
    """

    kind: ClassVar[str]
    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()


PluginType = TypeVar('PluginType', bound=Plugin)

_registry: Final[dict[tuple[str, str], type[Plugin]]] = {}


def register(member: type[PluginType]) -> type[PluginType]:
    """
    Enter *member* under its name and aliases; a class decorator.

    Raises PluginError when another class has the name.
    """
    for name in (member.name, *member.aliases):
        present = _registry.setdefault((member.kind, name), member)
        if present is not member:
            raise PluginError(
                f'The {member.kind} plug-in name {name!r} is taken.',
                f'Rename {member.__qualname__} or {present.__qualname__}.',
            )
    return member


def find(base: type[PluginType], name: str) -> type[PluginType]:
    """
    Return the member of the family of *base* that is called *name*.

    Raises PluginError, naming the members there are, when none is.
    """
    member = _registry.get((base.kind, name))
    if member is None or not issubclass(member, base):
        known = ', '.join(names(base)) or 'none'
        raise PluginError(
            f'There is no {base.kind} plug-in called {name!r}.',
            f'Use one of: {known}.',
        )
    return member


def names(base: type[Plugin]) -> list[str]:
    """Return the sorted names and aliases in the family of *base*."""
    return sorted(name for kind, name in _registry if kind == base.kind)


def members(base: type[PluginType]) -> list[type[PluginType]]:
    """Return every member of the family of *base*, by name."""
    found = (
        member
        for (kind, name), member in sorted(_registry.items())
        if kind == base.kind and name == member.name
    )
    return [member for member in found if issubclass(member, base)]


def load_family(package: str) -> None:
    """Import every module of *package*, so that its members register."""
    family = importlib.import_module(package)
    for module in pkgutil.iter_modules(family.__path__):
        importlib.import_module(f'{package}.{module.name}')


def load_entry_points() -> None:
    """Import the plug-ins that other installed packages offer."""
    for entry_point in entry_points(group=ENTRY_POINT_GROUP):
        entry_point.load()
