"""
tests.standins.worker_process
=============================

A process of the platform's workers on real sockets, which may restart.
"""

import msgspec
import trio

from cyclamenshift.http1 import Address


class WorkerProcess:
    """
    Reports without runs and starts whatever it is told to.

    If ``crashes`` is set, it crashes with the next request.  ``executed`` has
    the start orders that it carried out.
    """

    def __init__(self, born: int) -> None:
        """Prepare a process that starts at *born*, ms since the epoch."""
        self.born = born
        self.crashes = False
        self.executed: list[bytes] = []
        self.lifetime = trio.CancelScope()

    async def run(
        self,
        port: int,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on *port* until it crashes; 0 stands for any free port."""
        with self.lifetime:
            listeners = await trio.open_tcp_listeners(port, host='127.0.0.1')
            address = Address(*listeners[0].socket.getsockname())
            task_status.started(address)
            await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            while request := await stream.receive_some():
                if self.crashes:
                    self.lifetime.cancel()
                await stream.send_all(self._answer(request))

    def _answer(self, request: bytes) -> bytes:
        if b'/run-start' in request:
            self.executed.append(request)
        report = {'born': self.born, 'running': [], 'ended': []}
        body = msgspec.json.encode({'clockMs': 1, **report})
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        return head.encode() + body
