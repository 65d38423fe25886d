"""
cyclamenshift.source
====================

The base of where a process gets its settings from.
"""

import abc
import pathlib

from .plugin import Plugin
from .settings import Settings


class Source(Plugin):
    """Reads the settings of one process."""

    kind = 'source'

    @abc.abstractmethod
    def load(self, path: pathlib.Path) -> Settings:
        """
        Return the settings at *path*, checked.

        Raises SettingsError with file, line and remedy.
        """
