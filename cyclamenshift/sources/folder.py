"""
cyclamenshift.sources.folder
============================

Settings from a folder of YAML files, merged in the order of their names.
"""

import pathlib

from .. import settings
from ..plugin import register
from ..source import Source


@register
class FolderSource(Source):
    """Reads every YAML file of a folder."""

    name = 'folder'

    def load(self, path: pathlib.Path) -> settings.Settings:
        """Return the settings in the folder *path*."""
        return settings.load(path)
