"""
cyclamenshift.logs
==================

Loggers whose lines start with a fixed prefix for each component.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

#: The line format of the daemon.
LINE_FORMAT = '%(asctime)s %(levelname)s %(message)s'


class PrefixLogger(logging.LoggerAdapter[logging.Logger]):
    """A logger that puts the name of its component before each line."""

    def process(
        self,
        msg: object,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[object, MutableMapping[str, Any]]:
        """Return *msg* with the prefix, and *kwargs* unchanged."""
        prefix = (self.extra or {}).get('prefix')
        return f'{prefix}: {msg}', kwargs


def get_logger(prefix: str) -> PrefixLogger:
    """Return the logger of the component called *prefix*."""
    logger = logging.getLogger(f'cyclamenshift.{prefix}')
    return PrefixLogger(logger, {'prefix': prefix})


def configure(level: str) -> None:
    """Send log lines of *level* and above to standard error."""
    logging.basicConfig(level=level.upper(), format=LINE_FORMAT)
    logging.getLogger('httpx').setLevel(logging.WARNING)
