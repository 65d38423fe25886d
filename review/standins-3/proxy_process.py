"""
A proxy in front of one worker that holds orders back.

Usage: proxy_process.py LISTEN UPSTREAM CONTROL.  Requests pass through, on one
connection to the worker for each connection of the caller.  The file CONTROL
may hold JSON ``{"call": NAME, "names": TEXT, "count": N, "delay": S}``: the next
N requests whose path ends with NAME and whose body has TEXT get no answer, and
reach the worker S seconds later, on a connection of their own.  While the file
CONTROL with ``.cut`` added exists, the proxy refuses connections and resets
those that are open; the worker behind it runs on.
"""

import asyncio
import json
import pathlib
import sys

import httpserver


class Proxy:
    """Passes requests to one worker, some of them late."""

    def __init__(self, upstream, control):
        self.host, _colon, port = upstream.rpartition(':')
        self.port = int(port)
        self.control = pathlib.Path(control)
        self.cut = pathlib.Path(f'{control}.cut')
        self.tasks = set()
        self.writers = set()

    def delay_of(self, first, body):
        """Return how late a request is to arrive, None for at once."""
        try:
            armed = json.loads(self.control.read_text(encoding='utf-8'))
        except (OSError, ValueError):
            return None
        path = first.split(' ')[1]
        is_named = armed['names'].encode() in body
        if not (
            path.endswith(armed['call']) and is_named and armed['count'] > 0
        ):
            return None
        armed['count'] -= 1
        self.control.write_text(json.dumps(armed), encoding='utf-8')
        return armed['delay']

    async def deliver_late(self, delay, request):
        await asyncio.sleep(delay)
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(request)
            await writer.drain()
            await httpserver.read_request(reader)
            writer.close()
        except OSError:
            pass

    async def serve(self, reader, writer):
        """Pass the requests of one connection on."""
        upstream = None
        self.writers.add(writer)
        try:
            while True:
                request = await httpserver.read_request(reader)
                if request is None:
                    break
                head, first, _headers, body = request
                delay = self.delay_of(first, body)
                if delay is not None:
                    late = self.deliver_late(delay, head + body)
                    task = asyncio.create_task(late)
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    # No answer: the caller gives up and closes.
                    await reader.read()
                    break
                if upstream is None:
                    upstream = await asyncio.open_connection(
                        self.host, self.port
                    )
                upstream[1].write(head + body)
                await upstream[1].drain()
                answer = await httpserver.read_request(upstream[0])
                if answer is None:
                    break
                writer.write(answer[0] + answer[3])
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
            if upstream is not None:
                upstream[1].close()

    async def run(self, host, port):
        """Listen, but for the time of a cut."""
        server = None
        while True:
            is_cut = self.cut.exists()
            if is_cut and server is not None:
                server.close()
                server = None
                for writer in list(self.writers):
                    writer.transport.abort()
            elif not is_cut and server is None:
                server = await asyncio.start_server(self.serve, host, port)
            await asyncio.sleep(0.005)


async def main(listen, upstream, control):
    host, _colon, port = listen.rpartition(':')
    await Proxy(upstream, control).run(host, int(port))


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
