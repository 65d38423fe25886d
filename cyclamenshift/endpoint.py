"""
cyclamenshift.endpoint
======================

The base class of the connections that carry requests to workers.
"""

import abc
from typing import ClassVar

from .component import Component
from .model import Outcome, Request, Vm
from .store import Unavailable


class Endpoint(Component):
    """Sends requests to workers; each call is a single attempt."""

    kind = 'endpoint'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Send *request* to *worker* and return its outcome."""

    @abc.abstractmethod
    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return the number of requests that *worker* is running."""
