"""
cyclamenshift.sources.folder
============================

Loads settings from a folder of YAML files, merged in order of file name.
"""

import pathlib

from .. import settings
from ..plugin import register
from ..source import Source


@register
class FolderSource(Source):
    """Loads the settings from the YAML files of a folder."""

    name = 'folder'

    def load(self, path: pathlib.Path) -> settings.Settings:
        """Return the merged settings of the folder *path*."""
        return settings.load(path)
