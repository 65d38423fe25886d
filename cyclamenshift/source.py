"""
cyclamenshift.source
====================

The base class of the sources from which a process loads its settings.
"""

import abc
import pathlib

from .plugin import Plugin
from .settings import Settings


class Source(Plugin):
    """Loads the settings of one process."""

    kind = 'source'

    @abc.abstractmethod
    def load(self, path: pathlib.Path) -> Settings:
        """
        Return the validated settings at *path*.

        Raises SettingsError, which names the file, the line and a remedy.
        """
