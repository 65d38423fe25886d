"""
cyclamenshift.plugin
====================

The registry in which plug-ins register themselves by kind and name.
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
    Base class of all plug-ins.

    The base class of each kind of plug-in sets ``kind``.  A plug-in class
    sets ``name`` and may set ``aliases``, which select it just as well.
    """

    kind: ClassVar[str]
    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()


PluginType = TypeVar('PluginType', bound=Plugin)

_registry: Final[dict[tuple[str, str], type[Plugin]]] = {}


def register(plugin_class: type[PluginType]) -> type[PluginType]:
    """
    Register *plugin_class* under its name and aliases; a class decorator.

    Raises PluginError if another class is registered under one of them.
    """
    for name in (plugin_class.name, *plugin_class.aliases):
        other = _registry.setdefault((plugin_class.kind, name), plugin_class)
        if other is not plugin_class:
            raise PluginError(
                f'Two {plugin_class.kind} plug-ins are called {name!r}.',
                f'Rename {plugin_class.__qualname__} or {other.__qualname__}.',
            )
    return plugin_class


def find(base: type[PluginType], name: str) -> type[PluginType]:
    """
    Return the plug-in of the kind of *base* registered under *name*.

    Raises PluginError, listing the registered names, if there is none.
    """
    plugin_class = _registry.get((base.kind, name))
    if plugin_class is None or not issubclass(plugin_class, base):
        known = ', '.join(names(base)) or 'none'
        raise PluginError(
            f'Unknown {base.kind} plug-in {name!r}.',
            f'Use one of: {known}.',
        )
    return plugin_class


def names(base: type[Plugin]) -> list[str]:
    """Return the sorted names and aliases of the kind of *base*."""
    return sorted(name for kind, name in _registry if kind == base.kind)


def find_all(base: type[PluginType]) -> list[type[PluginType]]:
    """Return all plug-ins of the kind of *base*, sorted by name."""
    found = (
        plugin_class
        for (kind, name), plugin_class in sorted(_registry.items())
        if kind == base.kind and name == plugin_class.name
    )
    return [
        plugin_class for plugin_class in found if issubclass(plugin_class, base)
    ]


def load_package(package_name: str) -> None:
    """Import all modules of a package, which registers their plug-ins."""
    package = importlib.import_module(package_name)
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f'{package_name}.{module.name}')


def load_entry_points() -> None:
    """Load the plug-ins that other installed packages provide."""
    for entry_point in entry_points(group=ENTRY_POINT_GROUP):
        entry_point.load()
