from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from radishbridge.host.listener import Listener
from radishbridge_standin.processes import free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def _receive(caller: socket.socket) -> bytes:
    with caller:
        return b"".join(iter(lambda: caller.recv(4096), b""))


def _is_refused(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


class TestListener:
    async def test_answers_connections_that_are_queued_when_it_stops(self) -> None:
        async def answer(request: web.BaseRequest) -> web.Response:
            return web.Response(text="answered")

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        port = free_port()
        listener = Listener(runner, f"127.0.0.1:{port}")
        await listener.start()
        # Connecting blocks the event loop, so no connection is accepted before the stop.
        callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
        for caller in callers:
            caller.sendall(REQUEST)
        await listener.stop()
        responses = await asyncio.gather(
            *(asyncio.to_thread(_receive, caller) for caller in callers)
        )
        assert all(response.endswith(b"answered") for response in responses)
        assert await asyncio.to_thread(_is_refused, port)
        await runner.cleanup()
