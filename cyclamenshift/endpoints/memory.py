"""
cyclamenshift.endpoints.memory
==============================

Simulated workers, for a first run and for tests.
"""

from http import HTTPStatus

from ..endpoint import Endpoint
from ..model import Done, Outcome, Request, Vm
from ..plugin import register
from ..store import Unavailable


@register
class MemoryEndpoint(Endpoint):
    """Echoes the body of each request immediately."""

    name = 'memory'
    aliases = ('embedded',)

    async def send(self, worker: Vm, request: Request) -> Outcome:
        """Return the body of *request* as the response."""
        return Done(HTTPStatus.OK, request.content_type, request.body)

    async def count_running(self, worker: Vm) -> int | Unavailable:
        """Return 0, since requests complete immediately."""
        return 0
