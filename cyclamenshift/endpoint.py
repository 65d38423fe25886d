"""
cyclamenshift.endpoint
======================

The base of the connections to the workers.
"""

import abc
from typing import ClassVar

from .component import Component
from .model import Outcome, Request, Vm
from .store import Unavailable


class Endpoint(Component):
    """Sends requests to workers, one attempt at a time."""

    kind = 'endpoint'
    work_kinds = frozenset(('requests',))
    stage: ClassVar[int] = 1

    @abc.abstractmethod
    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Let *worker* run *request* and return the exact outcome."""

    @abc.abstractmethod
    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return how many requests *worker* runs now."""
